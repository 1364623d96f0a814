// Command jackdawloomd is the router's daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/examples"
	"github.com/jackdawloom/jackdawloom/internal/daemon"
	"github.com/jackdawloom/jackdawloom/internal/embedded"
	"github.com/jackdawloom/jackdawloom/internal/eventlog"
	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/settings"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdgw"
	"github.com/jackdawloom/jackdawloom/internal/topo/failover"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawloomd:", err)
		os.Exit(1)
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "jackdawloomd",
		Usage: "route requests to the targets that own their keys",
		Commands: []*cli.Command{
			platformCommand(),
			{
				Name:   "run",
				Usage:  "run a daemon",
				Flags:  []cli.Flag{settingsFlag()},
				Action: run,
			},
			{
				Name:   "check",
				Usage:  "check the settings and report every finding",
				Flags:  []cli.Flag{settingsFlag()},
				Action: check,
			},
			{
				Name:  "embedded",
				Usage: "run a daemon with a stand-in store and stand-in targets in one process",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "manifest", Usage: "serve the manifest `FILE` instead of the built-in example"},
					&cli.StringFlag{Name: "callers", Value: "127.0.0.1:8080", Usage: "serve callers at `ADDRESS`"},
					&cli.StringFlag{Name: "peers", Value: "127.0.0.1:8081", Usage: "serve other daemons at `ADDRESS`"},
					&cli.StringFlag{Name: "admin", Value: "127.0.0.1:8082", Usage: "serve the administrative interface at `ADDRESS`"},
				},
				Action: runEmbedded,
			},
		},
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "read the settings `FILE`"}
}

func check(_ context.Context, cmd *cli.Command) error {
	if _, err := settings.Load(cmd.String("settings")); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

// errEmbeddedStore reports settings that only the embedded command supports.
var errEmbeddedStore = errors.New("[store] embedded is set: use the embedded command")

func run(ctx context.Context, cmd *cli.Command) error {
	set, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	if set.Store.Embedded {
		return errEmbeddedStore
	}
	cert, pool, err := pki.Load(set.TLS.CA, set.TLS.Certificate, set.TLS.Key)
	if err != nil {
		return err
	}
	store, err := openStore(set.Store)
	if err != nil {
		return err
	}
	lines, log := openLog(set)
	defer writeLog(ctx, lines)()
	return daemon.New(daemon.Options{
		Settings: set, Store: store, Certificate: cert, Authorities: pool, Log: log, LogCounts: lines.Counts,
	}).Run(ctx)
}

// openStore returns a client that fails over between the store's URLs.
func openStore(s settings.Store) (*failover.Store, error) {
	var clients []failover.Client
	for _, u := range s.URLs {
		client, err := etcdgw.New(u, etcdgw.Options{CallTimeout: s.Timeout})
		if err != nil {
			return nil, err
		}
		clients = append(clients, client)
	}
	return failover.New(clients...), nil
}

func openLog(set *settings.Settings) (*eventlog.Log, *slog.Logger) {
	format := eventlog.JSON
	if set.Daemon.LogFormat == settings.LogText {
		format = eventlog.Text
	}
	lines := eventlog.New(format)
	return lines, slog.New(lines.Handler(set.Daemon.LogLevel))
}

func runEmbedded(ctx context.Context, cmd *cli.Command) error {
	file, b := examples.MuscatName, examples.Muscat
	var err error
	if name := cmd.String("manifest"); name != "" {
		file = name
		if b, err = os.ReadFile(file); err != nil {
			return err
		}
	}
	m, err := manifest.Parse(file, b)
	if err != nil {
		return err
	}
	var addresses [3]netip.AddrPort
	for i, name := range []string{"callers", "peers", "admin"} {
		if addresses[i], err = netip.ParseAddrPort(cmd.String(name)); err != nil {
			return fmt.Errorf("--%s: %w", name, err)
		}
	}
	set := embedded.Settings(addresses[0], addresses[1], addresses[2])
	lines, log := openLog(set)
	defer writeLog(ctx, lines)()
	return embedded.Run(ctx, m, set, log, func(*daemon.Daemon) {
		fmt.Printf("try: curl -i http://%s%s/ramadan-start\n", addresses[0], m.Services[0].PathPrefix)
	})
}
