// Command jackdawstandin runs stand-ins for the systems around the router, for
// tests and the quick start.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawstandin:", err)
		os.Exit(1)
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "jackdawstandin",
		Usage: "run stand-ins for the systems around the router",
		Commands: []*cli.Command{
			storeCommand(),
			targetCommand(),
		},
	}
}
