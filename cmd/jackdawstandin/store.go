package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/standin/storesrv"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// storeCommand returns the subcommand that runs the stand-in store.
func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "serve the platform's key-value store and instance list from memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:2379", Usage: "serve on `ADDRESS`"},
			&cli.StringFlag{Name: "control", Usage: "also serve the fault controls on `ADDRESS`; needed to simulate refused connections"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runStore(ctx, cmd.String("listen"), cmd.String("control"))
		},
	}
}

func runStore(ctx context.Context, addr, control string) error {
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	defer shared.Close()
	listener, err := storesrv.Listen(shared, storesrv.Addresses{Store: addr, Control: control})
	if err != nil {
		return err
	}
	defer listener.Close()
	fmt.Println("store listening on", listener.Addr())
	if control != "" {
		fmt.Println("controls listening on", listener.ControlAddr())
	}
	<-ctx.Done()
	return nil
}
