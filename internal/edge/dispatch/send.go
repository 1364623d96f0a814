package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// send is one send of a request to a target.
type send struct {
	ep      *endpoint
	ctx     context.Context //nolint:containedctx // ends the send
	cancel  context.CancelFunc
	started time.Duration
	// left is the remaining time at the start, and target the target's state without the request.
	left              time.Duration
	target            admission.Target
	hasAttemptTimeout bool
	// superseded is set before a send is cancelled because another one has been answered.
	superseded atomic.Bool

	// The result of runSend. cancelled is true if the send ended without a response because it
	// was superseded.
	resp      *upstream.Response
	err       error
	took      time.Duration
	cancelled bool
}

// sendOnce sends the request to a target. It returns the response for the caller, or
// nil and whether the request may be sent again.
func (d *Dispatcher) sendOnce(ctx context.Context, t *requestState, ep *endpoint) (*upstream.Response, bool) {
	s := d.startSend(ctx, t, ep)
	defer s.cancel()
	d.runSend(t.req, s)
	return d.finishSend(ctx, t, s)
}

// startSend counts a send to a target, where capacity has been reserved.
func (d *Dispatcher) startSend(ctx context.Context, t *requestState, ep *endpoint) *send {
	req := t.req
	now := clock.Now()
	s := &send{ep: ep, started: now, left: req.Deadline - now, ctx: ctx}
	if !req.Route.Idempotent {
		// The target may have started the request, so its response decides the outcome
		// even if the caller disconnects.
		s.ctx = context.WithoutCancel(ctx)
	}
	limit := s.left + responseGrace
	s.hasAttemptTimeout = req.Route.Idempotent && req.Route.AttemptTimeout > 0 && req.Route.AttemptTimeout < limit
	if s.hasAttemptTimeout {
		limit = req.Route.AttemptTimeout
	}
	s.ctx, s.cancel = context.WithTimeout(s.ctx, limit)
	t.sends++
	req.sends.Add(1)
	t.triedTargets[ep.id] = true
	s.target = d.targetBefore(ep, now)
	return s
}

// runSend sends the request and waits for the response. It does not use the request's state.
func (d *Dispatcher) runSend(req *Request, s *send) {
	s.resp, s.err = s.ep.pool.Send(s.ctx, &upstream.Request{
		Names: d.config.Names, ID: req.ID, Method: req.Method, URI: req.URI, Host: req.Host,
		Header: req.Header, Body: req.Body, Target: s.ep.id, TimeLeft: s.left,
	})
	s.took = clock.Now() - s.started
	s.cancelled = s.err != nil && s.superseded.Load()
}

// finishSend records the result of a send. It returns the response for the caller, or nil and
// whether the request may be sent again.
func (d *Dispatcher) finishSend(ctx context.Context, t *requestState, s *send) (*upstream.Response, bool) {
	outcome := d.classify(s.ep, s.resp, s.err)
	if s.hasAttemptTimeout && outcome.reason == ConnectionLost && errors.Is(s.ctx.Err(), context.DeadlineExceeded) && ctx.Err() == nil {
		s.ep.pool.CloseIdle()
	}
	if ctx.Err() != nil && outcome.reason == ConnectionLost {
		outcome = sendOutcome{kind: unknown, reason: CallerDisconnected}
	}
	report, reported := d.responseReport(s.resp, outcome)
	d.recordOutcome(s.ep, outcome, s.took, s.target.Load, report.Slowdown)
	d.recordResponseReport(s.ep, report, reported, outcome)
	d.recordSignals(t, s.ep, s.resp, outcome)
	t.admission.target = s.target // refusals depend on the last send
	d.recordAdmission(t, s, outcome)
	d.config.ObserveSend(t.req.Service, outcome.String(), s.took)
	return d.handleOutcome(t, s.ep, s.resp, outcome, s.took, s.err)
}

// handleOutcome records a send's outcome in the request's state. It returns the
// response if the send was successful, or nil and whether to send again.
func (d *Dispatcher) handleOutcome(t *requestState, ep *endpoint, resp *upstream.Response, outcome sendOutcome, took time.Duration, err error) (*upstream.Response, bool) {
	req := t.req
	if outcome.kind == served {
		return resp, false
	}
	t.last = Refusal{Reason: outcome.reason, Target: ep.id, Cause: err}
	retry := outcome.kind == notRun || req.Route.Idempotent
	if outcome.kind != notRun {
		t.mayHaveRun, t.lastUncertain = true, t.last
	}
	status := status(resp)
	if outcome.kind == failed {
		t.failedResponse.Release()
		t.failedResponse = resp
	} else {
		resp.Release()
	}
	if outcome.reason == KeyNotHeld && t.sends >= staleTableSends && d.config.RefreshTable != nil {
		d.config.RefreshTable(req.Service, t.inputs.TableRev)
	}
	if outcome.reason == CallerDisconnected || t.sends >= maxSends || !d.allowsAnotherSend(t, ep, outcome) {
		retry = false
	}
	d.config.Log.Info("send without success", "request", req.ID, "service", req.Service, "target", ep.id,
		"send", t.sends, "reason", string(outcome.reason), "may_have_run", outcome.kind != notRun, "took_ms", took.Milliseconds(),
		"left_ms", (req.Deadline - clock.Now()).Milliseconds(), "status", status, "again", retry, "error", err)
	return nil, retry
}

func status(resp *upstream.Response) int {
	if resp == nil {
		return 0
	}
	return resp.Status
}

// allowsAnotherSend reports whether the limits of the route and the service allow
// another send after this outcome.
func (d *Dispatcher) allowsAnotherSend(t *requestState, ep *endpoint, outcome sendOutcome) bool {
	if !d.isKeyed(t.req.Service) {
		return len(t.triedTargets) < t.req.Route.MaxAttempts
	}
	if outcome.reason == KeyNotHeld && t.sends >= maxOwnerSends {
		return false
	}
	if outcome.reason == TargetPaused {
		return false
	}
	if outcome.reason == TargetsFull {
		// The key has one owner. While the owner is full, callers have to retry later,
		// unless the request can wait here for a slot.
		return d.shedsLoad(t.req.Service) || d.hasRoom(ep)
	}
	return (len(t.triedTargets) < t.req.Route.MaxAttempts || outcome.kind == notRun)
}

// hasRoom reports whether a target that refused a request as full has a free slot by what is
// known of its load. Targets in trouble refuse a part of their requests whatever their load;
// the next send is likely to be accepted.
func (d *Dispatcher) hasRoom(ep *endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ep.estimate.Load() < ep.estimate.Slots
}
