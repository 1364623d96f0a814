package render

import (
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/burn"
)

// The charts are SVG written by html/template. go-echarts was considered first:
// its pages draw with a JavaScript library that they load from a web server, and
// the Go module does not contain that library, so that a page could not be
// opened without a network or kept with the records of an incident.

//go:embed report.html.tmpl
var page string

var pageTemplate = template.Must(template.New("report").Parse(page))

// Sizes of a chart in SVG units.
const (
	chartWidth  = 720.0
	chartHeight = 120.0
	barGap      = 1.0
)

// minScale is the least burn rate at the top of a chart. Without it, the noise
// of a quiet service would fill the chart.
const minScale = 2.0

// HTML writes the report as one self-contained page.
func HTML(w io.Writer, r burn.Report) error {
	view := pageView{Summary: summary(r), Notes: notes(r), Width: chartWidth, Height: chartHeight}
	for _, window := range r.Windows {
		view.Windows = append(view.Windows, windowName(window))
	}
	for _, c := range r.Classes {
		view.Classes = append(view.Classes, newClassView(c, r.Latest))
	}
	if err := pageTemplate.Execute(w, view); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	return nil
}

type pageView struct {
	Summary       string
	Notes         []string
	Windows       []string
	Classes       []classView
	Width, Height float64
}

type classView struct {
	Name      string
	Objective string
	Rates     []rateView
	Budget    string
	State     string
	Alert     bool
	Chart     chartView
}

type rateView struct {
	Text string
	Over bool
}

type chartView struct {
	Bars     []bar
	Top      string
	Limit    float64 // y of burn rate 1
	From, To string
}

type bar struct {
	X, Y, Width, Height float64
	Over                bool
	Title               string
}

func newClassView(c burn.ClassReport, latest time.Time) classView {
	v := classView{
		Name:      c.Service + " / " + c.Class,
		Objective: objective(c),
		Budget:    budget(c),
		State:     string(c.State),
		Alert:     c.State == burn.StateFast || c.State == burn.StateSlow,
		Chart:     newChart(c.Points, latest),
	}
	for _, b := range c.Rates {
		v.Rates = append(v.Rates, rateView{Text: rate(b), Over: b.Rate > 1})
	}
	return v
}

// newChart draws one bar per bucket; a bucket without requests has none.
func newChart(points []burn.RatedPoint, latest time.Time) chartView {
	scale := minScale
	for _, p := range points {
		scale = max(scale, p.Rate)
	}
	end := latest.UTC().Truncate(burn.BucketLength)
	start := end.Add(-time.Duration(burn.MaxBuckets-1) * burn.BucketLength)
	chart := chartView{
		Top:   fmt.Sprintf("%.1f", scale),
		Limit: chartHeight - chartHeight/scale,
		From:  start.Format("15:04"),
		To:    end.Add(burn.BucketLength).Format("15:04 MST"),
	}
	step := chartWidth / float64(burn.MaxBuckets)
	for _, p := range points {
		at := time.Unix(p.UnixSeconds, 0).UTC()
		slot := int(at.Sub(start) / burn.BucketLength)
		if slot < 0 || slot >= burn.MaxBuckets {
			continue // of a daemon whose clock or snapshot is older
		}
		height := chartHeight * p.Rate / scale
		chart.Bars = append(chart.Bars, bar{
			X: float64(slot) * step, Y: chartHeight - height, Width: step - barGap, Height: height, Over: p.Rate > 1,
			Title: fmt.Sprintf("%s: burn rate %.2f, %d of %d requests good", at.Format("15:04"), p.Rate, p.Good, p.Total),
		})
	}
	return chart
}
