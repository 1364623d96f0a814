package admission

import "time"

// Counts are totals since New.
type Counts struct {
	Offered, Started, Cancelled, Aborted, Expired, Shed uint64
	// RefusedFull, RefusedShare, RefusedDeadline and RefusedInvalid count the
	// refusals of Offer by reason.
	RefusedFull, RefusedShare, RefusedDeadline, RefusedInvalid uint64
	// Done counts ends of started requests, indexed by Result.
	Done [resultCount]uint64
}

func (c *Counts) refused(reason Reason) {
	switch reason {
	case ReasonQueueFull:
		c.RefusedFull++
	case ReasonFairShare:
		c.RefusedShare++
	case ReasonDeadline:
		c.RefusedDeadline++
	case ReasonInvalid:
		c.RefusedInvalid++
	}
}

// ClassStats is the state of one class.
type ClassStats struct {
	Name            string
	Queued, Running int
	Callers         int
	Mean, Median    time.Duration
	Straggler       bool
}

// Stats is the state of a Controller.
type Stats struct {
	Slots, Running, Queued, QueueBound int
	// Limit is the effective concurrency, between one and Slots.
	Limit float64
	// Slowdown is the typical run time as a multiple of its baseline.
	Slowdown float64
	Held     bool
	Counts   Counts
	Classes  []ClassStats
}

// Stats returns a copy of the present state.
func (t *Controller) Stats() Stats {
	s := Stats{
		Slots: t.slots, Running: t.running, Queued: t.queued, QueueBound: t.bound,
		Limit: t.limit.value, Slowdown: t.limit.gradient.slowdown, Held: t.held, Counts: t.counts,
		Classes: make([]ClassStats, len(t.classes)),
	}
	for i := range t.classes {
		s.Classes[i] = t.classStats(&t.classes[i])
	}
	return s
}

func (t *Controller) classStats(c *classState) ClassStats {
	return ClassStats{
		Name: c.Name, Queued: c.queued, Running: c.running, Callers: c.order.len,
		Mean: time.Duration(c.mean), Median: c.typical(), Straggler: t.straggler(c),
	}
}
