package ctl

import (
	"encoding/json"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/urfave/cli/v3"
)

// resultWriter returns the writer for the command's results.
func resultWriter(cmd *cli.Command) io.Writer { return cmd.Root().Writer }

// progressWriter returns the writer for progress messages. With --json it is the standard
// error, so that the standard output contains the JSON result only.
func progressWriter(cmd *cli.Command) io.Writer {
	if cmd.Bool(flagJSON) {
		return cmd.Root().ErrWriter
	}
	return resultWriter(cmd)
}

// emit writes value as JSON if --json is set; otherwise it calls writeText.
func emit(cmd *cli.Command, value any, writeText func(io.Writer) error) error {
	w := resultWriter(cmd)
	if !cmd.Bool(flagJSON) {
		return writeText(w)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// newTable returns a table writer with the style that all commands share.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	t.AppendHeader(header)
	return t
}
