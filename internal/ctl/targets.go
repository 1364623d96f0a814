package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

func targetsCommand() *cli.Command {
	return &cli.Command{
		Name:  "targets",
		Usage: "list the targets with their state, shards and load",
		Description: `Running and Connections are sums over the daemons, and Time is the longest service
time that one of them reported; ? means that no daemon reported the target's load.

Example:
   jackdawctl targets`,
		Action: showTargets,
	}
}

// targetRow is the JSON result of targets for one target.
type targetRow struct {
	Service string `json:"service"`
	adminapi.Target
	Load *adminapi.TargetLoad `json:"load,omitempty"`
}

func showTargets(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	f, err := c.fetchFleet(ctx)
	if err != nil {
		return err
	}
	rows := []targetRow{}
	for _, s := range f.Table.Services {
		for _, t := range s.Targets {
			row := targetRow{Service: s.Name, Target: t}
			if load, known := f.targetLoad(s.Name, t.Name); known {
				row.Load = &load
			}
			rows = append(rows, row)
		}
	}
	return emit(cmd, rows, func(w io.Writer) error { return f.printTargets(w, rows) })
}

// unusedTarget stands for the figures of a target to which no daemon has sent requests.
const unusedTarget = "not used"

func (f fleet) printTargets(w io.Writer, rows []targetRow) error {
	t := newTable(w, "Service", "Target", "Domain", "State", "Shards", "Spans", "Running", "Connections", "Time (ms)")
	for _, r := range rows {
		running, connections, latency := unusedTarget, unusedTarget, unusedTarget
		if r.Load != nil {
			running, connections = fmt.Sprintf("%d/%d", r.Load.Running, r.Load.Slots), fmt.Sprint(r.Load.Connections)
			latency = fmt.Sprintf("%.1f", r.Load.ServiceTimeMs)
		}
		t.AppendRow([]any{r.Service, r.Name, r.Domain, r.State, r.Shards, r.Spans, running, connections, latency})
	}
	t.Render()
	for _, s := range f.Table.Services {
		if s.UnownedShards > 0 {
			_, _ = fmt.Fprintf(w, "service %s: %d of %d shards have points without a usable owner\n", s.Name, s.UnownedShards, s.Shards)
		}
	}
	return nil
}
