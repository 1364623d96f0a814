package ownership

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Result is the outcome of a call to a target.
type Result uint8

// Outcomes of calls.
const (
	// OK: the target answered that it did what was asked.
	OK Result = iota
	// Fenced: the target has seen a higher fence on one of the keys.
	Fenced
	// Failed: there was no answer, or one that says nothing about the keys.
	Failed
	// NotSent: the call certainly did not reach the target.
	NotSent
)

// HandleGrantResult reports the outcome of a Grant when its call has ended.
func (e *Engine) HandleGrantResult(g Grant, r Result, now time.Duration) {
	life := g.Span.Incarnation()
	if r == OK || r == Fenced {
		e.failures[life] = failures{since: now}
	} else {
		f := e.failures[life]
		if f.count == 0 && f.since == 0 {
			f.since = now
		}
		f.count++
		e.failures[life] = f
	}
	for _, h := range e.holds {
		if h.grant != g.ID {
			continue
		}
		h.answered(e.config, g, r, now)
		if r == OK && g.Duration < e.holdTime() {
			h.renewAt = now
		}
	}
	if f := e.failures[life]; f.count >= silentCalls && now-f.since >= e.config.UnresponsiveTimeout {
		e.dropSilent(life, now)
	}
}

// dropSilent takes the keys of a target that does not answer. More grants would
// only put off the time from which others may have the keys.
func (e *Engine) dropSilent(life target.Incarnation, now time.Duration) {
	e.silent[life] = now
	for _, h := range e.holds {
		if h.phase == holding && h.span.Incarnation() == life {
			h.release(now)
		}
	}
}

func (h *hold) answered(c Config, g Grant, r Result, now time.Duration) {
	h.grant = 0
	if r != NotSent {
		h.until = max(h.until, c.end(h.sentAt, now, g.Duration))
	}
	switch {
	case h.inherited: // sent before the owner's next life was known
	case r == OK:
		if c.HigherFenceSupersedes && !h.granted {
			// The longest grants of an earlier coordinator no longer count.
			h.until = max(c.end(h.sentAt, now, g.Duration), h.unanswered)
		}
		h.granted, h.earlier = true, 0
		h.handover = ""
		h.renewAt = h.sentAt + c.RenewInterval
	case r == Fenced:
		// Another coordinator used a higher fence: the span must be given again
		// under a new one.
		if h.phase == holding {
			h.next = h.span.Owner
			h.release(now)
		}
	default:
		h.renewAt = now + retryEvery
	}
	if r == Failed {
		h.unanswered = max(h.unanswered, c.end(h.sentAt, now, g.Duration))
	}
	if h.phase == releasing {
		h.renewAt = now
	}
}

// HandleReleaseResult reports the outcome of a Release, with the handover of the keys.
func (e *Engine) HandleReleaseResult(r Release, result Result, handover string, now time.Duration) {
	h := e.find(r.Span)
	if h == nil {
		return
	}
	h.releasing = false
	if result == OK {
		h.released, h.handover = true, handover
		return
	}
	h.renewAt = now + retryEvery
}
