package ownership

import (
	"slices"
	"time"
)

// pin excludes keys from load balancing until a given time, because an operator has moved
// them.
type pin struct {
	from, to uint16
	until    time.Duration
	// pendingOwner is the target that some of the keys are still to be moved to, as they were
	// being moved as a part of a larger span; empty if there are none.
	pendingOwner string
}

// Move starts to move the keys from..to to the target owner, and excludes these keys from
// load balancing for the time keep. A target that leaves or is lost loses the keys
// nevertheless. Move returns false if the target is unknown or not eligible for keys.
func (e *Engine) Move(from, to uint16, owner string, keep, now time.Duration) bool {
	t, known := e.targets[owner]
	if !known || !e.eligible(t) {
		return false
	}
	e.pins = slices.DeleteFunc(e.pins, func(p pin) bool { return p.until <= now || from <= p.to && p.from <= to })
	p := pin{from: from, to: to, until: now + keep}
	if !e.moveSpans(from, to, t, now) {
		p.pendingOwner = owner
	}
	e.pins = append(e.pins, p)
	return true
}

// moveSpans starts to move the keys from..to to a target. It returns false if some of them are
// just being moved as a part of a larger span; they stay as they are.
func (e *Engine) moveSpans(from, to uint16, t Target, now time.Duration) (all bool) {
	all = true
	for _, h := range slices.Clone(e.spans) {
		switch {
		case h.span.To < from || to < h.span.From:
		case h.phase != phaseGranted && from <= h.span.From && h.span.To <= to:
			h.nextOwner = t.Incarnation.ID
		case h.phase != phaseGranted:
			all = false
		case h.span.Incarnation() != t.Incarnation:
			e.startMove(h, max(from, h.span.From), min(to, h.span.To), t.Incarnation.ID, now)
		}
	}
	return all
}

// continueMoves goes on with the moves of operators that had to wait for another one.
func (e *Engine) continueMoves(now time.Duration) {
	for i, p := range e.pins {
		if p.pendingOwner == "" {
			continue
		}
		t, known := e.targets[p.pendingOwner]
		if p.until <= now || !known || !e.eligible(t) || e.moveSpans(p.from, p.to, t, now) {
			e.pins[i].pendingOwner = ""
		}
	}
}

// pinned reports whether a key is excluded from load balancing at the time of the last
// planning. Expired pins are removed by the next Move.
func (e *Engine) pinned(key uint16) bool {
	for _, p := range e.pins {
		if p.from <= key && key <= p.to && e.plannedAt < p.until {
			return true
		}
	}
	return false
}
