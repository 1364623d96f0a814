package ctl

import (
	"encoding/json"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/urfave/cli/v3"
)

// resultWriter returns the writer of the command's results.
func resultWriter(cmd *cli.Command) io.Writer { return cmd.Root().Writer }

// progressWriter returns the writer of progress. With --json the results stand alone
// on the standard output.
func progressWriter(cmd *cli.Command) io.Writer {
	if cmd.Bool(flagJSON) {
		return cmd.Root().ErrWriter
	}
	return resultWriter(cmd)
}

// emit writes the value as JSON if asked for, else calls human.
func emit(cmd *cli.Command, value any, human func(io.Writer) error) error {
	w := resultWriter(cmd)
	if !cmd.Bool(flagJSON) {
		return human(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// newTable returns a table in the tool's style.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	t.AppendHeader(header)
	return t
}
