package ownership

import (
	"time"
)

// GrantExpiry is the remaining time until all grants for a range of keys under a fence
// have expired. A stopping coordinator sends its grant expiries to its successors, which
// would otherwise have to assume grants of the maximum duration. A grant expiry stays
// valid until the keys are granted under the same fence again. No successor does this,
// because a coordinator only grants under fences that it has written itself.
type GrantExpiry struct {
	_         struct{} `cbor:",toarray"`
	From, To  uint16
	Fence     uint64
	Remaining time.Duration
}

// GrantExpiries returns the expiries of all grants that were sent. The Engine must not be
// used afterwards.
func (e *Engine) GrantExpiries(now time.Duration) []GrantExpiry {
	var out []GrantExpiry
	if now < e.idleUntil {
		return nil // the grants of others are not known
	}
	for _, h := range e.spans {
		if !h.span.Owned() {
			continue
		}
		// No target holds a free span, although the table still names its last owner.
		until := max(h.expiresAt, h.unansweredExpiresAt, h.lowerFenceExpiresAt)
		if h.phase == phaseFree {
			until = 0
		}
		if h.pendingGrant != 0 && h.phase != phaseFree {
			until = max(until, e.config.latestExpiry(now, now+maxCallTime, h.pendingDuration))
		}
		out = append(out, GrantExpiry{From: h.span.From, To: h.span.To, Fence: h.span.Fence, Remaining: max(until-now, 0)})
	}
	return out
}

// ApplyGrantExpiries shortens the assumed expiry of inherited spans to the expiry that an
// earlier coordinator reported. The list must be ordered by key.
func (e *Engine) ApplyGrantExpiries(expiries []GrantExpiry, now time.Duration) {
	for _, h := range e.spans {
		if !h.inherited {
			continue
		}
		if remaining, known := remainingOf(expiries, h); known {
			h.expiresAt = min(h.expiresAt, now+remaining)
			h.unansweredExpiresAt = min(h.unansweredExpiresAt, now+remaining)
		}
	}
}

// remainingOf returns the longest remaining time of the grants for a span's keys. It
// returns false unless the list covers all keys of the span under its fence.
func remainingOf(expiries []GrantExpiry, h *spanState) (time.Duration, bool) {
	var remaining time.Duration
	next := int(h.span.From)
	for _, e := range expiries {
		if e.Fence != h.span.Fence || int(e.To) < next || int(e.From) > next {
			continue
		}
		remaining = max(remaining, e.Remaining)
		if next = int(e.To) + 1; next > int(h.span.To) {
			return remaining, true
		}
	}
	return 0, false
}
