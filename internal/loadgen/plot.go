package loadgen

import (
	_ "embed" // for plotTemplateText
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed plot.svg.tmpl
var plotTemplateText string

var plotTemplate = template.Must(template.New("plot").Parse(plotTemplateText))

// Size of a panel in SVG units.
const (
	panelWidth  = 720.0
	panelHeight = 160.0
)

// panel is one diagram of the plot. Top labels the maximum of its vertical axis; Shift is
// its vertical offset.
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

// Plot writes an SVG image of the run: the p99 latency and the numbers of arrivals and
// good requests in each second.
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
		p.Curves = append(p.Curves, curve{Color: s.color, Points: polylinePoints(s.values, top)})
	}
	return p
}

// polylinePoints returns the points of an SVG polyline. Each value is placed in the middle
// of the interval of its second.
func polylinePoints(values []float64, top float64) string {
	step := panelWidth / float64(max(len(values), 1))
	var b strings.Builder
	for i, v := range values {
		fmt.Fprintf(&b, "%.1f,%.1f ", (float64(i)+0.5)*step, panelHeight-panelHeight*v/top)
	}
	return strings.TrimSpace(b.String())
}
