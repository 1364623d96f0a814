package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare a manifest with the configuration in force",
		ArgsUsage: "FILE",
		Description: `Prints one line per change, with a warning where the change moves keys or
weakens a guarantee. The last line names the revision for apply --based-on.

Example:
   jackdawctl diff muscat.json`,
		Action: showDiff,
	}
}

// difference is the result of diff for scripts.
type difference struct {
	Revision uint64            `json:"revision"`
	Changes  []manifest.Change `json:"changes"`
}

func showDiff(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	m, err := readManifest(args[0])
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	current, err := c.config(ctx)
	if err != nil {
		return err
	}
	d := differenceFrom(current, m)
	return emit(cmd, d, d.print)
}

// config reads the configuration in force; revision 0 stands for none.
func (c *client) config(ctx context.Context) (manifest.Accepted, error) {
	var current manifest.Accepted
	err := c.get(ctx, adminapi.PathConfig, &current)
	return current, err
}

func differenceFrom(current manifest.Accepted, m *manifest.Manifest) difference {
	changes := manifest.Diff(&current.Manifest, m)
	if changes == nil {
		changes = []manifest.Change{}
	}
	return difference{Revision: current.Revision, Changes: changes}
}

func (d difference) print(w io.Writer) error {
	for _, c := range d.Changes {
		if _, err := fmt.Fprintln(w, "  "+c.String()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d changes against revision %d\n", len(d.Changes), d.Revision)
	return err
}
