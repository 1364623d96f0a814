package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "move all keys away from a target and wait until it owns none",
		ArgsUsage: "SERVICE TARGET",
		Description: `Sets the target's drain flag in the configuration. New requests go to
other targets within seconds; running requests are finished. The flag stays set
until it is cleared with undrain.

Example:
   jackdawctl drain display display-03`,
		Flags:  writeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error { return setDrain(ctx, cmd, true) },
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name:      "undrain",
		Usage:     "clear a target's drain flag, so that it can own keys again",
		ArgsUsage: "SERVICE TARGET",
		Description: `Example:
   jackdawctl undrain display display-03`,
		Flags:  writeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error { return setDrain(ctx, cmd, false) },
	}
}

// drainResult is the JSON result of drain and undrain.
type drainResult struct {
	applyResult
	// Spans is the number of contiguous key ranges that the target owns at the end.
	Spans int `json:"spans"`
}

func setDrain(ctx context.Context, cmd *cli.Command, drain bool) error {
	args, err := exactArgs(cmd, 2)
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
	updated, err := withDrain(current.Manifest, args[0], args[1], drain)
	if err != nil {
		return err
	}
	// If the flag is already set as requested, as on a repeated call, no change is sent.
	result := drainResult{applyResult: applyResult{Revision: current.Revision, InForce: true, Changes: []manifest.Change{}, Lagging: []laggingMember{}}}
	if len(manifest.Diff(&current.Manifest, updated)) > 0 {
		if result.applyResult, err = c.applyManifest(ctx, cmd, current, current.Revision, updated); err != nil {
			return err
		}
	}
	if drain {
		result.Spans, err = c.awaitEmpty(ctx, cmd, args[0], args[1])
	} else {
		result.Spans, err = c.awaitActive(ctx, cmd, args[0], args[1])
	}
	if err != nil {
		return err
	}
	return result.emitResult(cmd, args[1], drain)
}

// withDrain returns a copy of the manifest with the target's drain flag set to drain.
func withDrain(m manifest.Manifest, service, target string, drain bool) (*manifest.Manifest, error) {
	s := m.ServiceNamed(service)
	if s == nil || s.TargetNamed(target) == nil {
		return nil, &CommandError{
			Code: ExitFailed, Problem: fmt.Sprintf("the configuration has no target %s of service %s", target, service),
			Remedy: "list the names with jackdawctl targets",
		}
	}
	out := m
	out.Services = append([]manifest.Service(nil), m.Services...)
	updated := out.ServiceNamed(service)
	updated.Targets = append([]manifest.Target(nil), s.Targets...)
	updated.TargetNamed(target).Drain = drain
	findings := out.Validate("configuration")
	if err := findings.Err(); err != nil {
		return nil, manifestError(err)
	}
	return &out, nil
}

// awaitEmpty waits until the target owns no keys or --wait has passed, and returns the
// number of spans that it still owns.
func (c *client) awaitEmpty(ctx context.Context, cmd *cli.Command, service, target string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	last, seen := 0, false
	for {
		n, err := c.ownedSpans(ctx, service, target)
		switch {
		case err == nil && n == 0:
			return 0, nil
		case err == nil:
			last, seen = n, true
		case ctx.Err() != nil && !seen:
			return 0, err
		}
		if ctx.Err() != nil {
			return last, nil
		}
		waitPollInterval(ctx)
	}
}

// awaitActive waits until the target may own keys again or --wait has passed, and returns
// the number of spans that it owns. The target becomes active only once daemons have
// learned from the target itself that it is alive.
func (c *client) awaitActive(ctx context.Context, cmd *cli.Command, service, target string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	for {
		row, err := c.fetchTarget(ctx, service, target)
		if row.State == adminapi.TargetActive || ctx.Err() != nil {
			return row.Spans, err
		}
		waitPollInterval(ctx)
	}
}

func (c *client) ownedSpans(ctx context.Context, service, target string) (int, error) {
	row, err := c.fetchTarget(ctx, service, target)
	return row.Spans, err
}

// fetchTarget returns the target as listed in the table, or the zero value if it is not
// listed.
func (c *client) fetchTarget(ctx context.Context, service, target string) (adminapi.Target, error) {
	var t adminapi.Table
	if err := c.get(ctx, adminapi.PathTable, &t); err != nil {
		return adminapi.Target{}, err
	}
	for _, s := range t.Services {
		if s.Name != service {
			continue
		}
		for _, row := range s.Targets {
			if row.Name == target {
				return row, nil
			}
		}
	}
	return adminapi.Target{}, nil
}

func (d drainResult) emitResult(cmd *cli.Command, target string, drain bool) error {
	writeText := func(w io.Writer) error {
		if err := d.print(w); err != nil {
			return err
		}
		_, err := fmt.Fprintf(w, "target %s owns %d ranges of keys\n", target, d.Spans)
		return err
	}
	if err := emit(cmd, d, writeText); err != nil {
		return err
	}
	if err := d.checkInForce(); err != nil {
		return err
	}
	if drain && d.Spans > 0 {
		return &CommandError{
			Code: ExitNotInForce, Problem: fmt.Sprintf("target %s is draining and still owns %d ranges of keys", target, d.Spans),
			Remedy: "check the target's spans with jackdawctl targets; do not stop the target before they have reached 0",
		}
	}
	return nil
}
