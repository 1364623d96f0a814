package loadgen

import (
	_ "embed" // for the plot's template
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed plot.svg.tmpl
var plotText string

var plotTemplate = template.Must(template.New("plot").Parse(plotText))

// Sizes of the plot in SVG units.
const (
	panelWidth  = 720.0
	panelHeight = 160.0
)

// panel is one diagram of the plot, with its largest value at the top.
type panel struct {
	Title  string
	Top    string
	Shift  float64
	Curves []curve
}

type curve struct {
	Color  string
	Points string
}

type plotView struct {
	Width, Height, PanelWidth, PanelHeight float64
	Panels                                 []panel
	Seconds                                int
}

// Plot writes the course of the run as an SVG image: p99 latency, and arrivals
// and good requests, per second.
func Plot(w io.Writer, r *Result) error {
	var p99, arrivals, good []float64
	for _, s := range r.Seconds {
		p99 = append(p99, s.P99Ms)
		arrivals = append(arrivals, float64(s.Arrivals))
		good = append(good, float64(s.Good))
	}
	view := plotView{
		Width: panelWidth + 80, Height: 2*panelHeight + 120, PanelWidth: panelWidth, PanelHeight: panelHeight,
		Seconds: len(r.Seconds),
		Panels: []panel{
			newPanel("p99 latency of answered requests, ms", 30, series{"#b03030", p99}),
			newPanel("arrivals (grey) and good requests (green) per second", panelHeight+80, series{"#999999", arrivals}, series{"#2a8040", good}),
		},
	}
	if err := plotTemplate.Execute(w, view); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

type series struct {
	color  string
	values []float64
}

func newPanel(title string, shift float64, all ...series) panel {
	top := 1.0
	for _, s := range all {
		for _, v := range s.values {
			top = max(top, v)
		}
	}
	p := panel{Title: title, Top: fmt.Sprintf("%.1f", top), Shift: shift}
	for _, s := range all {
		p.Curves = append(p.Curves, curve{Color: s.color, Points: points(s.values, top)})
	}
	return p
}

// points places each second in the middle of its column.
func points(values []float64, top float64) string {
	step := panelWidth / float64(max(len(values), 1))
	var b strings.Builder
	for i, v := range values {
		fmt.Fprintf(&b, "%.1f,%.1f ", (float64(i)+0.5)*step, panelHeight-panelHeight*v/top)
	}
	return strings.TrimSpace(b.String())
}
