package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

const (
	flagMethod = "method"
	flagHeader = "header"
)

func routeCommand() *cli.Command {
	return &cli.Command{
		Name:      "route",
		Usage:     "explain where a request would go now, and why, without sending it",
		ArgsUsage: "TARGET",
		Description: `TARGET is the request target: a path with its query, or an http URL for routes that
are matched by host. Headers that decide about the key or the deadline are given with --header.
The daemon that answers explains what it would do itself; others may know other loads. On the
users' platform, --admin takes the metrics address of a daemon.

Examples:
   jackdawctl route /display/show?key=ramadan-start
   jackdawctl --admin 10.0.0.5:9464 route --header "X-Key: 4711" http://shop.example/orders`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagMethod, Value: "GET", Usage: "the `METHOD` of the request"},
			&cli.StringSliceFlag{Name: flagHeader, Usage: "a header of the request, `\"NAME: VALUE\"`; may be repeated"},
		},
		Action: showRoute,
	}
}

// routeResult is the JSON result of route.
type routeResult struct{ adminapi.RouteExplanation }

func showRoute(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, 1)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{"method": {cmd.String(flagMethod)}, "target": {args[0]}, "header": cmd.StringSlice(flagHeader)}
	var r routeResult
	if err := c.get(ctx, adminapi.PathRoute+"?"+query.Encode(), &r.RouteExplanation); err != nil {
		return err
	}
	return emit(cmd, r, r.print)
}

func (r routeResult) print(w io.Writer) error {
	p := &printer{w: w}
	p.printf("Daemon %s in domain %s, configuration %d, copy of the store %d ms old\n", r.Daemon, r.Domain, r.ConfigRevision, r.CopyAgeMs)
	if r.Status != 0 {
		p.printf("No route matches: the request would be refused with status %d (%s) and not run.\n", r.Status, r.Reason)
		return p.err
	}
	p.printf("Route %s: %s, at most %d attempts, priority %d, objective %d ms, timeout %d ms\n",
		r.Route, repeatRule(r.Idempotent), r.MaxAttempts, r.Priority, r.ObjectiveMs, r.TimeoutMs)
	if r.HasKey {
		p.printf("Key: point %d\n", r.Point)
	}
	for _, s := range r.Services {
		p.printf("\nService %s gets %.0f%% of the route's requests; %d requests at %d slots\n", s.Service, 100*s.Share, s.Running, s.Slots)
		p.printf("%s\n", decision(s))
		if len(s.Candidates) == 0 {
			continue
		}
		t := newTable(w, "Target", "Domain", "State", "Running", "Connections", "Expected (ms)", "Remarks")
		for _, c := range s.Candidates {
			t.AppendRow([]any{c.Target, c.Domain, c.State, fmt.Sprintf("%d+%d/%d", c.Running, c.RunningElsewhere, c.Slots), c.Connections, c.ExpectedMs, remarks(c)})
		}
		t.Render()
		if more := s.CandidateCount - len(s.Candidates); more > 0 {
			p.printf("and %d more targets\n", more)
		}
	}
	return p.err
}

// printer writes formatted text until the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func repeatRule(idempotent bool) string {
	if idempotent {
		return "idempotent"
	}
	return "run at most once"
}

// decision returns a sentence that tells what would happen to the request.
func decision(s adminapi.RoutedToService) string {
	switch {
	case s.Refused != "" && s.Owner != "":
		return fmt.Sprintf("Not sent now: %s. The key's owner is %s (fence %d, table revision %d). If that lasts, the request is refused with a Retry-After of %d ms.", s.Refused, s.Owner, s.Fence, s.TableRevision, s.RetryAfterMs)
	case s.Refused != "":
		return fmt.Sprintf("Not sent now: %s. If that lasts, the request is refused with a Retry-After of %d ms.", s.Refused, s.RetryAfterMs)
	case s.Keyed:
		return fmt.Sprintf("Sent to %s, which owns the key (fence %d, table revision %d).", s.Owner, s.Fence, s.TableRevision)
	case s.HedgeAfterMs > 0:
		return fmt.Sprintf("Sent to one of the first targets below; without a response after %d ms to a second one as well, if the load permits.", s.HedgeAfterMs)
	default:
		return "Sent to one of the first targets below."
	}
}

// remarks returns what else decides about the target.
func remarks(c adminapi.RouteCandidate) string {
	var out []string
	if c.LeftOut != "" {
		out = append(out, "left out: "+c.LeftOut)
	}
	if c.Suspect {
		out = append(out, "failed recently")
	}
	if c.ColdMs > 0 {
		out = append(out, fmt.Sprintf("warming up for %d ms", c.ColdMs))
	}
	if c.PausedMs > 0 {
		out = append(out, fmt.Sprintf("paused for %d ms", c.PausedMs))
	}
	return strings.Join(out, ", ")
}
