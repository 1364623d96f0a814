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

// diffResult is the JSON result of diff.
type diffResult struct {
	Revision uint64            `json:"revision"`
	Changes  []manifest.Change `json:"changes"`
}

func showDiff(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, 1)
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
	current, err := c.fetchConfig(ctx)
	if err != nil {
		return err
	}
	d := diffAgainst(current, m)
	return emit(cmd, d, d.print)
}

// fetchConfig returns the configuration in force. Its revision is 0 if there is none.
func (c *client) fetchConfig(ctx context.Context) (manifest.Accepted, error) {
	var current manifest.Accepted
	err := c.get(ctx, adminapi.PathConfig, &current)
	return current, err
}

func diffAgainst(current manifest.Accepted, m *manifest.Manifest) diffResult {
	changes := manifest.Diff(&current.Manifest, m)
	if changes == nil {
		changes = []manifest.Change{}
	}
	return diffResult{Revision: current.Revision, Changes: changes}
}

func (d diffResult) print(w io.Writer) error {
	for _, c := range d.Changes {
		if _, err := fmt.Fprintln(w, "  "+c.String()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d changes against revision %d\n", len(d.Changes), d.Revision)
	return err
}
