// Package render writes burn reports as a text table, as JSON and as an HTML
// page that needs nothing from the network.
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

// objective formats an objective such as 99.9% in 50 ms.
func objective(c burn.ClassReport) string {
	s := percent(c.Objective) + " in " + strconv.Itoa(c.Objective.LatencyMs) + " ms"
	if c.MixedObjectives {
		s += " (changing)"
	}
	return s
}

// significant is the number of digits shown of a percentage. It tells 99.999
// from 100 and hides the rounding of binary fractions.
const significant = 8

func percent(o manifest.Objective) string {
	return strconv.FormatFloat(o.Ratio*100, 'g', significant, 64) + "%"
}

// rate formats a burn rate, or a dash if there were no requests.
func rate(b burn.WindowRate) string {
	if b.Total == 0 {
		return "-"
	}
	return strconv.FormatFloat(b.Rate, 'f', 2, 64)
}

func budget(c burn.ClassReport) string {
	if c.State == burn.StateIdle {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", c.BudgetLeft*100)
}

// windowName formats a window, and what is covered of it if that is less.
func windowName(w burn.WindowReport) string {
	name := short(w.WindowMs)
	if w.Shortened {
		name += " (" + short(w.CoveredMs) + ")"
	}
	return name
}

func short(ms int64) string {
	d := (time.Duration(ms) * time.Millisecond).Round(time.Second)
	switch {
	case d%time.Hour == 0 && d > 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	case d%time.Minute == 0 && d > 0:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
	return d.String()
}

// notes lists what limits the report.
func notes(r burn.Report) []string {
	var out []string
	for _, w := range r.Windows {
		switch {
		case w.Shortened:
			out = append(out, fmt.Sprintf("The %s window covers only %s: no daemon has run longer.", short(w.WindowMs), short(w.CoveredMs)))
		case w.ShortDaemons > 0:
			out = append(out, fmt.Sprintf("%d of %d daemons cover less than the %s window.", w.ShortDaemons, len(r.Daemons), short(w.WindowMs)))
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
