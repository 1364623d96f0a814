// Package admission decides under overload which requests are sent to a target and which are
// refused, and learns what it needs for that from the outcomes of earlier ones. Time is an
// argument; the package keeps no clock and does no I/O.
package admission

import (
	"math"
	"time"
)

// Admission limits.
const (
	// baseTimeShare is the fraction of the remaining time within which a request of
	// the highest priority must be expected to complete. The fraction decreases by
	// priorityStep for each lower priority, so that urgent requests are admitted under
	// overload.
	baseTimeShare = 0.9
	priorityStep  = 0.15
	// minTimeShare is the lower bound of the fraction for low priorities.
	minTimeShare = 0.4
	// objectiveShare is the fraction of the latency objective within which a request
	// that has to queue must be expected to complete.
	objectiveShare = 0.8
	// queueFactor limits the requests at a target to a multiple of its slots.
	queueFactor = 3
)

// Request is what the decision needs to know of a request.
type Request struct {
	// Priority ranks requests; 0 is the highest priority.
	Priority int
	// Objective is the latency objective, counted from the caller's first attempt; 0 if
	// there is none.
	Objective time.Duration
	// Left is the time until the caller stops waiting.
	Left time.Duration
	// Held is the time since the request's arrival.
	Held time.Duration
	// Idempotent states that the request may be sent again after an unknown outcome.
	Idempotent bool
}

// Target is the state of a target as this daemon knows it.
type Target struct {
	Slots, Load int
	// Expected is the expected latency of another request there, including queueing, and
	// ServiceTime the part of it without queueing.
	Expected, ServiceTime time.Duration
	// Limit is the learned limit of requests at the target.
	Limit *Limit
	// ArrivalShare is the part of the service's requests, as seen by this daemon, that arrives
	// at one target from all daemons together: the number of daemons by the number of targets.
	ArrivalShare float64
}

// Cause is why a request is not admitted.
type Cause uint8

// Values of Cause.
const (
	// Admitted: the request is sent.
	Admitted Cause = iota
	// Full: the target has no room for the request.
	Full
	// Reserved: the remaining room is kept for more urgent requests.
	Reserved
)

// String returns the label of the metrics.
func (c Cause) String() string { return [...]string{"admitted", "full", "reserved"}[c] }

// timeLimit returns the time within which the request must be expected to complete, if it has
// to queue.
func (r Request) timeLimit() time.Duration {
	limit := time.Duration(TimeShare(r.Priority) * float64(r.Left))
	if r.Objective > 0 {
		limit = min(limit, time.Duration(objectiveShare*float64(r.Objective)))
	}
	return limit
}

// TimeShare returns the fraction of its time that a request of a priority may use.
func TimeShare(priority int) float64 {
	return max(baseTimeShare-priorityStep*float64(priority), minTimeShare)
}

// Decide returns whether a request is sent to the target now, or why it is refused. s is nil
// for services whose requests all have the same priority.
func (s *Service) Decide(now time.Duration, r Request, t Target) Cause {
	slots := max(t.Slots, 1)
	switch {
	case t.Load >= t.Limit.max(now, slots, r.Idempotent):
		return Full
	case t.Load < slots:
		return Admitted
	case s != nil:
		return s.decideQueue(now, r, t)
	case t.Expected > r.timeLimit():
		return Full
	}
	return Admitted
}

// decideQueue decides for a request of a shared service that has to queue.
func (s *Service) decideQueue(now time.Duration, r Request, t Target) Cause {
	likely, next := s.prediction.latency(t, 0), s.prediction.latency(t, 1)
	limit := time.Duration(TimeShare(r.Priority) * float64(r.Left))
	if own := s.class(r.Priority); own != nil && own.Objective > 0 {
		limit = min(limit, own.queueLimit()-r.Held)
	}
	if likely > limit {
		return Full
	}
	for i := range s.classes {
		c := &s.classes[i]
		if c.Priority >= r.Priority {
			break
		}
		kept := c.queueLimit()
		if c.Objective == 0 || next <= kept {
			continue
		}
		// The room is kept in so far as more urgent requests are refused more often, and as one
		// of them is likely to arrive before this one has left.
		needed := s.yield(now, c, r.Priority) * (1 - math.Exp(-c.rate(now)*t.ArrivalShare*likely.Seconds()))
		if likely > limit-time.Duration(needed*float64(max(limit-kept+next-likely, 0))) {
			return Reserved
		}
	}
	return Admitted
}
