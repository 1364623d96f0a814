package front

import "time"

type condition uint8

const (
	untried condition = iota // no answer under this epoch yet
	serving
	lost       // tried again with growing delay
	recovering // answers, but not yet for RecoveryTime
)

// health is the front's verdict on the target.
type health struct {
	condition condition
	at        time.Time // start of the condition
	failures  int       // in a row
	errors    int       // error responses in a row
	waiting   time.Time // since when nothing was answered; zero if answered
	nextTry   time.Time
	delay     time.Duration
	lostAt    time.Time
	draining  stop
}

func (h *health) start(now time.Time) { *h = health{at: now} }

func (h *health) lost() bool { return h.condition == lost || h.condition == recovering }

func (h *health) drained(now time.Time) bool {
	return h.draining.on && now.Sub(h.draining.since) >= DrainLimit
}

func (h *health) enter(c condition, now time.Time) {
	h.condition = c
	h.at = now
}

func (h *health) succeeded() { h.failures, h.errors = 0, 0 }

// failWithResponse counts a complete error response: the target is reachable,
// but may fail everything.
func (h *health) failWithResponse(now time.Time) {
	h.failures = 0
	h.errors++
	if h.errors >= ErrorsInRow {
		h.lose(now)
	}
}

// fail counts a failed request or a refused connection.
func (h *health) fail(now time.Time) {
	h.failures++
	if h.failures >= FailedInRow {
		h.lose(now)
	}
}

// lose declares the target lost. The verdict stands until RecoveryTime after
// the target answers again, which is longer than any grant.
func (h *health) lose(now time.Time) {
	h.succeeded()
	h.waiting = time.Time{}
	if !h.lost() {
		h.lostAt = now
	}
	if h.condition == lost {
		return
	}
	if h.delay == 0 || h.condition == serving && now.Sub(h.at) >= StableTime {
		h.delay = FirstRetry
	}
	h.enter(lost, now)
	h.postpone(now)
}

func (h *health) postpone(now time.Time) {
	h.nextTry = now.Add(h.delay)
	h.delay = min(2*h.delay, LastRetry)
}

// sent notes an exchange, which stays unanswered until answered is called.
func (h *health) sent(now time.Time) {
	if h.waiting.IsZero() {
		h.waiting = now
	}
}

// overdue checks whether exchanges have been unanswered for too long.
func (h *health) overdue(now time.Time) {
	if h.waiting.IsZero() || now.Sub(h.waiting) < UnansweredLimit {
		return
	}
	if h.condition == lost {
		h.waiting = time.Time{}
		return
	}
	h.lose(now)
}

// forgive restarts the wait for an answer after this daemon itself was unable
// to exchange anything.
func (h *health) forgive() { h.waiting = time.Time{} }

// answered notes an answer of the target. While barred, it does not serve again
// however long it answers.
func (h *health) answered(now time.Time, barred bool) {
	h.waiting = time.Time{}
	switch h.condition {
	case untried:
		h.enter(serving, now)
	case lost:
		h.enter(recovering, now)
	case recovering:
		if !barred && now.Sub(h.at) >= RecoveryTime {
			h.failures = 0
			h.enter(serving, now)
		}
	}
}

// refused notes a refused connection for an exchange.
func (h *health) refused(now time.Time) {
	switch h.condition {
	case lost:
		h.waiting = time.Time{}
		h.postpone(now)
	case recovering:
		h.lose(now)
	default:
		h.fail(now)
	}
}

// timedOut notes an exchange that got no answer.
func (h *health) timedOut(now time.Time) {
	if h.condition == lost {
		h.waiting = time.Time{}
		h.postpone(now)
	}
}
