package ownership

import (
	"slices"
	"time"
)

// pin keeps keys where an operator wanted them, against the balance of load.
type pin struct {
	from, to uint16
	until    time.Duration
}

// Move starts moving keys to a target and keeps them there for a time. A target
// that leaves or is lost gives them up all the same. It reports whether the target
// may own keys.
func (e *Engine) Move(from, to uint16, owner string, keep, now time.Duration) bool {
	t, known := e.targets[owner]
	if !known || !e.eligible(t) {
		return false
	}
	e.pins = slices.DeleteFunc(e.pins, func(p pin) bool { return p.until <= now || from <= p.to && p.from <= to })
	e.pins = append(e.pins, pin{from, to, now + keep})
	for _, h := range slices.Clone(e.holds) {
		switch {
		case h.span.To < from || to < h.span.From:
		case h.phase != holding:
			if from <= h.span.From && h.span.To <= to {
				h.next = owner
			}
		case h.span.Incarnation() != t.Incarnation:
			e.split(h, max(from, h.span.From), min(to, h.span.To), owner, now)
		}
	}
	return true
}

// pinned reports whether a key stays where it is. Pins that have ended are dropped
// by the next Move; until then they count by the time of the last planning.
func (e *Engine) pinned(key uint16) bool {
	for _, p := range e.pins {
		if p.from <= key && key <= p.to && e.planAt < p.until {
			return true
		}
	}
	return false
}
