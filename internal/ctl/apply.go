package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Flags of apply.
const (
	flagBasedOn   = "based-on"
	flagOperation = "operation"
	flagAuthor    = "author"
	flagWait      = "wait"
)

// basedOnCurrent is the value of --based-on that accepts any current revision.
const basedOnCurrent = "current"

// defaultWait exceeds 16 s, the limit within which a change is to be in force on every
// member.
const defaultWait = 20 * time.Second

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "store a manifest and wait until it is in force on every member",
		ArgsUsage: "FILE --based-on N",
		Description: `Prints the changes first. The manifest is stored only if revision N is still the
current one. If the configuration has been changed since, nothing is stored
(exit code 4).

If the response is lost, the configuration is read back, and its operation id shows
whether the change was stored; the write is never sent a second time. If the result
remains unknown (exit code 5), run the command again with the same --operation
and --based-on: an operation is stored at most once.

Examples:
   jackdawctl apply muscat.json --based-on 7
   jackdawctl apply muscat.json --based-on current --wait 30s`,
		Flags: append([]cli.Flag{
			&cli.StringFlag{
				Name: flagBasedOn, Required: true,
				Usage: "the `REVISION` that the manifest was made from; 0 for the first, or current to accept any",
			},
		}, writeFlags()...),
		Action: apply,
	}
}

// writeFlags returns the flags common to all commands that change the configuration.
func writeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagOperation, Usage: "operation `ID`, to repeat a call whose result is unknown (default: a new one)"},
		&cli.StringFlag{Name: flagAuthor, Usage: "`NAME` stored with the revision (default: the user and host)"},
		&cli.DurationFlag{Name: flagWait, Value: defaultWait, Usage: "maximum time to wait until the change is stored and in force on every member"},
	}
}

// applyResult is the JSON result of a configuration change.
type applyResult struct {
	Revision  uint64            `json:"revision"`
	Operation string            `json:"operation"`
	Changes   []manifest.Change `json:"changes"`
	InForce   bool              `json:"in_force"`
	// Lagging lists the members that do not have the revision in force yet.
	Lagging []laggingMember `json:"behind"`
}

func apply(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, 1)
	if err != nil {
		return err
	}
	basedOn, err := parseBasedOn(cmd.String(flagBasedOn))
	if err != nil {
		return err
	}
	m, err := readManifest(args[0])
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
	if basedOn == nil {
		basedOn = &current.Revision
	}
	result, err := c.applyManifest(ctx, cmd, current, *basedOn, m)
	if err != nil {
		return err
	}
	if err := emit(cmd, result, result.print); err != nil {
		return err
	}
	return result.checkInForce()
}

// parseBasedOn parses the value of --based-on. It returns nil for the current revision.
func parseBasedOn(s string) (*uint64, error) {
	if s == basedOnCurrent {
		return nil, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return nil, usageError(fmt.Sprintf("--%s %q is neither a revision nor %q", flagBasedOn, s, basedOnCurrent))
	}
	return &n, nil
}

// applyManifest prints the difference from current, stores the manifest and waits until
// every member has it in force or --wait has passed.
func (c *client) applyManifest(ctx context.Context, cmd *cli.Command, current manifest.Accepted, basedOn uint64, m *manifest.Manifest) (applyResult, error) {
	d := diffAgainst(current, m)
	progress := progressWriter(cmd)
	if err := d.print(progress); err != nil {
		return applyResult{}, err
	}
	w := configWrite{basedOn: basedOn, operation: cmd.String(flagOperation), author: cmd.String(flagAuthor), manifest: m}
	w.setDefaults()
	_, _ = fmt.Fprintf(progress, "operation %s\n", w.operation)
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagWait))
	defer cancel()
	stored, err := c.storeConfig(ctx, w)
	if err != nil {
		return applyResult{}, err
	}
	_, _ = fmt.Fprintf(progress, "stored as revision %d\n", stored.Revision)
	result := applyResult{Revision: stored.Revision, Operation: w.operation, Changes: d.Changes}
	result.Lagging = c.awaitInForce(ctx, stored.Revision)
	result.InForce = len(result.Lagging) == 0
	return result, nil
}

func (a applyResult) print(w io.Writer) error {
	if a.InForce {
		_, err := fmt.Fprintf(w, "revision %d is in force on every member\n", a.Revision)
		return err
	}
	t := newTable(w, "Instance", "Admin address", "Config in force", "Problem")
	for _, b := range a.Lagging {
		t.AppendRow([]any{b.Daemon, b.Admin, b.Config, b.Problem})
	}
	t.Render()
	return nil
}

func (a applyResult) checkInForce() error {
	if a.InForce {
		return nil
	}
	return &CommandError{
		Code:    ExitNotInForce,
		Problem: fmt.Sprintf("revision %d is stored, but %d members do not have it in force yet", a.Revision, len(a.Lagging)),
		Remedy:  "check the listed members with jackdawctl instances; do not apply again, as members adopt a stored revision by themselves",
	}
}

// configWrite describes one change of the configuration.
type configWrite struct {
	basedOn   uint64
	operation string
	author    string
	manifest  *manifest.Manifest
}

// setDefaults fills in an operation id and an author if they were not given.
func (w *configWrite) setDefaults() {
	if w.operation == "" {
		w.operation = "ctl-" + rand.Text()
	}
	if w.author == "" {
		w.author = defaultAuthor()
	}
}

func (w *configWrite) encodeManifest() (json.RawMessage, error) { return json.Marshal(w.manifest) }

func defaultAuthor() string {
	name, host := "unknown", "unknown"
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	if h, err := os.Hostname(); err == nil {
		host = h
	}
	return name + "@" + host
}
