package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

func evacuationsCommand() *cli.Command {
	return &cli.Command{
		Name:  "evacuations",
		Usage: "list the evacuated failure domains and what is left there",
		Description: `Known for is how long the daemon that answers has known of the request; after its start
it cannot tell how old the request is. Last send is when it stops sending to owners of keys there.
Keys are those of all services, requests those of this daemon only. On the users' platform, --admin
takes the metrics address of a daemon.

Example:
   jackdawctl --admin 10.0.0.5:9464 evacuations`,
		Action: showEvacuations,
	}
}

// evacuationsResult is the JSON result of evacuations.
type evacuationsResult struct{ adminapi.Evacuations }

func showEvacuations(ctx context.Context, cmd *cli.Command) error {
	if _, err := exactArgs(cmd, 0); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	var r evacuationsResult
	if err := c.get(ctx, adminapi.PathEvacuations, &r.Evacuations); err != nil {
		return err
	}
	return emit(cmd, r, r.print)
}

func (r evacuationsResult) print(w io.Writer) error {
	p := &printer{w: w}
	p.printf("Daemon %s, copy of the store %d ms old\n", r.Daemon, r.CopyAgeMs)
	if len(r.Domains) == 0 {
		p.printf("No failure domain is evacuated.\n")
		return p.err
	}
	t := newTable(w, "Domain", "Known for", "Last send", "Keys left", "Requests left", "Remarks")
	for _, e := range r.Domains {
		lastSend, remarks := "over", ""
		if e.LastSendMs > 0 {
			lastSend = "in " + (time.Duration(e.LastSendMs) * time.Millisecond).String()
		}
		if e.Missing {
			remarks = "request missing in the store"
		}
		t.AppendRow([]any{e.Domain, time.Duration(e.KnownForMs) * time.Millisecond, lastSend, e.Keys, e.Requests, remarks})
	}
	t.Render()
	return p.err
}
