package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/edge"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/eventlog"
	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
	"github.com/jackdawloom/jackdawloom/platform"
)

// platformCommand returns the subcommand that runs a daemon on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run a daemon on the platform whose settings file " + platform.SettingsVariable + " names",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Aliases: []string{"s"}, Required: true,
				Sources: cli.EnvVars(platform.SettingsVariable), Usage: "read the platform's settings `FILE`",
			},
			&cli.FloatFlag{
				Name: "hedge-share", Usage: "send up to this `SHARE` (0 to 0.5) of the idempotent requests to a second target if the first is slow",
				Validator: validateHedgeShare,
			},
		},
		Action: runEdge,
	}
}

// maxHedgeShare bounds the extra load. With more, the delay would be below the usual response time.
const maxHedgeShare = 0.5

func validateHedgeShare(share float64) error {
	if !(share >= 0 && share <= maxHedgeShare) { // also true for NaN
		return fmt.Errorf("hedge share %v is not between 0 and %v", share, maxHedgeShare)
	}
	return nil
}

func runEdge(ctx context.Context, cmd *cli.Command) error {
	watcher := platform.NewSettingsWatcher(cmd.String("settings"))
	set, err := platform.LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	set.Edge.HedgeShare = cmd.Float("hedge-share")
	lines := eventlog.New(eventlog.JSON)
	log := slog.New(lines.Handler(slog.LevelInfo))
	defer writeLog(ctx, lines)()
	daemonMetrics := metrics.New()
	store := platform.NewStore(set.StoreAddress, daemonMetrics.CountStoreCall)
	defer store.Close()
	d := edge.New(edge.Options{
		Settings: set.Edge, Store: store, Documents: platform.Documents{}, GrantProtocol: platform.GrantProtocol{},
		Network: plainnet.New(set.Edge.PeerAddress, log), HeaderNames: &platform.HeaderNames, Log: log, Metrics: daemonMetrics, LogCounts: lines.Counts,
	})
	apply := func(s *platform.Settings) { d.Reload(s.Edge) }
	watchCtx, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	daemonCtx, stopDaemon := context.WithCancel(watchCtx)
	go func() {
		// The stop depends on the grace period in the settings at the time of SIGTERM.
		watcher.Run(ctx, log, apply)
		stopDaemon()
		watcher.Run(watchCtx, log, apply)
	}()
	context.AfterFunc(ctx, func() { time.AfterFunc(maxStopDelay, stopDaemon) })
	return d.Run(daemonCtx)
}

// maxStopDelay bounds how long reading the settings delays a stop, as the disk may be slow.
const maxStopDelay = 100 * time.Millisecond

// writeLog writes the log to the standard output in the background. The returned
// function stops the writer and waits for it.
func writeLog(ctx context.Context, lines *eventlog.Log) (end func()) {
	writeCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		lines.Run(writeCtx, os.Stdout)
	}()
	return func() {
		stop()
		<-done
	}
}
