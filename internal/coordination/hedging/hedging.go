// Package hedging decides when a request that waits unusually long for its response is sent to a
// second target as well, so that the first response counts. Hedges cut the slowest responses at the
// price of extra work, and make an overload worse; so they are limited to a share of the requests,
// and stop when the service is loaded or refuses callers.
//
// The load that it answers: a service with spare capacity whose response times have a long tail,
// by slow targets or by slow single requests.
package hedging

import "time"

// Parameters of the decision.
const (
	// maxCredit bounds the hedges that can be sent at once after a time without any.
	maxCredit = 3
	// suspendLoad is the fraction of the service's slots in use above which hedges are suspended,
	// and resumeLoad that below which they resume.
	suspendLoad = 0.75
	resumeLoad  = 0.65
	// refusalPause is how long no hedge is sent after the service refused a request.
	refusalPause = time.Second
	// BudgetReserve is the fraction of the retry budget that hedges leave for retries.
	BudgetReserve = 0.5
)

// Reason is why a request is not hedged.
type Reason string

// Values of Reason; Allowed is none.
const (
	Allowed     Reason = ""
	Overloaded  Reason = "service loaded"
	Refusing    Reason = "service refuses requests"
	ShareUsedUp Reason = "share used up"
	NoTarget    Reason = "no target"
	NoBudget    Reason = "retry budget"
	Stopping    Reason = "daemon is stopping"
)

// Policy limits the hedges of one daemon to one service. It is not safe for concurrent use.
type Policy struct {
	share     float64
	credit    float64 // hedges that may be sent now
	refusedAt time.Duration
	refused   bool
	suspended Reason
}

// NewPolicy returns a policy that allows hedges for a share of the requests, between 0 and 1.
func NewPolicy(share float64) *Policy { return &Policy{share: share} }

// Share returns the fraction of requests that may be hedged.
func (p *Policy) Share() float64 { return p.share }

// RecordRequest counts a request that could be hedged.
func (p *Policy) RecordRequest() { p.credit = min(p.credit+p.share, maxCredit) }

// RecordRefusal records that a target refused a request for lack of room, or that a caller was
// refused.
func (p *Policy) RecordRefusal(now time.Duration) { p.refused, p.refusedAt = true, now }

// Check returns why no hedge may be sent now. running is the number of requests at the service's
// targets from all daemons, and slots the number that the targets run at once.
func (p *Policy) Check(now time.Duration, running, slots int) Reason {
	p.updateSuspended(now, float64(running)/float64(max(slots, 1)))
	switch {
	case p.suspended != Allowed:
		return p.suspended
	case p.credit < 1:
		return ShareUsedUp
	}
	return Allowed
}

func (p *Policy) updateSuspended(now time.Duration, load float64) {
	limit := suspendLoad
	if p.suspended == Overloaded {
		limit = resumeLoad
	}
	switch {
	case p.refused && now-p.refusedAt < refusalPause:
		p.suspended = Refusing
	case load > limit:
		p.suspended = Overloaded
	default:
		p.suspended = Allowed
	}
}

// Suspended returns why hedges were suspended at the last check, or Allowed.
func (p *Policy) Suspended() Reason { return p.suspended }

// Take counts a hedge that is sent.
func (p *Policy) Take() { p.credit-- }
