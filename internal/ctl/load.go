package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/loadgen"
)

// Flags of load.
const (
	flagCallers       = "callers"
	flagRate          = "rate"
	flagDuration      = "duration"
	flagSeed          = "seed"
	flagKeys          = "keys"
	flagZipf          = "zipf"
	flagClass         = "class"
	flagStepFactor    = "step-factor"
	flagStepStart     = "step-start"
	flagStepEnd       = "step-end"
	flagStragglers    = "stragglers"
	flagStragglerWork = "straggler-work"
	flagInFlight      = "in-flight"
	flagTimeout       = "timeout"
	flagSave          = "save"
	flagPlot          = "plot"
	flagAllowRemote   = "allow-remote"
)

// Default values of the flags of load.
const (
	defaultCallers       = "127.0.0.1:8080"
	defaultRate          = 100.0 // requests/s
	defaultDuration      = 10 * time.Second
	defaultKeys          = 100_000
	defaultZipf          = 1.1
	defaultStragglerWork = 200 * time.Millisecond
	defaultInFlight      = 1000
	defaultTimeout       = 10 * time.Second
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:      "load",
		Usage:     "send generated requests to daemons and measure their results and latencies as callers see them",
		ArgsUsage: "FILE",
		Description: `Sends requests for the classes of the manifest FILE at random times that do not
depend on the responses (open loop). Latencies count from the intended arrival.
While --in-flight requests are in flight, further arrivals are counted as not sent.
The same seed gives the same requests.

The requests reach the targets and may change their data, also those of classes that
must never be repeated. Only addresses of this machine are accepted unless
--allow-remote is given.

Examples:
   jackdawctl load examples/muscat.json --rate 500 --duration 30s
   jackdawctl load examples/muscat.json --rate 300 --duration 60s \
      --step-factor 4 --step-start 20s --step-end 40s --plot step.svg --save step.json
   jackdawctl load examples/muscat.json --class display/read=9 --class scheduling/book=1`,
		Flags:  loadFlags(),
		Action: runLoad,
	}
}

func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagCallers, Value: defaultCallers, Usage: "send to the daemons' caller addresses `ADDR[,ADDR]`"},
		&cli.FloatFlag{Name: flagRate, Value: defaultRate, Usage: "mean arrivals per second"},
		&cli.DurationFlag{Name: flagDuration, Value: defaultDuration, Usage: "length of the run"},
		&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the random requests"},
		&cli.IntFlag{Name: flagKeys, Value: defaultKeys, Usage: "number of keys per service"},
		&cli.FloatFlag{Name: flagZipf, Value: defaultZipf, Usage: "exponent of the Zipf distribution of the keys, above 1; 0 for a uniform distribution"},
		&cli.StringSliceFlag{Name: flagClass, Usage: "send requests of the class `SERVICE/CLASS=WEIGHT` only, with this weight; may be given more than once (default: every class, weighted by its service's slots)"},
		&cli.FloatFlag{Name: flagStepFactor, Usage: "factor on the rate between --step-start and --step-end"},
		&cli.DurationFlag{Name: flagStepStart, Usage: "start of the step, from the start of the run"},
		&cli.DurationFlag{Name: flagStepEnd, Usage: "end of the step, from the start of the run"},
		&cli.FloatFlag{Name: flagStragglers, Usage: "fraction of the requests, 0 to 1, that ask a stand-in target for longer work"},
		&cli.DurationFlag{Name: flagStragglerWork, Value: defaultStragglerWork, Usage: "duration of the work of a request chosen by --stragglers"},
		&cli.IntFlag{Name: flagInFlight, Value: defaultInFlight, Usage: "maximum number of requests in flight"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "maximum time to wait for the response to a request"},
		&cli.StringFlag{Name: flagSave, Usage: "write the result as JSON to `FILE`"},
		&cli.StringFlag{Name: flagPlot, Usage: "draw p99 and good requests per second to the SVG `FILE`"},
		&cli.BoolFlag{Name: flagAllowRemote, Usage: "permit addresses of other machines"},
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, 1)
	if err != nil {
		return err
	}
	m, err := readManifest(args[0])
	if err != nil {
		return err
	}
	config, err := loadConfig(cmd)
	if err != nil {
		return err
	}
	result, err := loadgen.Run(ctx, config, m)
	if err != nil {
		return loadError(err)
	}
	if err := emit(cmd, result, func(w io.Writer) error { return printLoad(w, result) }); err != nil {
		return err
	}
	return saveLoad(cmd, result)
}

