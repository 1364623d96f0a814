package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Exit codes. They are part of the interface for scripts.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitFindings   = 3
	ExitConflict   = 4
	ExitUnknown    = 5
	ExitNotInForce = 6
)

// CommandError is a command's failure: what happened, and what the operator is to do
// about it.
type CommandError struct {
	Code    int
	Problem string
	Remedy  string
	Cause   error
}

// Error describes the failure on one line or more.
func (f *CommandError) Error() string {
	s := f.Problem
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *CommandError) Unwrap() error { return f.Cause }

func usageError(problem string) *CommandError {
	return &CommandError{Code: ExitUsage, Problem: problem, Remedy: "see jackdawctl help, or jackdawctl COMMAND --help"}
}

// fileReadError reports a file that cannot be read.
func fileReadError(err error) *CommandError {
	return &CommandError{Code: ExitFailed, Problem: "cannot read the file", Cause: err, Remedy: "check the name and its permissions"}
}

// manifestError reports the findings of a manifest.
func manifestError(err error) *CommandError {
	return &CommandError{
		Code: ExitFindings, Problem: "the manifest is not valid", Cause: err,
		Remedy: "correct every finding and run jackdawctl validate",
	}
}

// reportError writes the failure and returns the exit code.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var f *CommandError
	if !errors.As(err, &f) {
		// All other errors come from the command-line library.
		f = usageError(err.Error())
	}
	var found *finding.Error
	if errors.As(f.Cause, &found) {
		_, _ = fmt.Fprintf(w, "jackdawctl: %s: %d findings\n", f.Problem, len(found.Findings))
		for _, item := range found.Findings {
			_, _ = fmt.Fprintln(w, "  "+item.String())
		}
	} else {
		_, _ = fmt.Fprintln(w, "jackdawctl: "+f.Error())
	}
	if f.Remedy != "" {
		_, _ = fmt.Fprintln(w, "what to do: "+f.Remedy)
	}
	return f.Code
}
