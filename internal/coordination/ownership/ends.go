package ownership

import (
	"time"
)

// GrantExpiry tells for how long grants under a fence may still last. A coordinator that
// stops tells its successors, which would otherwise have to expect the longest ones.
// It holds as long as nobody grants the keys under that fence again; a coordinator
// grants under fences that it wrote itself only.
type GrantExpiry struct {
	_         struct{} `cbor:",toarray"`
	From, To  uint16
	Fence     uint64
	Remaining time.Duration
}

// GrantExpiries returns the ends of all grants that were sent. The Engine must not be used
// after that.
func (e *Engine) GrantExpiries(now time.Duration) []GrantExpiry {
	var out []GrantExpiry
	for _, h := range e.holds {
		if !h.span.Owned() {
			continue
		}
		// Nobody holds a free span, though the table still names its owner.
		until := max(h.until, h.unanswered, h.earlier)
		if h.phase == free {
			until = 0
		}
		if h.grant != 0 && h.phase != free {
			until = max(until, e.config.end(now, now+callTime, h.length))
		}
		out = append(out, GrantExpiry{From: h.span.From, To: h.span.To, Fence: h.span.Fence, Remaining: max(until-now, 0)})
	}
	return out
}

// ApplyGrantExpiries takes over what an earlier coordinator told about spans that were not
// granted since. The ends must be ordered by key.
func (e *Engine) ApplyGrantExpiries(ends []GrantExpiry, now time.Duration) {
	for _, h := range e.holds {
		if !h.inherited {
			continue
		}
		if left, known := endOf(ends, h); known {
			h.until = min(h.until, now+left)
			h.unanswered = min(h.unanswered, now+left)
		}
	}
}

// endOf returns the latest end of a span's keys, if the ends cover all of them.
func endOf(ends []GrantExpiry, h *hold) (time.Duration, bool) {
	var left time.Duration
	next := int(h.span.From)
	for _, e := range ends {
		if e.Fence != h.span.Fence || int(e.To) < next || int(e.From) > next {
			continue
		}
		left = max(left, e.Remaining)
		if next = int(e.To) + 1; next > int(h.span.To) {
			return left, true
		}
	}
	return 0, false
}
