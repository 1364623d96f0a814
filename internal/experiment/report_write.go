package experiment

import (
	_ "embed" // for the plot's template
	"fmt"
	"html/template"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// maxBaselines is the number of columns for baselines.
const maxBaselines = 3

// WriteReport writes the report as a table, as Markdown or for a terminal.
func WriteReport(w io.Writer, r Report, markdown bool) error {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	header := table.Row{"Measure", "Case", "Unit", "Policy"}
	for range maxBaselines {
		header = append(header, "Baseline")
	}
	t.AppendHeader(append(header, "Ideal"))
	for _, row := range r.Rows {
		t.AppendRow(cells(row))
	}
	title := fmt.Sprintf("%s, %d seeds: median [min-max]", r.Deployment, r.Seeds)
	body := t.Render
	if markdown {
		body = t.RenderMarkdown
	}
	_, err := fmt.Fprintf(w, "%s\n\n%s\n\n", title, body())
	return err
}

func cells(r Row) table.Row {
	row := table.Row{r.Measure, r.Case, r.Unit, ""}
	if r.Policy != nil {
		row[3] = r.Policy.String()
	}
	for i := range maxBaselines {
		if i < len(r.Baselines) {
			row = append(row, r.Baselines[i].String())
			continue
		}
		row = append(row, "")
	}
	if r.Ideal == nil {
		return append(row, "")
	}
	return append(row, formatFigure(r.Ideal.Median))
}

//go:embed report.svg.tmpl
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// Sizes of the plot in SVG units.
const (
	barWidth   = 360.0
	barHeight  = 12.0
	labelWidth = 420.0
)

type bar struct {
	Y, Width     float64
	Color, Label string
	Text         string
}

type barView struct {
	Width, Height, LabelWidth, BarHeight float64
	Bars                                 []bar
}

// PlotReports writes the medians as a bar chart in SVG. The bars of a row are scaled to
// the largest value of that row.
func PlotReports(w io.Writer, all []Report) error {
	v := barView{Width: labelWidth + barWidth + 260, LabelWidth: labelWidth, BarHeight: barHeight, Height: barHeight}
	for _, r := range all {
		for _, row := range r.Rows {
			v.add(r.Deployment, row)
		}
	}
	if err := reportTemplate.Execute(w, v); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// add appends the bars of a row. Only the first bar has the row's label.
func (v *barView) add(deployment string, row Row) {
	var values []Value
	if row.Policy != nil {
		values = append(values, Value{"policy", *row.Policy})
	}
	values = append(values, row.Baselines...)
	top := 0.0
	for _, x := range values {
		top = max(top, x.Median)
	}
	label := fmt.Sprintf("%s, %s, %s (%s)", deployment, row.Measure, row.Case, row.Unit)
	for _, x := range values {
		b := bar{Y: v.Height, Color: "#999999", Label: label, Text: x.String()}
		if top > 0 {
			b.Width = barWidth * x.Median / top
		}
		if x.Policy == "policy" {
			b.Color = "#2a8040"
		}
		v.Bars = append(v.Bars, b)
		v.Height += barHeight + 2
		label = ""
	}
	v.Height += barHeight
}
