package probing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
)

const (
	simObjective = 250 * time.Millisecond
	simDaemons   = 63
	simDomains   = 3
	simSlots     = 2
	simExchange  = 100 * time.Millisecond // age of exchanged loads
	simNoise     = 400 * time.Millisecond // for which a target stays slow or as usual
	simWork      = 84.0                   // mean, in milliseconds
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
	left := s.ends[:0]
	for _, end := range s.ends {
		if end > now {
			left = append(left, end)
		}
	}
	s.ends = left
	return len(left)
}

// serve returns when a request that arrives now ends.
func (s *simTarget) serve(now time.Duration, workMs float64) time.Duration {
	start := now
	if load := s.advance(now); load >= simSlots {
		start = s.ends[load-simSlots] // of the requests in the order of their ends
	}
	end := start + time.Duration(workMs*s.slowdown*s.speed*float64(time.Millisecond))
	i := len(s.ends)
	for ; i > 0 && s.ends[i-1] > end; i-- {
	}
	s.ends = append(s.ends[:i], append([]time.Duration{end}, s.ends[i:]...)...)
	return end
}

// simDaemon is what one daemon knows of the targets.
type simDaemon struct {
	candidates []Candidate
	service    Service
}

func newSimDaemons(targets []*simTarget, probed bool) []*simDaemon {
	daemons := make([]*simDaemon, simDaemons)
	for i := range daemons {
		daemons[i] = &simDaemon{}
		daemons[i].service.RecordReport(1)
		for j, s := range targets {
			e := &balance.Estimate{Slots: simSlots, SameDomain: i%simDomains == j%simDomains, Normalized: probed}
			if serviceTime := simWork; probed {
				e.SetServiceTime(time.Duration(serviceTime * float64(time.Millisecond)))
			} else {
				e.SetServiceTime(time.Duration(1.4 * serviceTime * s.speed * float64(time.Millisecond)))
			}
			daemons[i].candidates = append(daemons[i].candidates, Candidate{Estimate: e, Target: &Target{}, Connected: true})
		}
	}
	return daemons
}

// pickByExchangedLoads is the choice without probes: the best of three targets near and three far.
func (d *simDaemon) pickByExchangedLoads(now, mean time.Duration) int {
	var picked []int
	var estimates []*balance.Estimate
	near, far := 0, 0
	for _, i := range rand.Perm(len(d.candidates)) {
		count := &far
		if d.candidates[i].Estimate.SameDomain {
			count = &near
		}
		if *count++; *count <= roundSize {
			picked, estimates = append(picked, i), append(estimates, d.candidates[i].Estimate)
		}
	}
	return picked[balance.Pick(estimates, now, mean)]
}

func (d *simDaemon) pickByProbes(now, mean time.Duration, targets []*simTarget) (index, probes int) {
	decision := Decision{Objective: simObjective, MeanTime: mean}
	d.service.RecordRequest()
	for round := range MaxRounds {
		if _, good := decision.Best(now, d.candidates); good {
			break
		}
		chosen := decision.Round(now, d.candidates, round)
		for _, i := range chosen[:d.service.Take(now, len(chosen))] {
			probes++
			d.candidates[i].Estimate.RecordReport(now, balance.Report{Load: targets[i].advance(now), Slowdown: targets[i].slowdown * targets[i].speed})
			d.candidates[i].Target.RecordReport()
		}
	}
	best, _ := decision.Best(now, d.candidates)
	if best < 0 {
		best = d.pickByExchangedLoads(now, mean)
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
	daemons := newSimDaemons(targets, probed)
	mean := time.Duration(1.4 * simWork * float64(time.Millisecond))
	var requests int
	exchanged := time.Duration(0)
	for now := time.Second; now < 31*time.Second; now += time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)) {
		if now-exchanged > simExchange {
			exchanged = now
			for j, s := range targets {
				load := s.advance(now)
				for _, d := range daemons {
					d.candidates[j].Estimate.SetFleetLoad(now, load)
				}
			}
		}
		d := daemons[rand.IntN(simDaemons)]
		var i, n int
		if probed {
			i, n = d.pickByProbes(now, mean, targets)
		} else {
			i = d.pickByExchangedLoads(now, mean)
		}
		work := simWork * math.Exp(0.7*rand.NormFloat64()-0.245)
		requests, probes = requests+1, probes+float64(n)
		if targets[i].serve(now, work)-now > simObjective {
			late++
		}
	}
	return late / float64(requests), probes / float64(requests)
}

// Guards against late responses of a service whose targets change their speed and load faster
// than a daemon learns from its own few requests.
func TestProbesAvoidSlowTargets(t *testing.T) {
	for _, perSecond := range []float64{200, 320, 400} {
		before, _ := playLoad(perSecond, false)
		after, probes := playLoad(perSecond, true)
		t.Logf("%v requests/s: %.1f%% late by exchanged loads, %.1f%% with %.1f probes per request", perSecond, 100*before, 100*after, probes)
		if after > 0.6*before {
			t.Errorf("%v requests/s: %.3f late with probes, %.3f without", perSecond, after, before)
		}
		if probes > probesPerRequest+0.1 {
			t.Errorf("%v requests/s: %.2f probes per request, want %d at most", perSecond, probes, probesPerRequest)
		}
	}
}
