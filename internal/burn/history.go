package burn

import (
	"fmt"
	"time"
)

// Sample holds the cumulative counters of a daemon at one point in time.
type Sample struct {
	At      time.Time
	Classes map[ClassID]Counter
}

// History is a ring buffer of samples. It is not safe for concurrent use.
type History struct {
	times  []time.Time
	head   int // index of the newest sample
	count  int
	series map[ClassID]*series
}

// series holds one class's counters, at the same indexes as History.times.
type series struct {
	counts []Counter
	// last is the counter as last sampled; base is the sum from before its last reset.
	// A counter is reset when its class is removed and declared again.
	last, base Counter
	// missedSamples is the number of samples since the last one with the class.
	missedSamples int
}

// NewHistory returns the history of a daemon whose counters were 0 at started.
func NewHistory(started time.Time) *History {
	h := &History{times: make([]time.Time, maxSamples), count: 1, series: map[ClassID]*series{}}
	h.times[0] = started
	return h
}

// Add appends a sample. A class that the sample lacks is kept until its requests have
// left the longest window; if it returns, its counters are taken as reset. With
// ErrTooManySeries, the classes that fit are still recorded.
func (h *History) Add(s Sample) error {
	if !s.At.After(h.times[h.head]) {
		return fmt.Errorf("%w: new sample of %v, previous sample of %v", ErrNotLater, s.At, h.times[h.head])
	}
	h.head = (h.head + 1) % len(h.times)
	h.count = min(h.count+1, len(h.times))
	h.times[h.head] = s.At
	h.carryForward(s)
	return h.record(s)
}

// carryForward repeats the counters of classes that the sample lacks, and deletes the
// classes that occur in none of the retained samples.
func (h *History) carryForward(s Sample) {
	for id, class := range h.series {
		if _, ok := s.Classes[id]; ok {
			continue
		}
		class.missedSamples++
		if class.missedSamples >= len(h.times) {
			delete(h.series, id)
			continue
		}
		class.reset()
		class.counts[h.head] = class.base
	}
}

func (h *History) record(s Sample) error {
	omitted := 0
	for id, c := range s.Classes {
		class := h.series[id]
		if class == nil && len(h.series) >= MaxSeries {
			omitted++
			continue
		}
		if class == nil {
			class = &series{counts: make([]Counter, len(h.times))}
			h.series[id] = class
		}
		class.record(h.head, c)
	}
	if omitted > 0 {
		return fmt.Errorf("%w: %d of %d classes omitted", ErrTooManySeries, omitted, len(s.Classes))
	}
	return nil
}

// reset handles a counter reset: it adds the last value of the counter to base.
func (c *series) reset() {
	c.base = c.base.plus(c.last)
	c.last = Counter{}
}

func (c *series) record(at int, now Counter) {
	if now.Total < c.last.Total || now.Good < c.last.Good {
		c.reset()
	}
	c.last = now
	c.missedSamples = 0
	c.counts[at] = c.base.plus(now)
}

// ringIndex returns the index in the ring of the sample with the given age in samples;
// the newest has age 0.
func (h *History) ringIndex(age int) int {
	return (h.head - age + len(h.times)) % len(h.times)
}

// windowStart returns the age in samples of the sample at which the window begins: the
// newest one that is at least as old as the window is long, or else the oldest.
func (h *History) windowStart(window time.Duration) int {
	newest := h.times[h.head]
	for age := 1; age < h.count; age++ {
		if newest.Sub(h.times[h.ringIndex(age)]) >= window {
			return age
		}
	}
	return h.count - 1
}
