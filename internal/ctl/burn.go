package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/burn"
	"github.com/jackdawloom/jackdawloom/internal/burn/render"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

const flagHTML = "html"

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "report how fast each request class spends its error budget",
		Description: `Collects the counters of every member. A burn rate of 1 spends the error budget
exactly as fast as the class's objective allows. Daemons sample their counters
every 30 s; requests that a daemon counted before its restart are not included.
The fast-burn state means a rate above 14.4 over 5 min and 1 h, the slow one
above 6 over 30 min and 6 h.

Examples:
   jackdawctl burn
   jackdawctl burn --html report.html`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagHTML, Usage: "also write the report with its curves to the HTML `FILE`"}},
		Action: showBurn,
	}
}

func showBurn(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	snapshots, missing, err := c.burnSnapshots(ctx)
	if err != nil {
		return err
	}
	r, err := burn.Merge(snapshots)
	if err != nil {
		return &CommandError{
			Code: ExitFailed, Problem: "the members' counters do not add up", Cause: err,
			Remedy: "bring all daemons to the same release",
		}
	}
	if err := writeBurnReport(cmd, r); err != nil {
		return err
	}
	if len(missing) == 0 {
		return nil
	}
	return &CommandError{
		Code: ExitFailed, Problem: fmt.Sprintf("the report lacks %d members: %s", len(missing), strings.Join(missing, "; ")),
		Remedy: "check the members with jackdawctl instances and run the report again",
	}
}

func writeBurnReport(cmd *cli.Command, r burn.Report) error {
	human := func(w io.Writer) error { return render.Text(w, r) }
	if err := emit(cmd, r, human); err != nil {
		return err
	}
	name := cmd.String(flagHTML)
	if name == "" {
		return nil
	}
	return writeFile(name, func(w io.Writer) error { return render.HTML(w, r) })
}

// writeFile writes a result file.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return fileWriteError(err)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return fileWriteError(err)
	}
	if err := f.Close(); err != nil {
		return fileWriteError(err)
	}
	return nil
}

func fileWriteError(err error) error {
	return &CommandError{
		Code: ExitFailed, Problem: "cannot write the file", Cause: err,
		Remedy: "check that the directory exists, may be written and has room",
	}
}

// burnSnapshots returns one snapshot per daemon and the members without one. A
// daemon may be named twice, by its old and its new membership.
func (c *client) burnSnapshots(ctx context.Context) (snapshots []burn.Snapshot, missing []string, err error) {
	var t adminapi.Table
	if err := c.get(ctx, adminapi.PathTable, &t); err != nil {
		return nil, nil, err
	}
	members := distinctDaemons(t.Members)
	answers := make([]burn.Snapshot, len(members))
	problems := make([]error, len(members))
	c.forEachMember(members, func(i int, m adminapi.Member) {
		var raw json.RawMessage
		if problems[i] = c.getFrom(ctx, m.Admin, adminapi.PathBurn, &raw); problems[i] != nil {
			return
		}
		answers[i], problems[i] = burn.DecodeSnapshot(raw)
	})
	for i, m := range members {
		if problems[i] != nil {
			missing = append(missing, m.Daemon+": "+problems[i].Error())
			continue
		}
		snapshots = append(snapshots, answers[i])
	}
	return snapshots, missing, nil
}

func distinctDaemons(members []adminapi.Member) []adminapi.Member {
	seen := make(map[string]bool)
	var out []adminapi.Member
	for _, m := range members {
		if !seen[m.Admin] {
			seen[m.Admin] = true
			out = append(out, m)
		}
	}
	return out
}