func loadError(err error) error {
	f := usageError(err.Error())
	if errors.Is(err, loadgen.ErrRemote) {
		f.Remedy = "name addresses of this machine, or add --" + flagAllowRemote + " if requests may be sent to other machines"
	}
	return f
}

func loadConfig(cmd *cli.Command) (loadgen.Config, error) {
	weights, err := parseWeights(cmd.StringSlice(flagClass))
	if err != nil {
		return loadgen.Config{}, err
	}
	return loadgen.Config{
		Addresses:   strings.Split(cmd.String(flagCallers), ","),
		AllowRemote: cmd.Bool(flagAllowRemote),
		Rate:        cmd.Float(flagRate),
		Duration:    cmd.Duration(flagDuration),
		Seed:        cmd.Uint64(flagSeed),
		Profile: loadgen.Profile{
			Factor: cmd.Float(flagStepFactor), Start: cmd.Duration(flagStepStart), End: cmd.Duration(flagStepEnd),
		},
		Weights:    weights,
		Keys:       cmd.Int(flagKeys),
		Zipf:       cmd.Float(flagZipf),
		Stragglers: loadgen.Stragglers{Ratio: cmd.Float(flagStragglers), Work: cmd.Duration(flagStragglerWork)},
		InFlight:   cmd.Int(flagInFlight),
		Timeout:    cmd.Duration(flagTimeout),
	}, nil
}

func parseWeights(list []string) (map[string]float64, error) {
	if len(list) == 0 {
		return nil, nil
	}
	weights := make(map[string]float64, len(list))
	for _, item := range list {
		class, text, _ := strings.Cut(item, "=")
		weight, err := strconv.ParseFloat(text, 64)
		if err != nil || weight < 0 || class == "" {
			return nil, usageError(fmt.Sprintf("--%s %q is not SERVICE/CLASS=WEIGHT", flagClass, item))
		}
		weights[class] = weight
	}
	return weights, nil
}

func saveLoad(cmd *cli.Command, r *loadgen.Result) error {
	if name := cmd.String(flagSave); name != "" {
		err := writeFile(name, func(w io.Writer) error {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(r)
		})
		if err != nil {
			return err
		}
	}
	if name := cmd.String(flagPlot); name != "" {
		return writeFile(name, func(w io.Writer) error { return loadgen.Plot(w, r) })
	}
	return nil
}

func printLoad(w io.Writer, r *loadgen.Result) error {
	t := newTable(w, "Class", "Sent", "Not sent", "Answered", "Good", "Refused", "Failed",
		"p50 (ms)", "p90", "p99", "p99.9", "Max", "Answered/s", "Good/s")
	for _, c := range r.Classes {
		t.AppendRow([]any{
			c.Class, c.Sent, c.NotSent, c.Answered, fmt.Sprintf("%d in %d ms", c.Good, c.ObjectiveMs),
			refusedCount(c), failedCount(c),
			c.Latency.P50Ms, c.Latency.P90Ms, c.Latency.P99Ms, c.Latency.P999Ms, c.Latency.MaxMs,
			fmt.Sprintf("%.1f", c.Throughput), fmt.Sprintf("%.1f", c.Goodput),
		})
	}
	t.Render()
	for _, c := range r.Classes {
		for _, refused := range c.Refused {
			_, _ = fmt.Fprintf(w, "%s: %d requests refused with status %d, outcome %s, reason %s\n",
				c.Class, refused.Count, refused.Status, refused.Outcome, refused.Reason)
		}
		for _, failed := range c.Failed {
			_, _ = fmt.Fprintf(w, "%s: %d requests failed: %s\n", c.Class, failed.Count, failed.Failure)
		}
	}
	if r.Interrupted {
		_, _ = fmt.Fprintln(w, "The run was interrupted; the figures cover only the part before the interruption.")
	}
	_, err := fmt.Fprintf(w, "Latencies are those of answered requests, measured from the intended arrival. The longest delay between intended arrival and sending was %.1f ms.\n",
		r.SendDelayMaxMs)
	return err
}

func refusedCount(c loadgen.ClassResult) uint64 {
	var n uint64
	for _, r := range c.Refused {
		n += r.Count
	}
	return n
}

func failedCount(c loadgen.ClassResult) uint64 {
	var n uint64
	for _, f := range c.Failed {
		n += f.Count
	}
	return n
}
