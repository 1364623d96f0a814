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
	// Waited is the time since the caller's first attempt, as far as it is known, and Held the
	// part of it that the request has spent in this daemon.
	Waited, Held time.Duration
	// Idempotent states that the request may be sent again after an unknown outcome.
	Idempotent bool
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
	// Late: the request would miss its objective and has to leave the queue to others.
	Late
)

// String returns the label of the metrics.
func (c Cause) String() string { return [...]string{"admitted", "full", "reserved", "late"}[c] }

// Decision is the result of Decide.
type Decision struct {
	Cause Cause
	// Fits is the time after which the target is expected to have room, if no more requests
	// arrive there. It is 0 for admitted requests.
	Fits time.Duration
	// Hold is true if the request is to be held until room is expected.
	Hold bool
}

// TimeLimit returns the time within which a request with the given time left must be
// expected to complete, if it has to queue.
func TimeLimit(r Request) time.Duration { return timeLimit(r, objectiveShare) }

func timeLimit(r Request, share float64) time.Duration {
	limit := time.Duration(TimeShare(r.Priority) * float64(r.Left))
	if r.Objective > 0 {
		limit = min(limit, time.Duration(share*float64(r.Objective)))
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
	if t.Load < slots {
		return Decision{}
	}
	limit, cause := TimeLimit(r), Full
	if s != nil {
		limit, cause = s.queueLimit(now, r, t, slots)
	}
	if t.Expected <= limit {
		return Decision{}
	}
	return s.refuse(r, cause, t.Expected-limit)
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
	hold := s != nil && cause != Late && r.Held+fits <= time.Duration(holdShare*float64(r.Objective))
	return Decision{Cause: cause, Fits: fits, Hold: hold}
}

// queueLimit returns the expected latency up to which a request of a shared service may
// queue, and why it would not be admitted beyond that.
func (s *Service) queueLimit(now time.Duration, r Request, t Target, slots int) (time.Duration, Cause) {
	own := s.class(r.Priority)
	limit := timeLimit(r, own.share())
	if r.Objective > 0 {
		remaining := r.Objective - r.Waited
		if remaining < t.ServiceTime {
			return 0, Late
		}
		limit = min(limit, remaining)
	}
	cause := Full
	place := t.ServiceTime / time.Duration(slots) // what the request adds to the next one's latency
	for i := range s.classes {
		c := &s.classes[i]
		if c.Priority >= r.Priority {
			break
		}
		kept := max(time.Duration(c.share()*float64(c.Objective))-place, 0)
		if c.Objective == 0 || kept >= limit {
			kept = limit
		}
		// The room is kept in so far as a more urgent request is likely to arrive before this
		// one has left the queue. While too many of them miss their objective, less urgent
		// requests use free slots only.
		arrivals := c.rate(now) * t.ArrivalShare * t.Expected.Seconds()
		reserved := 1 - math.Exp(-arrivals)
		allowed := limit - time.Duration(reserved*float64(limit-kept))
		allowed -= time.Duration(c.level(now) * reserved * float64(allowed))
		if allowed < limit {
			limit, cause = allowed, Reserved
		}
	}
	return limit, cause
}
