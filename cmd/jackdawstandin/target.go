package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
)

// drainTimeout bounds the wait for running requests after a stop signal.
const drainTimeout = 30 * time.Second

// targetCommand returns the subcommand that runs one stand-in target.
func targetCommand() *cli.Command {
	return &cli.Command{
		Name:   "target",
		Usage:  "run a stand-in target",
		Flags:  targetFlags(),
		Action: runTarget,
	}
}

func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "listen on `ADDRESS`"},
		&cli.StringFlag{Name: "name", Value: "target", Usage: "the target's `NAME` in the manifest"},
		&cli.IntFlag{Name: "slots", Value: targetsrv.DefaultSlots, Usage: "run at most `N` requests at once"},
		&cli.BoolFlag{Name: "checks-grants", Usage: "refuse requests for keys outside the grant"},
		&cli.StringFlag{Name: "service-time", Value: "2ms", Usage: "`DISTRIBUTION` of the service time: 2ms, exp:2ms or uniform:1ms..5ms"},
		&cli.DurationFlag{Name: "cold-for", Usage: "run requests more slowly for `DURATION` after the start"},
		&cli.FloatFlag{Name: "cold-factor", Value: 4, Usage: "take `FACTOR` times as long for a request at the start, falling to 1 over --cold-for"},
		&cli.DurationFlag{Name: "drain-grace", Value: targetsrv.DefaultDrainGrace, Usage: "accept new requests for `DURATION` while draining"},
		&cli.DurationFlag{Name: "idle-timeout", Usage: "close connections idle for `DURATION`"},
		&cli.StringFlag{Name: "record", Usage: "also append a record of every request run to `FILE`"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the service times"},
	}
}

func targetConfig(cmd *cli.Command) (targetsrv.Config, error) {
	work, err := targetsrv.ParseServiceTime(cmd.String("service-time"))
	if err != nil {
		return targetsrv.Config{}, err
	}
	return targetsrv.Config{
		Name:         cmd.String("name"),
		Slots:        cmd.Int("slots"),
		ChecksGrants: cmd.Bool("checks-grants"),
		ServiceTime:  work,
		ColdFor:      cmd.Duration("cold-for"),
		ColdFactor:   cmd.Float("cold-factor"),
		DrainGrace:   cmd.Duration("drain-grace"),
		IdleTimeout:  cmd.Duration("idle-timeout"),
		Seed:         cmd.Uint64("seed"),
	}, nil
}

// runTarget serves until a stop signal, then drains.
func runTarget(ctx context.Context, cmd *cli.Command) error {
	config, err := targetConfig(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := targetsrv.New(config)
	if name := cmd.String("record"); name != "" {
		file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		s.Runs().RecordTo(file)
	}
	address, err := s.Listen(ctx, cmd.String("listen"))
	if err != nil {
		return fmt.Errorf("target %s: %w", config.Name, err)
	}
	slog.Info("target listens", "name", config.Name, "address", address.String())
	<-ctx.Done()
	return stopTarget(s)
}

func stopTarget(s *targetsrv.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	drained := s.Drain(ctx)
	if err := s.Close(); err != nil {
		return err
	}
	return drained
}
