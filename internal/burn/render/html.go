package render

import (
	_ "embed" // for the page template
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/burn"
)

// The charts are SVG written by html/template. go-echarts is not used because its
// pages load a JavaScript library from a web server, which the Go module does not
// contain: such a page could not be opened offline or archived with the records of an
// incident.

//go:embed report.html.tmpl
var pageHTML string

var pageTemplate = template.Must(template.New("report").Parse(pageHTML))

// Sizes of a chart in SVG units.
const (
	chartWidth  = 720.0
	chartHeight = 120.0
	barGap      = 1.0
)

// minChartRate is the lowest burn rate at the top of a chart. Without it, the noise of
// a service with little burn would fill the chart.
const minChartRate = 2.0

// HTML writes the report as a self-contained HTML page.
func HTML(w io.Writer, r burn.Report) error {
	view := pageView{Summary: summary(r), Notes: coverageNotes(r), Width: chartWidth, Height: chartHeight}
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
	Limit    float64 // y coordinate of burn rate 1
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
		Objective: formatObjective(c),
		Budget:    formatBudget(c),
		State:     string(c.State),
		Alert:     c.State == burn.StateFast || c.State == burn.StateSlow,
		Chart:     newChart(c.Points, latest),
	}
	for _, b := range c.Rates {
		v.Rates = append(v.Rates, rateView{Text: formatRate(b), Over: b.Rate > 1})
	}
	return v
}

// newChart returns a chart with one bar per bucket that has requests.
func newChart(points []burn.RatedPoint, latest time.Time) chartView {
	scale := minChartRate
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
		bucket := int(at.Sub(start) / burn.BucketLength)
		if bucket < 0 || bucket >= burn.MaxBuckets {
			continue // from a daemon whose clock or snapshot is older
		}
		height := chartHeight * p.Rate / scale
		chart.Bars = append(chart.Bars, bar{
			X: float64(bucket) * step, Y: chartHeight - height, Width: step - barGap, Height: height, Over: p.Rate > 1,
			Title: fmt.Sprintf("%s: burn rate %.2f, %d of %d requests good", at.Format("15:04"), p.Rate, p.Good, p.Total),
		})
	}
	return chart
}
