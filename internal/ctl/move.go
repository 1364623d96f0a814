package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

// defaultMoveWait is meant to cover the deadlines of most classes, since a move waits for
// the running requests of the shard. A manifest may allow deadlines up to
// manifest.MaxDeadlineMs.
const defaultMoveWait = 15 * time.Second

func moveCommand() *cli.Command {
	return &cli.Command{
		Name:      "move",
		Usage:     "move a shard to a target and wait until it owns it",
		ArgsUsage: "SERVICE SHARD TARGET",
		Description: `SHARD is a number from 0, as printed by owner. Requests of the shard wait while
it moves, so callers see a delay only. For 10 minutes, load balancing does not move
the shard away from the target; a drain or the loss of the target still does. The
request for the move is kept by the coordinator in memory: if the coordinator changes
before the move has begun, run the command again.

Example:
   jackdawctl move display 1001 display-04`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagWait, Value: defaultMoveWait, Usage: "maximum time to wait for the move"},
		},
		Action: moveShard,
	}
}

func moveShard(ctx context.Context, cmd *cli.Command) error {
	m, err := parseMove(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	before, err := c.requestMove(ctx, m)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(progressWriter(cmd), "move accepted: shard %d of service %s, currently owned by %s\n", m.Shard, m.Service, orNone(before.Target))
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	owner, moved := c.awaitMove(ctx, m, before)
	err = emit(cmd, owner, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "shard %d of service %s is owned by %s (table revision %d)\n", m.Shard, m.Service, orNone(owner.Target), owner.Revision)
		return err
	})
	if err != nil || moved {
		return err
	}
	return &CommandError{
		Code: ExitNotInForce, Problem: fmt.Sprintf("target %s does not own the whole shard yet", m.Target),
		Remedy: "the move may be waiting for running requests; run the same command again to check, which is safe to repeat",
	}
}

func parseMove(cmd *cli.Command) (adminapi.Move, error) {
	args, err := exactArgs(cmd, 3)
	if err != nil {
		return adminapi.Move{}, err
	}
	n, err := strconv.ParseUint(args[1], 10, 31)
	if err != nil {
		return adminapi.Move{}, usageError(fmt.Sprintf("%q is not a shard number", args[1]))
	}
	return adminapi.Move{Service: args[0], Shard: int(n), Target: args[2]}, nil
}

// requestMove sends the move to the daemons in turn until one responds, and returns the
// shard's present owner. Sending it again after a lost response is safe: a move may be
// repeated.
func (c *client) requestMove(ctx context.Context, m adminapi.Move) (adminapi.Owner, error) {
	var errs []error
	for _, address := range c.addresses {
		var o adminapi.Owner
		err := c.call(ctx, http.MethodPost, address, adminapi.PathMoves, m, &o)
		if err == nil {
			return o, nil
		}
		if !errors.Is(err, ErrNoResponse) {
			return adminapi.Owner{}, callError(err)
		}
		errs = append(errs, err)
	}
	return adminapi.Owner{}, callError(errors.Join(errs...))
}

// awaitMove waits until the target owns the whole shard or ctx ends. It returns the last
// known owner and whether the move is complete.
func (c *client) awaitMove(ctx context.Context, m adminapi.Move, last adminapi.Owner) (adminapi.Owner, bool) {
	query := url.Values{"service": {m.Service}, "shard": {strconv.Itoa(m.Shard)}}
	for {
		if last.Target == m.Target && last.SingleOwner {
			return last, true
		}
		waitPollInterval(ctx)
		var owner adminapi.Owner
		if err := c.get(ctx, adminapi.PathOwner+"?"+query.Encode(), &owner); err == nil {
			last = owner
		}
		if ctx.Err() != nil {
			return last, false
		}
	}
}
