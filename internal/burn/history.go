package burn

import (
	"fmt"
	"time"
)

// Sample holds the cumulative counters of a daemon at one time.
type Sample struct {
	At      time.Time
	Classes map[ClassID]Counter
}

// History is a bounded ring of samples. It is not safe for concurrent use.
type History struct {
	times  []time.Time
	head   int // index of the newest sample
	count  int
	series map[ClassID]*series
}

// series holds one class's counters, at the same indexes as History.times.
type series struct {
	counts []Counter
	// last is the counter as sampled, base what was counted before the counter
	// began anew. That happens when a class is removed and declared again.
	last, base Counter
	// unseen counts the samples since the class was last in one.
	unseen int
}

// NewHistory returns the history of a daemon whose counters began at started.
func NewHistory(started time.Time) *History {
	h := &History{times: make([]time.Time, keptSamples), count: 1, series: map[ClassID]*series{}}
	h.times[0] = started
	return h
}

// Add appends a sample. The requests of a class that is missing stay until they
// have left the longest window; if the class returns, its counters begin anew.
// On ErrTooManySeries the classes that fit are recorded.
func (h *History) Add(s Sample) error {
	if !s.At.After(h.times[h.head]) {
		return fmt.Errorf("%w: %v after %v", ErrNotLater, s.At, h.times[h.head])
	}
	h.head = (h.head + 1) % len(h.times)
	h.count = min(h.count+1, len(h.times))
	h.times[h.head] = s.At
	h.carry(s)
	return h.record(s)
}

// carry writes the counters of classes that the sample lacks, and forgets those
// that no kept sample holds.
func (h *History) carry(s Sample) {
	for id, class := range h.series {
		if _, ok := s.Classes[id]; ok {
			continue
		}
		class.unseen++
		if class.unseen >= len(h.times) {
			delete(h.series, id)
			continue
		}
		class.restart()
		class.counts[h.head] = class.base
	}
}

func (h *History) record(s Sample) error {
	dropped := 0
	for id, c := range s.Classes {
		class := h.series[id]
		if class == nil && len(h.series) >= MaxSeries {
			dropped++
			continue
		}
		if class == nil {
			class = &series{counts: make([]Counter, len(h.times))}
			h.series[id] = class
		}
		class.record(h.head, c)
	}
	if dropped > 0 {
		return fmt.Errorf("%w: %d of %d left out", ErrTooManySeries, dropped, len(s.Classes))
	}
	return nil
}

// restart keeps what was counted when the counter begins anew.
func (c *series) restart() {
	c.base = c.base.plus(c.last)
	c.last = Counter{}
}

func (c *series) record(at int, now Counter) {
	if now.Total < c.last.Total || now.Good < c.last.Good {
		c.restart()
	}
	c.last = now
	c.unseen = 0
	c.counts[at] = c.base.plus(now)
}

// index returns the ring index of the sample with the given age, 0 being the
// newest.
func (h *History) index(age int) int {
	return (h.head - age + len(h.times)) % len(h.times)
}

// start returns the age of the sample at which the window begins: the latest
// one that is at least the window old, or the oldest.
func (h *History) start(window time.Duration) int {
	newest := h.times[h.head]
	for age := 1; age < h.count; age++ {
		if newest.Sub(h.times[h.index(age)]) >= window {
			return age
		}
	}
	return h.count - 1
}
