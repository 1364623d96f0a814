package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a manifest without a daemon and report every finding",
		ArgsUsage: "FILE",
		Description: `Exit code 0 means no findings, 3 means findings.

Example:
   jackdawctl validate examples/muscat.json`,
		Action: validate,
	}
}

// validationResult is the JSON result of validate.
type validationResult struct {
	Valid    bool              `json:"valid"`
	Findings []finding.Finding `json:"findings"`
}

func validate(_ context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, 1)
	if err != nil {
		return err
	}
	m, err := readManifest(args[0])
	var findingsErr *finding.Error
	if err != nil && !errors.As(err, &findingsErr) {
		return err
	}
	if cmd.Bool(flagJSON) {
		result := validationResult{Valid: findingsErr == nil, Findings: []finding.Finding{}}
		if findingsErr != nil {
			result.Findings = findingsErr.Findings
		}
		if err := emit(cmd, result, nil); err != nil {
			return err
		}
	}
	if err != nil || cmd.Bool(flagJSON) {
		return err
	}
	_, err = fmt.Fprintf(resultWriter(cmd), "%s is valid: %s\n", args[0], manifestSummary(m))
	return err
}

func manifestSummary(m *manifest.Manifest) string {
	targets := 0
	for _, s := range m.Services {
		targets += len(s.Targets)
	}
	return fmt.Sprintf("%d services, %d targets", len(m.Services), targets)
}

// readManifest reads and validates a manifest file; "-" stands for the standard input.
func readManifest(name string) (*manifest.Manifest, error) {
	b, err := readFile(name)
	if err != nil {
		return nil, fileReadError(err)
	}
	m, err := manifest.Parse(name, b)
	if err != nil {
		return nil, manifestError(err)
	}
	return m, nil
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, manifest.MaxBytes+1))
	}
	return os.ReadFile(name)
}
