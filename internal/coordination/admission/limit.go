package admission

import "time"

const (
	// raiseInterval is the time without a refusal after which the learned limit of a target
	// rises by one request.
	raiseInterval = time.Second
	// resetFactor lowers the limit of a target that resets connections: the outcome of a request
	// is unknown then.
	resetFactor = 0.75
	// shedTime is how long after a refusal with a free slot the refusals of a target say
	// nothing of its queue: targets in trouble refuse a part of their requests whatever their load.
	shedTime = 2 * time.Second
)

// Limit is the number of requests at one target beyond which it has refused requests or reset
// connections. The zero value is no limit besides the general one. It is not safe for
// concurrent use.
type Limit struct {
	learned   int // 0 if the target has not been full
	changedAt time.Duration
	shedAt    time.Duration
	sheds     bool
	resets    bool
}

// RecordFull records that the target refused a request as full, or reset its connection,
// while it was known to have the given load besides the request.
func (l *Limit) RecordFull(now time.Duration, load, slots int, reset bool) {
	slots = max(slots, 1)
	if load < slots {
		l.sheds, l.shedAt = true, now
		return
	}
	if l.sheds && now-l.shedAt < shedTime {
		return
	}
	l.resets = l.resets || reset
	// The target holds more requests than this daemon knows of.
	next := min(load, l.max(now, slots, true)-1)
	if reset {
		next = int(resetFactor * float64(next))
	}
	l.learned, l.changedAt = max(next, slots), now
}

// max returns the number of requests at the target from which on no more are sent. A request
// whose outcome would be unknown after a reset, and that could not be sent again, keeps one
// more place free at targets that reset connections.
func (l *Limit) max(now time.Duration, slots int, idempotent bool) int {
	general := queueFactor * slots
	if l == nil || l.learned == 0 {
		return general
	}
	raised := l.learned + int((now-l.changedAt)/raiseInterval)
	if raised >= general {
		return general
	}
	if l.resets && !idempotent {
		raised--
	}
	return max(raised, slots)
}
