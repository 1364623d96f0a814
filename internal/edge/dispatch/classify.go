package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// outcomeKind classifies the outcome of a send.
type outcomeKind uint8

const (
	// served: the response is returned to the caller.
	served outcomeKind = iota
	// notRun: the request has not run.
	notRun
	// failed: the target responded with a server error.
	failed
	// unknown: the request may have run.
	unknown
	// superseded: the send was cancelled because another target had responded.
	superseded
)

type sendOutcome struct {
	kind   outcomeKind
	reason Reason
}

// String returns the outcome label of the metrics.
func (o sendOutcome) String() string {
	switch o.kind {
	case served:
		return "served"
	case superseded:
		return "superseded"
	default:
		return string(o.reason)
	}
}

// classify returns the outcome of a send from its response or error.
func (d *Dispatcher) classify(ep *endpoint, resp *upstream.Response, err error) sendOutcome {
	switch {
	case errors.Is(err, upstream.ErrPoolExhausted):
		return sendOutcome{notRun, TargetsFull}
	case errors.Is(err, upstream.ErrNotSent):
		return sendOutcome{notRun, TargetUnreachable}
	case err != nil:
		return sendOutcome{unknown, ConnectionLost}
	}
	names := d.config.Names
	if resp.Status == http.StatusMisdirectedRequest {
		if id := resp.Header.Get(names.TargetID); id != "" && id != ep.id {
			return sendOutcome{notRun, TargetReplaced}
		}
		return sendOutcome{notRun, KeyNotHeld}
	}
	if names.Refused(resp.Header) {
		if resp.Pause() > 0 {
			return sendOutcome{notRun, TargetPaused}
		}
		return sendOutcome{notRun, TargetsFull}
	}
	if names.Stamp != "" && (resp.Header.Get(names.Stamp) == "" || resp.Header.Get("Content-Encoding") != "") {
		return sendOutcome{unknown, InvalidResponse}
	}
	switch {
	case resp.Status < http.StatusInternalServerError && !promisesNotRun(resp.Status):
		return sendOutcome{served, ""}
	case promisesNotRun(resp.Status):
		// The status alone does not prove that the request has not run; only the
		// target's header proves this.
		return sendOutcome{unknown, InvalidResponse}
	default:
		return sendOutcome{failed, InvalidResponse}
	}
}

// promisesNotRun reports whether callers take the status as proof that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordOutcome updates the estimate of the target and the state of its service after
// a send. slowdown is what the target reported with its response.
func (d *Dispatcher) recordOutcome(ep *endpoint, outcome sendOutcome, took time.Duration, load int, slowdown float64) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	ep.estimate.Running--
	if s := d.serviceState(ep.record.Service); s.slotFreed != nil {
		close(s.slotFreed)
		s.slotFreed = nil
	}
	switch {
	case outcome.kind == served:
		d.config.ObserveServiceTime(ep.hash, ep.estimate.RecordResponse(took, load, slowdown))
		s := d.serviceState(ep.record.Service)
		s.avgServiceTime += (took - s.avgServiceTime) / serviceTimeSmoothing
	case outcome.kind == superseded:
		d.recordSlow(ep, took)
	case outcome.reason == TargetsFull:
		ep.estimate.RecordRejection(now)
		d.serviceState(ep.record.Service).hedges.recordRefusal(now)
	case outcome.reason == KeyNotHeld || outcome.reason == TargetPaused:
	case outcome.reason == TargetReplaced:
		ep.replaced = true
	case outcome.reason == CallerDisconnected:
		d.recordSlow(ep, took)
	default:
		ep.estimate.RecordFailure(now)
		d.recordSlow(ep, took)
	}
}

// recordSignals records what a response says about the requests that the target wants: none
// for some time, or none any more.
func (d *Dispatcher) recordSignals(t *requestState, ep *endpoint, resp *upstream.Response, outcome sendOutcome) {
	if resp == nil || outcome.reason == TargetReplaced {
		return
	}
	d.recordState(ep, resp.Header, "response to a request")
	pause := resp.Pause()
	if pause == 0 {
		return
	}
	d.mu.Lock()
	ep.pausedUntil = max(ep.pausedUntil, clock.Now()+pause)
	t.pausedUntil = ep.pausedUntil
	d.mu.Unlock()
	d.config.Log.Info("target asked for a pause", "request", t.req.ID, "service", t.req.Service, "target", ep.id, "pause_ms", pause.Milliseconds())
}

// recordState records what the header of a response says about the state of the target.
func (d *Dispatcher) recordState(ep *endpoint, header http.Header, source string) {
	if d.config.Names.IsLeaving(header) {
		d.config.Views.MarkLeaving(ep.incarnation, source)
	}
	if remaining, ok := d.config.Names.ColdTime(header); ok && remaining > 0 {
		d.config.Views.MarkCold(ep.incarnation, remaining, source)
	}
}

// slowFactor is the multiple of a target's service time beyond which a request
// without a response indicates that the target has become slow.
const slowFactor = 2

// recordSlow reports the time until a request was abandoned as a service time. The
// request would have taken longer, but a target that is too slow for its callers would
// otherwise never be measured. d.mu must be held.
func (d *Dispatcher) recordSlow(ep *endpoint, took time.Duration) {
	if service := ep.estimate.ServiceTime(0); service > 0 && took > slowFactor*service {
		d.config.ObserveServiceTime(ep.hash, took)
	}
}

// serviceTimeSmoothing is the number of responses over which the average service time
// of a service is smoothed.
const serviceTimeSmoothing = 50
