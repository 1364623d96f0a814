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

// standardInput is the name that stands for it among the files.
const standardInput = "-"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from the logs of daemons what became of a request",
		ArgsUsage: "REQUEST-ID FILE...",
		Description: `Reads the log lines of jackdawloomd edge, one file for each daemon or several in
one, and shows the lines about the request, the events around it that may explain
them, and the cause. In place of a request's ID, that of a target shows what befell
it. Text before the JSON object of a line names its source. A line that cannot be
read is named on the standard error; the others hold.

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
			return &CommandError{Code: ExitFailed, Problem: "a log could not be read", Cause: err, Remedy: "check the names of the files"}
		}
	}
	for _, u := range log.Unreadable {
		if _, err := fmt.Fprintf(cmd.Root().ErrWriter, "%s: not a log line: %s\n", u.Position, u.Error); err != nil {
			return err
		}
	}
	story, err := log.Explain(cmd.Args().First())
	if errors.Is(err, explain.ErrNotFound) {
		return &CommandError{
			Code: ExitFailed, Problem: "the request is not in the logs", Cause: err,
			Remedy: fmt.Sprintf("a request that its first target answered leaves no line, nor does one that its daemon never got or did not survive: look for 'daemon started' of that time; %d lines of frequent kinds were left out", story.Omitted),
		}
	}
	if err != nil {
		return err
	}
	return emit(cmd, story, func(w io.Writer) error { return writeExplanation(w, story) })
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

// explanationTimeFormat is the format of times in a story.
const explanationTimeFormat = "15:04:05.000"

func writeExplanation(w io.Writer, s explain.Explanation) error {
	t := newTable(w, "time", "source", "line")
	rows := func(lines []explain.Line) {
		for _, l := range lines {
			t.AppendRow([]any{l.Time.UTC().Format(explanationTimeFormat), l.Source, l.Summary()})
		}
	}
	t.SetTitle("request %s", s.Request)
	if s.Target != "" {
		t.SetTitle("target %s", s.Target)
	}
	rows(s.Lines)
	if len(s.Related) > 0 {
		t.AppendSeparator()
		rows(s.Related)
	}
	t.Render()
	_, err := fmt.Fprint(w, conclusion(s))
	return err
}

// conclusion returns what follows from the lines.
func conclusion(s explain.Explanation) string {
	var out strings.Builder
	switch {
	case s.Target != "":
		return ""
	case s.Cause == "":
		out.WriteString("no refusal of this request is in the logs\n")
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
		fmt.Fprintf(&out, "doubt: %s\n", s.Contradiction)
	}
	return out.String()
}
