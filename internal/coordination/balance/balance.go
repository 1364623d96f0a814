// Package balance estimates the latency of the next request at each target and picks
// the best target. Time is an argument; the package keeps no clock and does no I/O.
package balance

import (
	"math"
	"time"
)

// Parameters of the estimate.
const (
	// smoothingFactor is the weight of a new sample in the moving average of the
	// service time.
	smoothingFactor = 0.15
	// coldFactor multiplies the service time of a target that is still warming up.
	coldFactor = 2
	// crossDomainPenalty is added to the relative cost of a target in another failure
	// domain, because traffic between domains is charged for.
	crossDomainPenalty = 0.25
	// minSuspectTime and maxSuspectTime bound how long a target is avoided after
	// consecutive failures. The time doubles with each failure.
	minSuspectTime = 400 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// suspectThreshold is the number of consecutive failures that make a target suspect.
	suspectThreshold = 2
)

// Estimate holds the load and the measurements of one target. It is not safe for
// concurrent use.
type Estimate struct {
	Slots int
	// SameDomain reports whether the target is in the daemon's own failure domain.
	SameDomain bool
	// Running counts this daemon's requests at the target, and RunningElsewhere those
	// that other daemons last reported.
	Running, RunningElsewhere int
	// ColdUntil is when a newly started target has warmed up.
	ColdUntil time.Duration
	// Normalized states that the service time is measured at a slowdown of 1. Otherwise it is
	// the mean over the slowdowns of the target.
	Normalized bool

	serviceTime       time.Duration // moving average without queueing; 0 if unknown
	serviceTimeShared bool          // serviceTime was measured by all daemons
	failures          int
	suspectUntil      time.Duration // the target is avoided until this time

	reportedAt   time.Duration // time of the last load report; 0 if there was none
	reports      int
	slowdown     float64 // of the last load report
	meanSlowdown float64 // moving average; 0 before the first report
}

// Load returns the number of requests at the target from all daemons.
func (e *Estimate) Load() int { return e.Running + e.RunningElsewhere }

// ServiceTime returns the service time, or averageServiceTime if there is no measurement yet.
func (e *Estimate) ServiceTime(averageServiceTime time.Duration) time.Duration {
	if e.serviceTime == 0 {
		return averageServiceTime
	}
	return e.serviceTime
}

// RecordResponse records a complete response and returns its service time without
// queueing, and without the slowdown if service times are normalized. load is the target's load
// when the request was sent, and slowdown what it reported with the response.
func (e *Estimate) RecordResponse(took time.Duration, load int, slowdown float64) time.Duration {
	e.failures, e.suspectUntil = 0, 0
	if load >= e.Slots && e.Slots > 0 {
		took = took * time.Duration(e.Slots) / time.Duration(load+1)
	}
	if e.Normalized {
		took = time.Duration(float64(took) / slowdown)
	}
	switch {
	case e.serviceTimeShared:
	case e.serviceTime == 0:
		e.serviceTime = took
	default:
		e.serviceTime += time.Duration(smoothingFactor * float64(took-e.serviceTime))
	}
	return took
}

// SetServiceTime sets the service time aggregated over all daemons. Later responses do
// not change it.
func (e *Estimate) SetServiceTime(service time.Duration) {
	e.serviceTime, e.serviceTimeShared = service, true
}

// RecordFailure records a request that the target failed or that got no usable response.
func (e *Estimate) RecordFailure(now time.Duration) {
	e.failures++
	if e.failures < suspectThreshold {
		return
	}
	pause := minSuspectTime << min(e.failures-suspectThreshold, 8)
	e.suspectUntil = now + min(pause, maxSuspectTime)
}

// RecordRejection records that the target rejected a request because it was full. The
// target is avoided for about the time in which one of its slots becomes free.
func (e *Estimate) RecordRejection(now time.Duration) {
	e.suspectUntil = max(e.suspectUntil, now+e.ServiceTime(minSuspectTime)/time.Duration(max(e.Slots, 1)))
}

// Suspect reports whether the target is avoided because of recent failures or rejections.
func (e *Estimate) Suspect(now time.Duration) bool { return now < e.suspectUntil }

// ExpectedLatency returns the estimated latency of another request, including queueing.
// averageServiceTime is the service time of a target without measurements.
func (e *Estimate) ExpectedLatency(now time.Duration, averageServiceTime time.Duration) time.Duration {
	service := float64(e.ServiceTime(averageServiceTime))
	if now < e.ColdUntil {
		service *= coldFactor
	}
	service *= e.slowdownFactor(now)
	slots := max(e.Slots, 1)
	if queued := e.Load() - slots + 1; queued > 0 {
		service *= 1 + float64(queued)/float64(slots)
	}
	return time.Duration(service)
}

// Pick returns the index of the target with the lowest cost, or -1 if targets is empty.
// A suspect target is picked only if all targets are suspect.
func Pick(targets []*Estimate, now, averageServiceTime time.Duration) int {
	best, lowest := -1, math.Inf(1)
	for i, e := range targets {
		cost := float64(e.ExpectedLatency(now, averageServiceTime))
		if !e.SameDomain {
			cost *= 1 + crossDomainPenalty
		}
		// A small term breaks ties in favor of the target with the lower load per slot.
		cost *= 1 + 0.1*float64(e.Load())/float64(max(e.Slots, 1))
		if e.Suspect(now) {
			cost += float64(time.Hour)
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
