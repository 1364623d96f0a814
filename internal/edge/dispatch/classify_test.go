package dispatch

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Guards against misclassified responses: a request that has not run may be sent again,
// and a request that may have run must not be reported as not run.
func TestClassify(t *testing.T) {
	names := &upstream.HeaderNames{NotRun: "Not-Run", TargetID: "Target", Stamp: "Stamp"}
	d := New(Config{Names: names})
	ep := &endpoint{id: "t1", record: target.Record{ID: "t1"}}
	response := func(status int, headers ...string) *upstream.Response {
		h := http.Header{}
		for i := 0; i < len(headers); i += 2 {
			h.Set(headers[i], headers[i+1])
		}
		return &upstream.Response{Status: status, Header: h}
	}
	for _, c := range []struct {
		name string
		resp *upstream.Response
		err  error
		want sendOutcome
	}{
		{"success", response(200, "Stamp", "s"), nil, sendOutcome{served, ""}},
		{"client error", response(404, "Stamp", "s"), nil, sendOutcome{served, ""}},
		{"success without stamp", response(200), nil, sendOutcome{unknown, InvalidResponse}},
		{"encoded body", response(200, "Stamp", "s", "Content-Encoding", "gzip"), nil, sendOutcome{unknown, InvalidResponse}},
		{"server error", response(500, "Stamp", "s"), nil, sendOutcome{failed, InvalidResponse}},
		{"gateway timeout", response(504, "Stamp", "s"), nil, sendOutcome{failed, InvalidResponse}},
		{"target full", response(503, "Not-Run", "1"), nil, sendOutcome{notRun, TargetsFull}},
		{"503 without proof of not run", response(503, "Stamp", "s"), nil, sendOutcome{unknown, InvalidResponse}},
		{"429 without proof of not run", response(429, "Stamp", "s"), nil, sendOutcome{unknown, InvalidResponse}},
		{"key not held", response(421, "Not-Run", "1"), nil, sendOutcome{notRun, KeyNotHeld}},
		{"another target at the address", response(421, "Target", "t2"), nil, sendOutcome{notRun, TargetReplaced}},
		{"not sent", nil, fmt.Errorf("dial: %w", upstream.ErrNotSent), sendOutcome{notRun, TargetUnreachable}},
		{"connection pool exhausted", nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, upstream.ErrPoolExhausted), sendOutcome{notRun, TargetsFull}},
		{"sent, no response", nil, fmt.Errorf("read: %w", upstream.ErrOutcomeUnknown), sendOutcome{unknown, ConnectionLost}},
		{"any other error", nil, errors.New("x"), sendOutcome{unknown, ConnectionLost}},
	} {
		if got := d.classify(ep, c.resp, c.err); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against a final refusal that reports "not run" after a send with an unknown
// outcome, or that gives the reason of a later attempt which sent nothing. A request
// that had run was once refused with "target not reached".
func TestFinishKeepsUncertainOutcome(t *testing.T) {
	d := New(Config{Log: slog.New(slog.DiscardHandler)})
	first := &requestState{mayHaveRun: true, lastUncertain: Refusal{Reason: ConnectionLost}, last: Refusal{Reason: TargetUnreachable}}
	if _, r := d.finish(first, &Refusal{Reason: RetryBudgetExhausted}); !r.MayHaveRun || r.RetryAfter != 0 || r.Reason != ConnectionLost {
		t.Errorf("after an unknown outcome: %+v", r)
	}
	if _, r := d.finish(&requestState{last: Refusal{Reason: TargetsFull}}, nil); r.MayHaveRun || r.RetryAfter <= 0 {
		t.Errorf("after sends that did not run: %+v", r)
	}
	kept := &upstream.Response{Status: 500}
	if a, r := d.finish(&requestState{mayHaveRun: true, req: &Request{}, failedResponse: kept}, &Refusal{Reason: DeadlineExceeded}); a != kept || r != nil {
		t.Errorf("a target's failure response was replaced by %+v", r)
	}
}
