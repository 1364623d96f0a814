package ownership

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

// adopt replaces the state of all spans by the spans of a table. Grants that other
// coordinators sent until now may still arrive.
func (e *Engine) adopt(table ranges.Table, now time.Duration) {
	e.table = table
	e.table.Fence = max(e.table.Fence, e.lowestFence)
	e.spans = e.spans[:0]
	for _, s := range table.Spans {
		h := &spanState{span: s, phase: phaseFree}
		if s.Owned() {
			h.phase, h.renewAt, h.expiresAt = phaseGranted, now, e.config.latestExpiry(now, now+maxCallTime, e.config.MaxGrantDuration)
			h.unansweredExpiresAt = h.expiresAt
			h.inherited = true
		}
		e.spans = append(e.spans, h)
	}
}

// HandleWriteResult processes the result of writing the table that Tick returned last. If
// that table was not written, stored is the table in the store.
func (e *Engine) HandleWriteResult(ok bool, stored ranges.Table, now time.Duration) {
	pending := e.pending
	e.pending = nil
	if !ok {
		e.nextWriteAt = now + writeRetryDelay
		e.pendingHandovers = make(map[keyRange]string)
		if stored.WriteID != e.table.WriteID {
			e.rewriting = false
			e.adopt(stored, now)
		}
		return
	}
	e.rewriting = false
	e.table = *pending
	e.rebuild(now)
}

// rebuild derives the state of all spans from the table that was written. Spans whose
// owner and fence did not change keep their state, including their split into parts and
// a restart of the owner.
func (e *Engine) rebuild(now time.Duration) {
	spans := make([]*spanState, 0, len(e.spans)+len(e.table.Spans))
	old := e.spans
	next := 0
	for _, s := range e.table.Spans {
		var parts []*spanState
		for next < len(e.spans) && e.spans[next].span.To <= s.To {
			if h := e.spans[next]; h.span.Fence == s.Fence && h.span.Owner == s.Owner {
				parts = append(parts, h)
			}
			next++
		}
		if len(parts) > 0 {
			spans = append(spans, parts...)
			continue
		}
		h := &spanState{span: s, phase: phaseGranted, renewAt: now, expiresAt: now, handover: e.pendingHandovers[keyRange{s.From, s.To}]}
		if !s.Owned() {
			h.phase = phaseFree
		}
		h.inheritExpiry(e.config, old, now)
		spans = append(spans, h)
	}
	e.spans = spans
	e.pendingHandovers = make(map[keyRange]string)
}

// inheritExpiry sets the time until which the owner, in any incarnation, may hold the span
// under earlier fences. A grant in flight counts as arriving as late as possible, because
// its result is not awaited: the span may have been merged from several spans.
func (h *spanState) inheritExpiry(c Config, old []*spanState, now time.Duration) {
	for _, o := range old {
		if o.span.Owner != h.span.Owner || o.span.To < h.span.From || o.span.From > h.span.To || o.phase == phaseFree {
			continue
		}
		h.expiresAt = max(h.expiresAt, o.expiresAt)
		h.lowerFenceExpiresAt = max(h.lowerFenceExpiresAt, o.lowerFenceExpiresAt, o.unansweredExpiresAt)
		if o.pendingGrant != 0 {
			expires := c.latestExpiry(now, now+maxCallTime, o.pendingDuration)
			h.expiresAt, h.lowerFenceExpiresAt = max(h.expiresAt, expires), max(h.lowerFenceExpiresAt, expires)
		}
	}
}
