package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/edge"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/eventlog"
	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
	"github.com/jackdawloom/jackdawloom/platform"
)

// platformCommand runs a daemon on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run a daemon on the platform whose settings file " + platform.SettingsVariable + " names",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Aliases: []string{"s"}, Required: true,
			Sources: cli.EnvVars(platform.SettingsVariable), Usage: "read the platform's settings `FILE`",
		}},
		Action: runEdge,
	}
}

func runEdge(ctx context.Context, cmd *cli.Command) error {
	watch := platform.NewSettingsWatcher(cmd.String("settings"))
	set, err := platform.LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	lines := eventlog.New(eventlog.JSON)
	log := slog.New(lines.Handler(slog.LevelInfo))
	defer writeLog(ctx, lines)()
	counts := metrics.New()
	store := platform.NewStore(set.StoreAddress, counts.CountStoreCall)
	defer store.Close()
	d := edge.New(edge.Options{
		Settings: set.Edge, Store: store, Documents: platform.Documents{}, GrantProtocol: platform.GrantProtocol{},
		Network: plainnet.New(set.Edge.PeerAddress, log), Names: &platform.HeaderNames, Log: log, Metrics: counts, LogCounts: lines.Counts,
	})
	watching, endWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer endWatching()
	go watch.Run(watching, log, func(s *platform.Settings) { d.Reload(s.Edge) })
	return d.Run(ctx)
}

// writeLog writes the log to the standard output until the returned function is
// called.
func writeLog(ctx context.Context, lines *eventlog.Log) (end func()) {
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		lines.Run(writing, os.Stdout)
	}()
	return func() {
		stop()
		<-done
	}
}
