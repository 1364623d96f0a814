package render

import (
	"io"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"github.com/jackdawloom/jackdawloom/internal/burn"
)

// Text writes the report as a table for a terminal.
func Text(w io.Writer, r burn.Report) error {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	header := table.Row{"Service", "Class", "Objective"}
	columns := []table.ColumnConfig{}
	for _, window := range r.Windows {
		header = append(header, windowName(window))
		columns = append(columns, table.ColumnConfig{Number: len(header), Align: text.AlignRight, AlignHeader: text.AlignRight})
	}
	header = append(header, "Budget left", "State")
	columns = append(columns, table.ColumnConfig{Number: len(header) - 1, Align: text.AlignRight, AlignHeader: text.AlignRight})
	t.SetColumnConfigs(columns)
	t.AppendHeader(header)
	for _, c := range r.Classes {
		t.AppendRow(tableRow(c))
	}
	lines := append([]string{summary(r), t.Render()}, coverageNotes(r)...)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}

func tableRow(c burn.ClassReport) table.Row {
	row := table.Row{c.Service, c.Class, formatObjective(c)}
	for _, b := range c.Rates {
		row = append(row, formatRate(b))
	}
	return append(row, formatBudget(c), string(c.State))
}
