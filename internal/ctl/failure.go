package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Exit codes of jackdawctl. Scripts rely on them.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitFindings   = 3
	ExitConflict   = 4
	ExitUnknown    = 5
	ExitNotInForce = 6
)

// CommandError describes why a command failed and what the operator can do about it.
type CommandError struct {
	Code    int
	Problem string
	Remedy  string
	Cause   error
}

// Error returns the problem and its cause. The text may span several lines.
func (e *CommandError) Error() string {
	s := e.Problem
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns Cause.
func (e *CommandError) Unwrap() error { return e.Cause }

func usageError(problem string) *CommandError {
	return &CommandError{Code: ExitUsage, Problem: problem, Remedy: "see jackdawctl help, or jackdawctl COMMAND --help"}
}

// fileReadError returns the error for a file that cannot be read.
func fileReadError(err error) *CommandError {
	return &CommandError{Code: ExitFailed, Problem: "cannot read the file", Cause: err, Remedy: "check the name and its permissions"}
}

// manifestError returns the error for a manifest with findings.
func manifestError(err error) *CommandError {
	return &CommandError{
		Code: ExitFindings, Problem: "the manifest is not valid", Cause: err,
		Remedy: "correct every finding and run jackdawctl validate",
	}
}

// reportError prints the error and its remedy, and returns the exit code.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var failure *CommandError
	if !errors.As(err, &failure) {
		// Errors of any other type come from the command-line library.
		failure = usageError(err.Error())
	}
	var findingsErr *finding.Error
	if errors.As(failure.Cause, &findingsErr) {
		_, _ = fmt.Fprintf(w, "jackdawctl: %s: %d findings\n", failure.Problem, len(findingsErr.Findings))
		for _, item := range findingsErr.Findings {
			_, _ = fmt.Fprintln(w, "  "+item.String())
		}
	} else {
		_, _ = fmt.Fprintln(w, "jackdawctl: "+failure.Error())
	}
	if failure.Remedy != "" {
		_, _ = fmt.Fprintln(w, "what to do: "+failure.Remedy)
	}
	return failure.Code
}
