// Package probing decides which targets are asked for their load before a request is sent, and
// which of the targets that answered gets the request. Time is an argument; the package keeps
// no clock and does no I/O.
//
// A request is preceded by rounds of probes of a few random targets each. The rounds end when
// one of the targets is good enough. What a daemon learned from its own requests is too old
// for this: in a large fleet it sends a target less than one request per second, while the
// target's load and speed change within some ten milliseconds.
package probing

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
)

const (
	// roundSize is the number of targets in a round.
	roundSize = 3
	// MaxRounds limits the rounds of a request. Three rounds almost always find a target that
	// is neither full nor slow if half of the targets are one of both.
	MaxRounds = 3
	// reportLifetime is how long a report decides without another probe. A target with two
	// slots that is half used changes its load every 40 ms.
	reportLifetime = 25 * time.Millisecond
	// maxUses limits the requests that one report decides about, because other daemons use
	// the target too.
	maxUses = 2
	// silentTime is how long a target is not probed after a probe without a usable answer.
	silentTime = 500 * time.Millisecond
	// goodShare is the fraction of the latency objective within which a request must be
	// expected to complete at a target that is good enough. Work times scatter, and a request
	// that takes twice the expected time is still on time there.
	goodShare = 0.5
	// goodFactor is used without a latency objective: the multiple of the service's mean time.
	goodFactor = 1.25
	// crossDomainPenalty is added to the relative cost of a target in another failure domain,
	// because traffic between domains is charged for.
	crossDomainPenalty = 0.25
	// minConnected is the number of connected targets in a group of which the others are
	// probed only with exploreShare, so that a daemon in a large fleet keeps its connections
	// instead of opening one for almost every probe.
	minConnected = 3 * roundSize
	exploreShare = 0.1
)

// Target is what a daemon knows of the probes of one target. It is not safe for concurrent use.
type Target struct {
	uses        int // requests sent since the last report
	probing     bool
	silentUntil time.Duration
	trust       trust
}

// Begin records the start of a probe.
func (t *Target) Begin() { t.probing = true }

// Result is how a probe ended.
type Result uint8

// Results of probes.
const (
	// Answered: the target has reported its load.
	Answered Result = iota
	// Unanswered: there was no usable answer in time.
	Unanswered
	// NotSent: this daemon had no connection for the probe.
	NotSent
)

// End records the end of a probe. A target without a usable answer has not failed a request, but
// is not probed again for a while.
func (t *Target) End(now time.Duration, r Result) {
	t.probing = false
	if r == Unanswered {
		t.silentUntil = now + silentTime
	}
}

// Available reports whether the target may be probed.
func (t *Target) Available(now time.Duration) bool { return !t.probing && now >= t.silentUntil }

// RecordReport records a load report, of a probe or of another response.
func (t *Target) RecordReport() { t.uses = 0 }

// RecordChosen records that a request is sent to the target.
func (t *Target) RecordChosen() { t.uses++ }

// RecordOutcome records whether the target served a request.
func (t *Target) RecordOutcome(now time.Duration, served bool) { t.trust.record(now, served) }

// Candidate is a target that may get the request.
type Candidate struct {
	Estimate  *balance.Estimate
	Target    *Target
	Connected bool
}

// Decision chooses the target of one request.
type Decision struct {
	// Objective is the latency objective of the request; 0 if there is none.
	Objective time.Duration
	// MeanTime is the mean service time of the service.
	MeanTime time.Duration
}

// Best returns the index of the candidate with a recent report that has the lowest cost, or -1
// if there is none, and whether it is good enough to end the rounds.
func (d Decision) Best(now time.Duration, candidates []Candidate) (best int, good bool) {
	best = -1
	var lowest float64
	for i, c := range candidates {
		if !c.hasRecentReport(now) {
			continue
		}
		if cost := d.cost(now, c); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best, best >= 0 && d.isGood(now, candidates[best])
}

func (c Candidate) hasRecentReport(now time.Duration) bool {
	age, reported := c.Estimate.ReportAge(now)
	return reported && age < reportLifetime && c.Target.uses < maxUses
}

func (d Decision) cost(now time.Duration, c Candidate) float64 {
	cost := float64(c.Estimate.ExpectedLatency(now, d.MeanTime)) * c.Target.trust.costFactor(now)
	if !c.Estimate.SameDomain {
		cost *= 1 + crossDomainPenalty
	}
	return cost
}

func (d Decision) isGood(now time.Duration, c Candidate) bool {
	limit := goodFactor * float64(d.MeanTime)
	if d.Objective > 0 {
		limit = goodShare * float64(d.Objective)
	}
	latency := float64(c.Estimate.ExpectedLatency(now, d.MeanTime)) * c.Target.trust.costFactor(now)
	return c.Estimate.Load() < c.Estimate.Slots && latency <= limit
}

// Round returns the indexes of the candidates that are probed in a round, counted from 0. The
// first round probes targets of the daemon's own failure domain if there are any, later ones all
// that have no recent report.
func (d Decision) Round(now time.Duration, candidates []Candidate, round int) []int {
	var eligible, local []int
	for i, c := range candidates {
		if !c.Target.Available(now) || c.hasRecentReport(now) {
			continue
		}
		eligible = append(eligible, i)
		if c.Estimate.SameDomain {
			local = append(local, i)
		}
	}
	if round == 0 && len(local) > 0 {
		eligible = local
	}
	connected, others := split(eligible, candidates)
	shuffle(connected)
	shuffle(others)
	if len(connected) < minConnected {
		connected = append(connected, others...)
		shuffle(connected)
	} else if len(others) > 0 && rand.Float64() < exploreShare {
		connected[0] = others[0]
	}
	return connected[:min(roundSize, len(connected))]
}

// split divides indexes by whether the candidates have an idle connection.
func split(indexes []int, candidates []Candidate) (connected, others []int) {
	for _, i := range indexes {
		if candidates[i].Connected {
			connected = append(connected, i)
		} else {
			others = append(others, i)
		}
	}
	return connected, others
}

func shuffle(indexes []int) {
	rand.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
}

// OwnerNeedsProbe reports whether the owner of a key is probed before a request is decided on: it has
// no free slot by what is known, and that is too old. The load that daemons tell each other is older
// than most requests take, so that requests are refused at owners that have room.
func OwnerNeedsProbe(now time.Duration, c Candidate) bool {
	return c.Estimate.Load() >= c.Estimate.Slots && c.Target.Available(now) && !c.hasRecentReport(now)
}
