package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func instancesCommand() *cli.Command {
	return &cli.Command{
		Name:  "instances",
		Usage: "list the members with their authority, revisions and coordinator",
		Description: `Authority is the time left in ms for which a member may serve; 0 means that it
must not. Config and Table are the revisions that the daemon has in force.

Example:
   jackdawctl instances`,
		Action: showInstances,
	}
}

func showInstances(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	f, err := c.fleet(ctx)
	if err != nil {
		return err
	}
	return emit(cmd, f.Members, f.printInstances)
}

func (f fleet) printInstances(w io.Writer) error {
	t := newTable(w, "Instance", "Member", "Domain", "Authority (ms)", "Config", "Table", "In flight", "Role")
	for _, m := range f.Members {
		if m.State == nil {
			t.AppendRow([]any{m.Daemon, m.ID, m.Domain, "?", "?", "?", "?", "no answer"})
			continue
		}
		t.AppendRow([]any{
			m.Daemon, m.ID, m.Domain, m.authority(), m.State.InForce.Config, m.State.InForce.Table,
			m.State.InFlight, m.role(),
		})
	}
	t.Render()
	for _, m := range f.Members {
		if m.Problem != "" {
			_, _ = fmt.Fprintf(w, "%s: %s\n", m.Daemon, m.Problem)
		}
	}
	_, err := fmt.Fprintf(w, "table revision %d for configuration %d, term %d\n", f.Table.Revision, f.Table.Config, f.Table.Term)
	return err
}

func (m memberState) role() string {
	switch {
	case m.State.Stopping:
		return "stopping"
	case m.Draining:
		return "draining"
	case m.coordinator():
		return "coordinator"
	}
	return "member"
}
