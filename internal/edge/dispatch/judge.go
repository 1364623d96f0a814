package dispatch

import (
	"errors"
	"net/http"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// verdict is what a send came to.
type verdict uint8

const (
	// served: the answer goes to the caller.
	served verdict = iota
	// notRun: the request certainly did not run.
	notRun
	// failed: the target answered with a failure of its own.
	failed
	// unknown: the request may have run.
	unknown
)

type judgement struct {
	kind   verdict
	reason Reason
}

// String names the outcome for counters.
func (j judgement) String() string {
	if j.kind == served {
		return "served"
	}
	return string(j.reason)
}

// judge says what a send came to.
func (d *Dispatcher) judge(ep *endpoint, a *upstream.Response, err error) judgement {
	switch {
	case errors.Is(err, upstream.ErrPoolExhausted):
		return judgement{notRun, TargetsFull}
	case errors.Is(err, upstream.ErrNotSent):
		return judgement{notRun, TargetUnreachable}
	case err != nil:
		return judgement{unknown, ConnectionLost}
	}
	names := d.config.Names
	if a.Status == http.StatusMisdirectedRequest {
		if id := a.Header.Get(names.TargetID); id != "" && id != ep.id {
			return judgement{notRun, TargetReplaced}
		}
		return judgement{notRun, KeyNotHeld}
	}
	if names.Refused(a.Header) {
		return judgement{notRun, TargetsFull}
	}
	if names.Stamp != "" && (a.Header.Get(names.Stamp) == "" || a.Header.Get("Content-Encoding") != "") {
		return judgement{unknown, InvalidResponse}
	}
	switch {
	case a.Status < http.StatusInternalServerError && !promisesNotRun(a.Status):
		return judgement{served, ""}
	case promisesNotRun(a.Status):
		// Without the header the target does not vouch for it.
		return judgement{unknown, InvalidResponse}
	default:
		return judgement{failed, InvalidResponse}
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

// learn records the outcome of a send.
func (d *Dispatcher) learn(ep *endpoint, v judgement, took time.Duration, load int) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	ep.estimate.Running--
	if s := d.service(ep.record.Service); s.freed != nil {
		close(s.freed)
		s.freed = nil
	}
	switch {
	case v.kind == served:
		d.config.ObserveServiceTime(ep.hash, ep.estimate.RecordResponse(took, load))
		s := d.service(ep.record.Service)
		s.usual += (took - s.usual) / usualSmoothing
	case v.reason == TargetsFull:
		ep.estimate.RecordRejection(now)
	case v.reason == KeyNotHeld:
	case v.reason == TargetReplaced:
		ep.replaced = true
	case v.reason == CallerDisconnected:
		d.learnSlow(ep, took)
	default:
		ep.estimate.RecordFailure(now)
		d.learnSlow(ep, took)
	}
}

// slowFactor is the multiple of a target's service time from which a request
// without an answer tells that the target has become slow.
const slowFactor = 2

// learnSlow records a request that was given up. It would have taken longer, and
// a target that is too slow for its callers would otherwise never be measured.
// The caller holds the mutex.
func (d *Dispatcher) learnSlow(ep *endpoint, took time.Duration) {
	if service := ep.estimate.ServiceTime(0); service > 0 && took > slowFactor*service {
		d.config.ObserveServiceTime(ep.hash, took)
	}
}

// usualSmoothing is the number of answers over which the usual service time of a
// service is averaged.
const usualSmoothing = 50
