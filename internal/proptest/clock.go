package proptest

import (
	"time"

	"pgregory.net/rapid"
)

// skewLimit bounds a clock's rate error in parts of rateUnit. Two clocks then
// differ by less than the 1% that leases and grants allow for.
const (
	rateUnit  = 10_000
	skewLimit = 49
)

// Clock is a simulated machine's monotonic clock, wrong in offset and rate.
type Clock struct {
	offset time.Duration
	rate   int64
}

// DrawClock generates a clock. The extreme rates are drawn often, because
// faults of timing show there.
func DrawClock(t *rapid.T, label string) Clock {
	rates := []int64{rateUnit - skewLimit, rateUnit, rateUnit + skewLimit}
	return Clock{
		offset: time.Duration(rapid.IntRange(0, 10_000).Draw(t, label+" offset")) * time.Millisecond,
		rate:   rapid.SampledFrom(rates).Draw(t, label+" rate"),
	}
}

// At returns what the clock shows when real has passed since the start.
func (c Clock) At(real time.Duration) time.Time {
	return time.Unix(0, 0).Add(c.offset + real*time.Duration(c.rate)/rateUnit)
}
