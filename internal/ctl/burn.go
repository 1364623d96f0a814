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
	report, err := burn.Merge(snapshots)
	if err != nil {
		return &CommandError{
			Code: ExitFailed, Problem: "cannot merge the members' counters", Cause: err,
			Remedy: "bring all daemons to the same release",
		}
	}
	if err := writeBurnReport(cmd, report); err != nil {
		return err
	}
	if len(missing) == 0 {
		return nil
	}
	return &CommandError{
		Code: ExitFailed, Problem: fmt.Sprintf("the report does not include %d members: %s", len(missing), strings.Join(missing, "; ")),
		Remedy: "check the members with jackdawctl instances and run the report again",
	}
}

func writeBurnReport(cmd *cli.Command, report burn.Report) error {
	writeText := func(w io.Writer) error { return render.Text(w, report) }
	if err := emit(cmd, report, writeText); err != nil {
		return err
	}
	name := cmd.String(flagHTML)
	if name == "" {
		return nil
	}
	return writeFile(name, func(w io.Writer) error { return render.HTML(w, report) })
}

// writeFile creates the named file and calls write to produce its content.
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

// burnSnapshots returns one snapshot per daemon, and for each member without a snapshot
// the reason. The table may name a daemon twice, by its old and its new membership.
func (c *client) burnSnapshots(ctx context.Context) (snapshots []burn.Snapshot, missing []string, err error) {
	var t adminapi.Table
	if err := c.get(ctx, adminapi.PathTable, &t); err != nil {
		return nil, nil, err
	}
	members := distinctDaemons(t.Members)
	results := make([]burn.Snapshot, len(members))
	errs := make([]error, len(members))
	c.forEachMember(members, func(i int, m adminapi.Member) {
		var raw json.RawMessage
		if errs[i] = c.getFrom(ctx, m.AdminAddress, adminapi.PathBurn, &raw); errs[i] != nil {
			return
		}
		results[i], errs[i] = burn.DecodeSnapshot(raw)
	})
	for i, m := range members {
		if errs[i] != nil {
			missing = append(missing, m.Daemon+": "+errs[i].Error())
			continue
		}
		snapshots = append(snapshots, results[i])
	}
	return snapshots, missing, nil
}

func distinctDaemons(members []adminapi.Member) []adminapi.Member {
	seen := make(map[string]bool)
	var out []adminapi.Member
	for _, m := range members {
		if !seen[m.AdminAddress] {
			seen[m.AdminAddress] = true
			out = append(out, m)
		}
	}
	return out
}
