package probing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
)

const (
	simObjective = 250 * time.Millisecond
	simMean      = 84 * time.Millisecond // of the work of a request
	simDomains   = 3
	simSlots     = 2
	simExchange  = 100 * time.Millisecond // age of exchanged loads
	simNoise     = 400 * time.Millisecond // for which a target stays slow or as usual
	simSlowdown  = 1.4                    // mean
)

// simTarget queues requests for its slots. Work takes longer by its speed and, for a fifth of the
// time, by its machine's other load.
type simTarget struct {
	speed    float64 // multiplies the time of work
	slowdown float64
	until    time.Duration // end of the current slowdown
	ends     []time.Duration
}

// advance ends requests and renews the slowdown, and returns the load.
func (s *simTarget) advance(now time.Duration) int {
	for ; s.until <= now; s.until += simNoise {
		if s.slowdown = 1; rand.Float64() < 0.2 {
			s.slowdown = 3
		}
	}
	s.ends = slices.DeleteFunc(s.ends, func(end time.Duration) bool { return end <= now })
	return len(s.ends)
}

// serve returns when a request that arrives now ends.
func (s *simTarget) serve(now time.Duration, work float64) time.Duration {
	start := now
	if load := s.advance(now); load >= simSlots {
		start = s.ends[load-simSlots] // of the requests in the order of their ends
	}
	end := start + time.Duration(work*s.slowdown*s.speed)
	s.ends = append(s.ends, end)
	slices.Sort(s.ends)
	return end
}

// simDaemon is what one daemon knows of the targets.
type simDaemon struct {
	candidates []Candidate
	service    Service
}

func newSimDaemon(domain int, targets []*simTarget, probed bool) *simDaemon {
	d := &simDaemon{}
	d.service.RecordReport(1)
	for j, s := range targets {
		e := &balance.Estimate{Slots: simSlots, SameDomain: domain == j%simDomains, Normalized: probed}
		measured := simMean
		if !probed {
			measured = time.Duration(s.speed * simSlowdown * float64(simMean))
		}
		e.SetServiceTime(measured)
		d.candidates = append(d.candidates, Candidate{Estimate: e, Target: &Target{}, Connected: true})
	}
	return d
}

// pickByExchangedLoads is the choice without probes: the best of three targets near and three far.
func (d *simDaemon) pickByExchangedLoads(now time.Duration) int {
	var picked []int
	var estimates []*balance.Estimate
	counts := make(map[bool]int)
	for _, i := range rand.Perm(len(d.candidates)) {
		e := d.candidates[i].Estimate
		if counts[e.SameDomain]++; counts[e.SameDomain] <= 3 {
			picked, estimates = append(picked, i), append(estimates, e)
		}
	}
	return picked[balance.Pick(estimates, now, simMean)]
}

func (d *simDaemon) pickByProbes(now time.Duration, targets []*simTarget) (index, probes int) {
	decision := Decision{Objective: simObjective, MeanTime: simMean}
	d.service.RecordRequest()
	best, good := decision.Best(now, d.candidates)
	for round := 0; round < MaxRounds && !good; round++ {
		chosen := decision.Round(now, d.candidates, round)
		for _, i := range chosen[:d.service.Take(now, len(chosen))] {
			probes++
			d.candidates[i].report(now, targets[i].advance(now), targets[i].slowdown*targets[i].speed)
		}
		best, good = decision.Best(now, d.candidates)
	}
	if best < 0 {
		best = d.pickByExchangedLoads(now)
	}
	d.candidates[best].Target.RecordChosen()
	return best, probes
}

// playLoad plays requests of all daemons for 30 s and returns the share of late ones and the
// probes per request.
func playLoad(perSecond float64, probed bool) (late, probes float64) {
	targets := make([]*simTarget, 29)
	for i := range targets {
		targets[i] = &simTarget{speed: []float64{0.6, 1, 1.4}[i/simDomains%3]}
	}
	daemons := make([]*simDaemon, 63)
	for i := range daemons {
		daemons[i] = newSimDaemon(i%simDomains, targets, probed)
	}
	requests, exchanged := 0.0, time.Duration(0)
	for now := time.Second; now < 31*time.Second; now += time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)) {
		for j := 0; j < len(targets) && now-exchanged > simExchange; j++ {
			for _, d := range daemons {
				d.candidates[j].Estimate.SetFleetLoad(now, targets[j].advance(now))
			}
		}
		if now-exchanged > simExchange {
			exchanged = now
		}
		d := daemons[rand.IntN(len(daemons))]
		i, n := d.pickByExchangedLoads(now), 0
		if probed {
			i, n = d.pickByProbes(now, targets)
		}
		work := float64(simMean) * math.Exp(0.7*rand.NormFloat64()-0.245)
		if targets[i].serve(now, work)-now > simObjective {
			late++
		}
		requests, probes = requests+1, probes+float64(n)
	}
	return late / requests, probes / requests
}

// Guards against late responses of a service whose targets change their speed and load faster
// than a daemon learns from its own few requests.
func TestProbesAvoidSlowTargets(t *testing.T) {
	for _, perSecond := range []float64{200, 320, 400} {
		before, _ := playLoad(perSecond, false)
		after, probes := playLoad(perSecond, true)
		t.Logf("%v requests/s: %.1f%% late by exchanged loads, %.1f%% with %.1f probes per request", perSecond, 100*before, 100*after, probes)
		if after > 0.6*before || probes > probesPerRequest+0.1 {
			t.Errorf("%v requests/s: %.3f late with %.2f probes per request, %.3f without", perSecond, after, probes, before)
		}
	}
}
