package ownership

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Result is the outcome of a call to a target.
type Result uint8

// Outcomes of calls.
const (
	// OK: the target confirmed the call.
	OK Result = iota
	// Fenced: the target has seen a higher fence for one of the keys.
	Fenced
	// Failed: there was no answer, or the answer does not tell whether the call took
	// effect.
	Failed
	// NotSent: the call certainly did not reach the incarnation of the target that the
	// call was for.
	NotSent
)

// HandleGrantResult processes the result of a Grant. The grant must not reach its target after
// that: the connection of a call without a response has been reset.
func (e *Engine) HandleGrantResult(g Grant, r Result, now time.Duration) {
	incarnation := g.Span.Incarnation()
	if r == OK || r == Fenced {
		e.failures[incarnation] = failureStreak{since: now}
		e.answered[incarnation] = true
	} else {
		f := e.failures[incarnation]
		if f.count == 0 && f.since == 0 {
			f.since = now
		}
		f.count++
		e.failures[incarnation] = f
	}
	for _, h := range e.spans {
		if h.pendingGrant != g.ID {
			continue
		}
		h.handleResult(e.config, g, r, now)
		if r == OK && g.Duration < e.grantDuration() {
			h.renewAt = now
		}
	}
	if f := e.failures[incarnation]; f.count >= unresponsiveCalls && now-f.since >= e.config.UnresponsiveTimeout {
		e.releaseUnresponsive(incarnation, now)
	}
}

// releaseUnresponsive starts the release of the keys of a target that does not answer.
// Further grants would only delay the time at which the keys can be assigned to others.
func (e *Engine) releaseUnresponsive(incarnation target.Incarnation, now time.Duration) {
	e.unresponsive[incarnation] = now
	for _, h := range e.spans {
		if h.phase == phaseGranted && h.span.Incarnation() == incarnation {
			h.startRelease(now)
		}
	}
}

// handleResult updates the state of the span with the result of its grant.
func (h *spanState) handleResult(c Config, g Grant, r Result, now time.Duration) {
	h.pendingGrant = 0
	if r != NotSent {
		h.expiresAt = max(h.expiresAt, c.latestExpiry(h.sentAt, now, g.Duration))
	}
	switch {
	case h.inherited: // the grant was sent before the owner's next incarnation was known
	case r == OK:
		if c.HigherFenceSupersedes && !h.confirmed {
			// This grant has replaced the grants of earlier coordinators, for which
			// the maximum duration was assumed.
			h.expiresAt = max(c.latestExpiry(h.sentAt, now, g.Duration), h.unansweredExpiresAt)
		}
		h.confirmed, h.lowerFenceExpiresAt = true, 0
		h.handover = ""
		h.renewAt = h.sentAt + c.RenewInterval
	case r == Fenced:
		// Another coordinator used a higher fence: the span must be assigned to its
		// owner again under a new one.
		if h.phase == phaseGranted {
			h.nextOwner = h.span.Owner
			h.startRelease(now)
		}
	default:
		h.renewAt = now + callRetryDelay
	}
	if r == Failed {
		h.unansweredExpiresAt = max(h.unansweredExpiresAt, c.latestExpiry(h.sentAt, now, g.Duration))
	}
	if h.phase == phaseReleasing {
		h.renewAt = now
	}
}

// HandleReleaseResult processes the result of a Release and the handover data of its keys.
func (e *Engine) HandleReleaseResult(r Release, result Result, handover string, now time.Duration) {
	h := e.findSpan(r.Span)
	if h == nil {
		return
	}
	h.releasePending = false
	if result == OK {
		h.released, h.handover = true, handover
		return
	}
	h.renewAt = now + callRetryDelay
}
