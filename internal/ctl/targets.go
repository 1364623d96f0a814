package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

func targetsCommand() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "list the targets with their state, front, standby, shards and load",
		Description: `Running, Queued and Limit are read from the target's front; ? means that it did
not answer. Limit is the number of requests that the front now admits at once.

Example:
   jackdawctl targets`,
		Action: showTargets,
	}
}

// targetRow is one target for scripts.
type targetRow struct {
	Service string `json:"service"`
	adminapi.Target
	Load *adminapi.Front `json:"load,omitempty"`
}

func showTargets(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	f, err := c.fleet(ctx)
	if err != nil {
		return err
	}
	rows := []targetRow{}
	for _, s := range f.Table.Services {
		for _, t := range s.Targets {
			rows = append(rows, targetRow{Service: s.Name, Target: t, Load: f.front(s.Name, t)})
		}
	}
	return emit(cmd, rows, func(w io.Writer) error { return f.printTargets(w, rows) })
}

func (f fleet) printTargets(w io.Writer, rows []targetRow) error {
	t := newTable(w, "Service", "Target", "State", "Front", "Standby", "Shards", "Running", "Queued", "Limit")
	for _, r := range rows {
		running, queued, limit := "?", "?", "?"
		if r.Load != nil {
			running, queued = fmt.Sprint(r.Load.Running), fmt.Sprint(r.Load.Queued)
			limit = fmt.Sprintf("%.1f/%d", r.Load.Limit, r.Load.Slots)
		}
		t.AppendRow([]any{r.Service, r.Name, r.State, f.daemonOf(r.Front), f.daemonOf(r.Standby), r.Shards, running, queued, limit})
	}
	t.Render()
	for _, s := range f.Table.Services {
		if s.Unowned > 0 || s.Moves > 0 {
			_, _ = fmt.Fprintf(w, "%s: %d of %d shards without an owner, %d moving\n", s.Name, s.Unowned, s.Shards, s.Moves)
		}
	}
	return nil
}

// daemonOf returns the daemon of a member, which is shorter than its id.
func (f fleet) daemonOf(member string) string {
	for _, m := range f.Table.Members {
		if m.ID == member {
			return m.Daemon
		}
	}
	if member == "" {
		return "none"
	}
	return string(table.MemberID(member).Run())
}
