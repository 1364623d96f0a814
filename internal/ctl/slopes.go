package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/slopes"
)

const flagRepetitions = "repetitions"

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how control costs grow with daemons, targets and shards",
		Description: `Runs daemons, stand-in targets and a store in this process on loopback addresses
for about two minutes. It asks no running daemon. Each line is fitted by least
squares to the medians of the repetitions.

Example:
   jackdawctl slopes --json > slopes.json`,
		Flags:  []cli.Flag{&cli.IntFlag{Name: flagRepetitions, Value: 3, Usage: "measure each size `N` times"}},
		Action: measureSlopes,
	}
}

func measureSlopes(ctx context.Context, cmd *cli.Command) error {
	n := cmd.Int(flagRepetitions)
	if n < 1 {
		return usage("expected at least one repetition")
	}
	progress := func(s string) { _, _ = fmt.Fprintln(cmd.Root().ErrWriter, s) }
	report, err := slopes.Run(ctx, slopes.Options{Repetitions: n, Progress: progress})
	if err != nil {
		return err
	}
	return emit(cmd, report, func(w io.Writer) error { return printSlopes(w, report) })
}

func printSlopes(w io.Writer, r *slopes.Report) error {
	m := r.Machine
	_, err := fmt.Fprintf(w, "%d cores, %s, %s, load %s to %s, %d repetitions, took %.0f s, resident before %.1f MB\n",
		m.Cores, m.Go, m.System, m.LoadStart, m.LoadEnd, r.Repetitions, r.Took.Seconds(), r.BaseResidentMB)
	if err != nil {
		return err
	}
	t := newTable(w, "measured", "against", "unit", "medians (size: value)", "intercept + slope x, R2")
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %.4g", p.X, p.Y))
		}
		t.AppendRow([]any{s.Name, s.X, s.Unit, strings.Join(points, ", "), s.Fit.String()})
	}
	t.Render()
	return nil
}
