package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

func ownerCommand() *cli.Command {
	return &cli.Command{
		Name:      "owner",
		Usage:     "print the target that owns a key, and the assignment that makes it the owner",
		ArgsUsage: "SERVICE KEY",
		Description: `Example:
   jackdawctl owner display ramadan-start`,
		Action: showOwner,
	}
}

// ownerResult is the JSON result of owner.
type ownerResult struct {
	Key string `json:"key"`
	adminapi.Owner
}

func showOwner(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, 2)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	o := ownerResult{Key: args[1]}
	query := url.Values{"service": {args[0]}, "key": {args[1]}}
	if err := c.get(ctx, adminapi.PathOwner+"?"+query.Encode(), &o.Owner); err != nil {
		return err
	}
	return emit(cmd, o, o.print)
}

func (o ownerResult) print(w io.Writer) error {
	t := newTable(w, "Service", "Key", "Owner")
	t.AppendRow([]any{o.Service, o.Key, orNone(o.Target)})
	t.Render()
	_, err := fmt.Fprintln(w, o.explanation())
	return err
}

// explanation returns sentences that tell why the key has this owner.
func (o ownerResult) explanation() string {
	s := fmt.Sprintf("The key is hashed to point %d, which is in shard %d (table revision %d).\n", o.Point, o.Shard, o.Revision)
	if o.Target == "" {
		return s + "The point has no owner, so requests for its keys are refused without being run."
	}
	s += fmt.Sprintf("Target %s owns the point with fence %d. The target is %s.", o.Target, o.Fence, o.TargetState)
	if !o.SingleOwner {
		s += "\nOther points of the shard have another owner: busy keys of a shard are moved to other targets separately."
	}
	return s
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
