package admission

import "time"

const (
	// recoveryPerSecond is the number of slots regained per second of success.
	recoveryPerSecond = 1.0
	// maxRecoveryGap bounds the time that one success accounts for.
	maxRecoveryGap = time.Second
)

// limit is the effective concurrency of a target: between one and slots.
type limit struct {
	slots        int
	value        float64
	lastSuccess  time.Time
	lastDecrease time.Time
	gradient     gradient
	// ignoreSlowdown switches the reaction to slowness off.
	ignoreSlowdown bool
}

func newLimit(slots int) limit { return limit{slots: slots, value: 1} }

func (l *limit) whole() int { return int(l.value) }

// success accounts for a response. expected is the baseline of the class's run
// time in nanoseconds, and running the concurrency that the request ran at.
func (l *limit) success(ran time.Duration, expected float64, running int, now time.Time) {
	if !l.current(ran, now) {
		return
	}
	if !l.ignoreSlowdown {
		value, changed := l.gradient.observe(l.value, float64(ran), expected, running, now)
		if changed {
			l.set(value, now)
			return
		}
	}
	l.recover(now)
}

// current reports whether a request was started under the present limit: others
// carry no news about it.
func (l *limit) current(ran time.Duration, now time.Time) bool {
	return l.lastDecrease.IsZero() || !now.Add(-ran).Before(l.lastDecrease)
}

func (l *limit) recover(now time.Time) {
	if !l.lastSuccess.IsZero() && !l.slow(now) {
		gap := min(now.Sub(l.lastSuccess), maxRecoveryGap)
		l.value = min(l.value+gap.Seconds()*recoveryPerSecond, float64(l.slots))
	}
	l.lastSuccess = now
}

// slow reports whether the present limit is the result of slowness or on trial
// for it. A limit that no trial has set may rise although responses are slow:
// only at a higher one can a trial tell whether fewer requests at once help.
func (l *limit) slow(now time.Time) bool {
	g := &l.gradient
	return g.trial || (g.isSlow && g.holdoff == 0 && now.Before(g.kept))
}

// halve reacts to a refusal by the target.
func (l *limit) halve(ran time.Duration, now time.Time) {
	if !l.current(ran, now) {
		return
	}
	l.gradient.trial = false
	l.gradient.reset()
	l.set(max(1, l.value/2), now)
}

func (l *limit) set(value float64, now time.Time) {
	l.value = min(value, float64(l.slots))
	l.lastDecrease, l.lastSuccess = now, now
}

func (l *limit) setSlots(n int) {
	l.slots = n
	l.value = min(l.value, float64(n))
}
