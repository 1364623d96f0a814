package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

const flagRevisionOnly = "revision-only"

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "read the configuration in force",
		Commands: []*cli.Command{{
			Name:  "show",
			Usage: "print the manifest in force, in the form that apply reads",
			Description: `With --json, the revision, operation and author are printed too.

Examples:
   jackdawctl config show > muscat.json
   jackdawctl apply muscat.json --based-on "$(jackdawctl config show --revision-only)"`,
			Flags:  []cli.Flag{&cli.BoolFlag{Name: flagRevisionOnly, Usage: "print only the revision"}},
			Action: showConfig,
		}},
	}
}

func showConfig(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	current, err := c.fetchConfig(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool(flagRevisionOnly) {
		_, err := fmt.Fprintln(resultWriter(cmd), current.Revision)
		return err
	}
	return emit(cmd, current, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(current.Manifest)
	})
}
