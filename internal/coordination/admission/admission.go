// Package admission decides under overload which requests are sent to a target, which wait
// for room there, and which are refused, and when refused callers are asked to return. Time
// is an argument; the package keeps no clock and does no I/O.
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
	// holdShare is the fraction of the objective for which a request may be held here until a
	// target has room. A caller that is refused within it loses no more than the way back.
	holdShare = 1.0 / 8
	// maxShed is the largest part of the less urgent requests that is refused at targets with
	// a free slot, so that none of them starve.
	maxShed = 0.5
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
	// Chance is a random number from 0 to 1.
	Chance float64
}

// Target is the state of a target as this daemon knows it.
type Target struct {
	Slots, Load int
	// Expected is the expected latency of another request there, including queueing, and
	// ServiceTime the part of it without queueing.
	Expected, ServiceTime time.Duration
	// Ahead is the number of requests that this daemon holds for the target and sends before
	// this one.
	Ahead int
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
	// Shed: the target has a free slot, as far as is known, but more urgent requests are
	// expected to miss their objectives there.
	Shed
)

// String returns the label of the metrics.
func (c Cause) String() string { return [...]string{"admitted", "full", "reserved", "shed"}[c] }

// Decision is the result of Decide.
type Decision struct {
	Cause Cause
	// Fits is the time after which the target is expected to have room, if no more requests
	// arrive there. It is 0 for admitted requests.
	Fits time.Duration
	// Hold is true if the request is to be held until room is expected.
	Hold bool
}

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

// Decide returns whether a request is sent to the target now. s is nil for services whose
// requests all have the same priority.
func (s *Service) Decide(now time.Duration, r Request, t Target) Decision {
	slots := max(t.Slots, 1)
	t = t.behind(slots)
	if maxLoad := t.Limit.max(now, slots, r.Idempotent); t.Load >= maxLoad {
		excess := t.Load - maxLoad + 1
		return s.refuse(r, Full, t.ServiceTime*time.Duration(excess)/time.Duration(slots))
	}
	switch {
	case s != nil:
		return s.decideShared(now, r, t, slots)
	case t.Load < slots:
		return Decision{}
	}
	if limit := r.timeLimit(); t.Expected > limit {
		return s.refuse(r, Full, t.Expected-limit)
	}
	return Decision{}
}

// behind returns the target as it will be once the requests that are ahead have been sent.
func (t Target) behind(slots int) Target {
	if t.Ahead == 0 {
		return t
	}
	free := max(slots-t.Load, 0)
	t.Load += t.Ahead
	t.Expected += t.ServiceTime * time.Duration(max(t.Ahead-free, 0)) / time.Duration(slots)
	return t
}

// refuse returns the decision for a request that would fit after the given time. Only requests
// of shared services are held: those of other services are refused at once, as callers return
// to another daemon that may know of room.
func (s *Service) refuse(r Request, cause Cause, fits time.Duration) Decision {
	hold := s != nil && cause != Shed && r.Held+fits <= time.Duration(holdShare*float64(r.Objective))
	return Decision{Cause: cause, Fits: fits, Hold: hold}
}

// decideShared decides for a target that has room in general.
func (s *Service) decideShared(now time.Duration, r Request, t Target, slots int) Decision {
	expected, next := s.prediction.latency(t, 0), s.prediction.latency(t, 1)
	limit, cause := time.Duration(TimeShare(r.Priority)*float64(r.Left)), Full
	if own := s.class(r.Priority); own != nil && own.Objective > 0 {
		limit = min(limit, own.queueLimit()-r.Held)
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
		// The room is kept in so far as a more urgent request is likely to arrive before this
		// one has left.
		needed := 1 - math.Exp(-c.rate(now)*t.ArrivalShare*expected.Seconds())
		if t.Load < slots {
			if r.Chance < maxShed*needed*c.level(now) {
				return s.refuse(r, Shed, next-kept)
			}
			continue
		}
		// While too many of the more urgent requests miss their objective, less urgent ones use
		// free slots only.
		allowed := limit - time.Duration(needed*float64(max(limit-kept+next-expected, 0)))
		allowed -= time.Duration(c.level(now) * needed * float64(allowed))
		if allowed < limit {
			limit, cause = allowed, Reserved
		}
	}
	if t.Load < slots || expected <= limit {
		return Decision{}
	}
	return s.refuse(r, cause, expected-limit)
}
