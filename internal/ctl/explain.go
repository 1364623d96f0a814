package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/explain"
)

// standardInput is the file name that stands for the standard input.
const standardInput = "-"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the outcome of a request from the logs of daemons",
		ArgsUsage: "REQUEST-ID FILE...",
		Description: `Reads the log lines of jackdawloomd edge, one file for each daemon or several in
one, and shows the lines about the request, the events around it that may explain
them, and the cause. If the ID is that of a target, the command shows the lines about
the target that belong to no request. Text before the JSON object of a line names its
source. Lines that cannot be read are reported on the standard error and skipped.

Examples:
   jackdawctl explain 9c41d07be2a35f68 edge-*.log
   collect-logs | jackdawctl explain 9c41d07be2a35f68 -`,
		Action: explainRequest,
	}
}

func explainRequest(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() < 2 {
		return usageError("expected " + cmd.ArgsUsage)
	}
	var log explain.Log
	for _, name := range cmd.Args().Tail() {
		if err := readLog(cmd, &log, name); err != nil {
			return &CommandError{Code: ExitFailed, Problem: "cannot read a log file", Cause: err, Remedy: "check the names of the files"}
		}
	}
	for _, u := range log.Unreadable {
		if _, err := fmt.Fprintf(cmd.Root().ErrWriter, "%s: line skipped, as it is not a log line of a daemon: %s\n", u.Position, u.Error); err != nil {
			return err
		}
	}
	explanation, err := log.Explain(cmd.Args().First())
	if errors.Is(err, explain.ErrNotFound) {
		return &CommandError{
			Code: ExitFailed, Problem: "cannot explain the request", Cause: err,
			Remedy: fmt.Sprintf("nothing is logged for a request that its first target answered, that did not reach its daemon, or that was in progress when its daemon crashed: look for 'daemon started' around that time; %d lines were omitted because too many of their kind occurred", explanation.Omitted),
		}
	}
	if err != nil {
		return err
	}
	return emit(cmd, explanation, func(w io.Writer) error { return writeExplanation(w, explanation) })
}

func readLog(cmd *cli.Command, log *explain.Log, name string) error {
	if name == standardInput {
		return log.Read(name, cmd.Root().Reader)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(log.Read(name, f), f.Close())
}

// explanationTimeFormat is the format of times in the table of log lines.
const explanationTimeFormat = "15:04:05.000"

func writeExplanation(w io.Writer, s explain.Explanation) error {
	t := newTable(w, "time", "source", "line")
	appendRows := func(lines []explain.Line) {
		for _, l := range lines {
			t.AppendRow([]any{l.Time.UTC().Format(explanationTimeFormat), l.Source, l.Summary()})
		}
	}
	t.SetTitle("request %s", s.Request)
	if s.Target != "" {
		t.SetTitle("target %s", s.Target)
	}
	appendRows(s.Lines)
	if len(s.Related) > 0 {
		t.AppendSeparator()
		appendRows(s.Related)
	}
	t.Render()
	_, err := fmt.Fprint(w, conclusion(s))
	return err
}

// conclusion returns the text printed after the table: the status and cause, the next
// step, retries, and any contradiction between the lines.
func conclusion(s explain.Explanation) string {
	var out strings.Builder
	switch {
	case s.Target != "":
		return ""
	case s.Cause == "":
		out.WriteString("The logs contain no refusal of this request.\n")
	default:
		ran := "it did not run"
		if s.MayHaveRun {
			ran = "it may have run"
		}
		fmt.Fprintf(&out, "status %d (%s): %s; %s\nnext: %s\n", s.Status, s.Reason, s.Cause, ran, s.NextStep)
	}
	for _, r := range s.Retries {
		fmt.Fprintf(&out, "%s\n", r)
	}
	if s.Contradiction != "" {
		fmt.Fprintf(&out, "contradiction in the logs: %s\n", s.Contradiction)
	}
	return out.String()
}
