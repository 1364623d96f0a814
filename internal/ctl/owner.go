package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

func ownerCommand() *cli.Command {
	return &cli.Command{
		Name:      "owner",
		Usage:     "tell which target owns a key, and why",
		ArgsUsage: "SERVICE KEY",
		Description: `Example:
   jackdawctl owner display ramadan-start`,
		Action: showOwner,
	}
}

// ownership is the result of owner for scripts.
type ownership struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
	adminapi.Owner
}

func showOwner(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 2)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	o := ownership{Key: args[1], Hash: fmt.Sprintf("%016x", table.KeyHash(args[1]))}
	query := url.Values{"service": {args[0]}, "key": {args[1]}}
	if err := c.get(ctx, adminapi.PathOwner+"?"+query.Encode(), &o.Owner); err != nil {
		return err
	}
	return emit(cmd, o, o.print)
}

func (o ownership) print(w io.Writer) error {
	t := newTable(w, "Service", "Key", "Owner")
	t.AppendRow([]any{o.Service, o.Key, orNone(o.Target)})
	t.Render()
	_, err := fmt.Fprintln(w, o.why())
	return err
}

// why explains the owner in sentences.
func (o ownership) why() string {
	s := fmt.Sprintf("The key's xxHash64 is %s, which falls into unit %s at unit epoch %d (table revision %d).\n",
		o.Hash, o.Unit, o.UnitEpoch, o.Revision)
	if o.Target == "" {
		return s + "The unit has no owner: its requests are refused as not run."
	}
	s += fmt.Sprintf("Target %s is %s; its front is %s with epoch %d, its standby %s.\n",
		o.Target, o.State, orNone(o.Front), o.Epoch, orNone(o.Standby))
	if o.MovingTo == "" {
		return s + "The unit is not moving."
	}
	return s + fmt.Sprintf("The unit is moving to %s.", o.MovingTo)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
