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
		Usage: "list the daemons with their configuration, their copy of the store and their role",
		Description: `Config is the revision that the daemon has in force. Copy age is the age in ms of
its copy of the store; daemons serve requests however old their copy is.

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
	f, err := c.fetchFleet(ctx)
	if err != nil {
		return err
	}
	return emit(cmd, f.Members, f.printInstances)
}

func (f fleet) printInstances(w io.Writer) error {
	t := newTable(w, "Instance", "Run", "Domain", "Config", "Store", "Copy age (ms)", "In flight", "Role")
	for _, m := range f.Members {
		if m.State == nil {
			t.AppendRow([]any{m.Daemon, m.RunID, m.Domain, "?", "?", "?", "?", "no answer"})
			continue
		}
		t.AppendRow([]any{
			m.Daemon, m.RunID, m.Domain, m.State.ConfigRevision, storeStatus(m.State.StoreUp), m.State.CopyAgeMs, m.State.InFlight, m.role(),
		})
	}
	t.Render()
	for _, m := range f.Members {
		if m.Problem != "" {
			_, _ = fmt.Fprintf(w, "%s: %s\n", m.Daemon, m.Problem)
		}
	}
	_, err := fmt.Fprintf(w, "configuration revision %d, coordinator %s\n", f.Table.ConfigRevision, orNone(f.Table.Coordinator))
	return err
}

func storeStatus(up bool) string {
	if up {
		return "reached"
	}
	return "not reached"
}

func (m memberState) role() string {
	switch {
	case m.State.Stopping:
		return "stopping"
	case m.isCoordinator():
		return "coordinator"
	}
	return "member"
}
