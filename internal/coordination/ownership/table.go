package ownership

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

// adopt rebuilds the knowledge of spans from a table. Grants that were sent up to
// now may still arrive.
func (e *Engine) adopt(table ranges.Table, now time.Duration) {
	e.table = table
	e.holds = e.holds[:0]
	for _, s := range table.Spans {
		h := &hold{span: s, phase: free}
		if s.Owned() {
			h.phase, h.renewAt, h.until = holding, now, e.config.end(now, now+callTime, e.config.MaxGrantDuration)
			h.unanswered = h.until
			h.inherited = true
		}
		e.holds = append(e.holds, h)
	}
}

// HandleWriteResult reports that the table returned last was written, or that it was not
// and another one stands in the store.
func (e *Engine) HandleWriteResult(ok bool, stored ranges.Table, now time.Duration) {
	pending := e.pending
	e.pending = nil
	if !ok {
		e.writeAt = now + writeAgain
		e.claims = make(map[claim]string)
		if stored.WriteID != e.table.WriteID {
			e.adopt(stored, now)
		}
		return
	}
	e.table = *pending
	e.rebuild(now)
}

// rebuild takes over the written table. Spans whose owner and fence did not
// change keep what is known of them, also where they are known in parts, and that the
// owner has started anew since.
func (e *Engine) rebuild(now time.Duration) {
	holds := make([]*hold, 0, len(e.holds)+len(e.table.Spans))
	old := e.holds
	next := 0
	for _, s := range e.table.Spans {
		var parts []*hold
		for next < len(e.holds) && e.holds[next].span.To <= s.To {
			if h := e.holds[next]; h.span.Fence == s.Fence && h.span.Owner == s.Owner {
				parts = append(parts, h)
			}
			next++
		}
		if len(parts) > 0 {
			holds = append(holds, parts...)
			continue
		}
		h := &hold{span: s, phase: holding, renewAt: now, until: now, handover: e.claims[claim{s.From, s.To}]}
		if !s.Owned() {
			h.phase = free
		}
		h.continueFrom(e.config, old, now)
		holds = append(holds, h)
	}
	e.holds = holds
	e.claims = make(map[claim]string)
}

// continueFrom takes over until when the owner, in any of its lives, may hold the span
// under earlier fences. Grants on their way count as if they arrived as late as they
// can: several spans may have become one, so their answers are not waited for.
func (h *hold) continueFrom(c Config, old []*hold, now time.Duration) {
	for _, o := range old {
		if o.span.Owner != h.span.Owner || o.span.To < h.span.From || o.span.From > h.span.To || o.phase == free {
			continue
		}
		h.until = max(h.until, o.until)
		h.earlier = max(h.earlier, o.earlier, o.unanswered)
		if o.grant != 0 {
			arrives := c.end(now, now+callTime, o.length)
			h.until, h.earlier = max(h.until, arrives), max(h.earlier, arrives)
		}
	}
}
