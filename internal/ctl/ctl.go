// Package ctl implements the commands of jackdawctl, one file per command. The commands
// call daemons through the administrative interface only.
package ctl

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

// DefaultAdmin is the administrative address used when --admin is not given.
const DefaultAdmin = "127.0.0.1:8082"

// Flags common to all commands.
const (
	flagAdmin = "admin"
	flagJSON  = "json"
)

const description = `Reads and changes the configuration of a fleet of jackdawloomd, and shows its
state. With --json, every command prints its result as JSON for scripts.

Exit codes:
   0  done
   1  failed; nothing was changed unless the message says so
   2  wrong usage
   3  the manifest has findings
   4  conflict: the configuration was changed by somebody else
   5  unknown: the change may or may not have been stored
   6  stored, but not in force on every member within --wait

Shell completion: jackdawctl completion bash|zsh|fish|pwsh`

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand(stdout, stderr)
	setUsageErrorHandlers(root)
	err := root.Run(ctx, args)
	return reportError(stderr, err)
}

func newRootCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "jackdawctl",
		Usage:                 "operate a fleet of jackdawloomd",
		Description:           description,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Suggest:        true,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // reportError prints the error
		Action:         rootAction,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagAdmin, Value: DefaultAdmin, Sources: cli.EnvVars("JACKDAWCTL_ADMIN"),
				Usage: "call the daemons at `ADDR[,ADDR]`, in this order until one answers",
			},
			&cli.BoolFlag{Name: flagJSON, Usage: "print the result as JSON"},
		},
		Commands: []*cli.Command{
			validateCommand(), diffCommand(), applyCommand(), configCommand(),
			instancesCommand(), targetsCommand(), ownerCommand(), drainCommand(), undrainCommand(),
			burnCommand(), certsCommand(), loadCommand(), moveCommand(),
			experimentCommand(), explainCommand(), routeCommand(), evacuationsCommand(),
		},
	}
}

// setUsageErrorHandlers makes usage errors print the error instead of the full help text.
// It sets the handler on every command, as subcommands do not inherit it.
func setUsageErrorHandlers(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError(err.Error())
	}
	for _, sub := range cmd.Commands {
		setUsageErrorHandlers(sub)
	}
}

func rootAction(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return usageError("unknown command " + name)
	}
	return cli.ShowRootCommandHelp(cmd)
}

// exactArgs returns the positional arguments. Any number other than n is a usage error.
func exactArgs(cmd *cli.Command, n int) ([]string, error) {
	if cmd.Args().Len() != n {
		return nil, usageError("expected " + cmd.ArgsUsage)
	}
	return cmd.Args().Slice(), nil
}
