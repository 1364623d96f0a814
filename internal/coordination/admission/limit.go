package admission

import "time"

const (
	// recoveryPerSecond is the number of slots regained per second of success.
	recoveryPerSecond = 1.0
	// maxRecoveryGap bounds the time that one success accounts for.
	maxRecoveryGap = time.Second
	// slowRatio: at a smoothed run time above this multiple of the class's
	// typical run time, the target counts as slowed down.
	slowRatio = 3.0
	// slowWeight is the number of samples over which the slowdown is smoothed.
	slowWeight = 16
)

// limit is the effective concurrency of a target: between one and slots.
type limit struct {
	slots        int
	value        float64
	lastSuccess  time.Time
	lastDecrease time.Time
	// slowdown is the smoothed ratio of run time to the learned typical one.
	slowdown float64
	// ignoreSlowdown switches the reaction to slowness off.
	ignoreSlowdown bool
}

func newLimit(slots int) limit { return limit{slots: slots, value: 1, slowdown: 1} }

func (l *limit) whole() int { return int(l.value) }

// success accounts for a response whose run took ratio times the typical time.
func (l *limit) success(ratio float64, ran time.Duration, now time.Time) {
	l.slowdown += (min(ratio, 4*slowRatio) - l.slowdown) / slowWeight
	if l.slowdown > slowRatio && !l.ignoreSlowdown {
		l.halve(ran, now)
		l.lastSuccess = now
		return
	}
	if !l.lastSuccess.IsZero() {
		gap := min(now.Sub(l.lastSuccess), maxRecoveryGap)
		l.value = min(l.value+gap.Seconds()*recoveryPerSecond, float64(l.slots))
	}
	l.lastSuccess = now
}

// halve reacts to a refusal or to slowness of the target. Requests that were
// started before the last decrease carry no news about the present limit.
func (l *limit) halve(ran time.Duration, now time.Time) {
	started := now.Add(-ran)
	if !l.lastDecrease.IsZero() && started.Before(l.lastDecrease) {
		return
	}
	l.value = max(1, l.value/2)
	l.lastDecrease = now
	l.lastSuccess = now
	l.slowdown = 1
}

func (l *limit) setSlots(n int) {
	l.slots = n
	l.value = min(l.value, float64(n))
}
