// Package render writes burn reports as a text table, as JSON and as a self-contained
// HTML page.
package render

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/burn"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// JSON writes the report as indented JSON.
func JSON(w io.Writer, r burn.Report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// formatObjective formats an objective, such as 99.9% in 50 ms.
func formatObjective(c burn.ClassReport) string {
	s := formatPercent(c.Objective) + " in " + strconv.Itoa(c.Objective.LatencyMs) + " ms"
	if c.MixedObjectives {
		s += " (changing)"
	}
	return s
}

// percentDigits is the number of significant digits of a percentage. It distinguishes
// 99.999 from 100 and hides the rounding errors of binary fractions.
const percentDigits = 8

func formatPercent(o manifest.Objective) string {
	return strconv.FormatFloat(o.Ratio*100, 'g', percentDigits, 64) + "%"
}

// formatRate formats a burn rate, or a dash if there were no requests.
func formatRate(b burn.WindowRate) string {
	if b.Total == 0 {
		return "-"
	}
	return strconv.FormatFloat(b.Rate, 'f', 2, 64)
}

func formatBudget(c burn.ClassReport) string {
	if c.State == burn.StateIdle {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", c.BudgetLeft*100)
}

// windowName formats the length of a window, followed by the covered time if that is
// shorter.
func windowName(w burn.WindowReport) string {
	name := formatDuration(w.WindowMs)
	if w.Shortened {
		name += " (" + formatDuration(w.CoveredMs) + ")"
	}
	return name
}

func formatDuration(ms int64) string {
	d := (time.Duration(ms) * time.Millisecond).Round(time.Second)
	switch {
	case d%time.Hour == 0 && d > 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	case d%time.Minute == 0 && d > 0:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return d.String()
}

// coverageNotes lists the limitations of the report: windows that are not fully
// covered, and snapshots of different age.
func coverageNotes(r burn.Report) []string {
	var out []string
	for _, w := range r.Windows {
		switch {
		case w.Shortened:
			out = append(out, fmt.Sprintf("The %s window covers only %s: no daemon has run longer.", formatDuration(w.WindowMs), formatDuration(w.CoveredMs)))
		case w.ShortDaemons > 0:
			out = append(out, fmt.Sprintf("%d of %d daemons cover less than the %s window.", w.ShortDaemons, len(r.Daemons), formatDuration(w.WindowMs)))
		}
	}
	if age := r.Latest.Sub(r.Oldest); age > burn.SampleInterval {
		out = append(out, fmt.Sprintf("The oldest counters are %s older than the latest.", age.Round(time.Second)))
	}
	return out
}

func summary(r burn.Report) string {
	if len(r.Daemons) == 0 {
		return "No daemon reported."
	}
	return fmt.Sprintf("Daemons: %d; counters up to %s", len(r.Daemons), r.Latest.UTC().Format(time.RFC3339))
}
