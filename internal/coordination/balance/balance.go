// Package balance estimates how long a target takes for another request, and
// picks among targets. It is pure.
package balance

import (
	"math"
	"time"
)

// Parameters of the estimate.
const (
	// smoothing is the weight of a new measurement of the service time.
	smoothing = 0.15
	// coldFactor is how much longer a target takes that has just started.
	coldFactor = 2
	// domainPenalty is the share by which a target in another failure domain
	// must be faster. Bytes between domains are charged for.
	domainPenalty = 0.25
	// suspectFirst and suspectMax bound how long a target is avoided after
	// failures in a row; the time doubles with each.
	suspectFirst = 400 * time.Millisecond
	suspectMax   = 4 * time.Second
	// suspectAfter is the number of failures in a row that make it suspect.
	suspectAfter = 2
)

// Estimate is what is known of one target. It is not safe for concurrent use.
type Estimate struct {
	Slots int
	// SameDomain is another term for a target in the daemon's own failure domain.
	SameDomain bool
	// Running counts this daemon's requests at the target, and RunningElsewhere those
	// of other daemons when they last told.
	Running, RunningElsewhere int
	// ColdUntil is when a target that has just started is at full speed.
	ColdUntil time.Duration

	service  time.Duration // smoothed service time without queueing; 0 unknown
	shared   bool          // the service time is that of all daemons
	failures int
	suspect  time.Duration // avoided until then
}

// Load returns the number of requests at the target.
func (e *Estimate) Load() int { return e.Running + e.RunningElsewhere }

// ServiceTime returns the service time, or usual if it is not known yet.
func (e *Estimate) ServiceTime(usual time.Duration) time.Duration {
	if e.service == 0 {
		return usual
	}
	return e.service
}

// RecordResponse records a complete answer and returns the service time that it shows.
// load is that of the target when the request was sent.
func (e *Estimate) RecordResponse(took time.Duration, load int) time.Duration {
	e.failures, e.suspect = 0, 0
	if load >= e.Slots && e.Slots > 0 {
		took = took * time.Duration(e.Slots) / time.Duration(load+1)
	}
	switch {
	case e.shared:
	case e.service == 0:
		e.service = took
	default:
		e.service += time.Duration(smoothing * float64(took-e.service))
	}
	return took
}

// SetServiceTime sets the service time that all daemons measured together.
func (e *Estimate) SetServiceTime(service time.Duration) { e.service, e.shared = service, true }

// RecordFailure records a request without a usable answer, or one that the target
// failed.
func (e *Estimate) RecordFailure(now time.Duration) {
	e.failures++
	if e.failures < suspectAfter {
		return
	}
	pause := suspectFirst << min(e.failures-suspectAfter, 8)
	e.suspect = now + min(pause, suspectMax)
}

// RecordRejection records that the target was full.
func (e *Estimate) RecordRejection(now time.Duration) {
	e.suspect = max(e.suspect, now+e.ServiceTime(suspectFirst)/time.Duration(max(e.Slots, 1)))
}

// Suspect reports whether the target is being avoided.
func (e *Estimate) Suspect(now time.Duration) bool { return now < e.suspect }

// ExpectedLatency returns how long another request would take.
func (e *Estimate) ExpectedLatency(now time.Duration, usual time.Duration) time.Duration {
	service := float64(e.ServiceTime(usual))
	if now < e.ColdUntil {
		service *= coldFactor
	}
	slots := max(e.Slots, 1)
	if queued := e.Load() - slots + 1; queued > 0 {
		service *= 1 + float64(queued)/float64(slots)
	}
	return time.Duration(service)
}

// Pick returns the index of the best target, or -1 if there is none. Suspect
// targets are used only if there is no other.
func Pick(targets []*Estimate, now, usual time.Duration) int {
	best, least := -1, math.Inf(1)
	for i, e := range targets {
		cost := float64(e.ExpectedLatency(now, usual))
		if !e.SameDomain {
			cost *= 1 + domainPenalty
		}
		// Among equals, the one with fewer requests for its slots.
		cost *= 1 + 0.1*float64(e.Load())/float64(max(e.Slots, 1))
		if e.Suspect(now) {
			cost += float64(time.Hour)
		}
		if cost < least {
			best, least = i, cost
		}
	}
	return best
}
