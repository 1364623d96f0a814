package probing

import (
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
)

const testMean = 100 * time.Millisecond

func newCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		e := &balance.Estimate{Slots: 2, Normalized: true}
		e.SetServiceTime(testMean)
		out[i] = Candidate{Estimate: e, Target: &Target{}, Connected: true}
	}
	return out
}

// report records an answer to a probe.
func (c Candidate) report(now time.Duration, load int, slowdown float64) {
	c.Estimate.RecordReport(now, balance.Report{Load: load, Slowdown: slowdown})
	c.Target.RecordReport()
}

// Guards against a target that refuses or fails its requests at once, so that it always reports
// free slots, and attracts the requests of all daemons; and against never trying it again.
func TestFailingTargetAttractsNoRequests(t *testing.T) {
	c := newCandidates(2)
	d := Decision{MeanTime: testMean}
	now := time.Second
	for range 3 {
		c[0].Target.RecordOutcome(now, false)
	}
	c[0].report(now, 0, 0.5)
	c[1].report(now, 1, 1)
	if best, _ := d.Best(now, c); best != 1 {
		t.Error("picked the target that failed three requests")
	}
	later := now + 5*failureHalfLife
	c[0].report(later, 0, 0.5)
	c[1].report(later, 1, 1)
	if best, _ := d.Best(later, c); best != 0 {
		t.Error("the failures still count after five half-lives")
	}
}

// Guards against decisions by reports that are old or were used before.
func TestReportsAreUsedForAShortTime(t *testing.T) {
	c := newCandidates(1)
	d := Decision{MeanTime: testMean}
	now := time.Second
	c[0].report(now, 0, 1)
	if best, good := d.Best(now, c); best != 0 || !good {
		t.Errorf("target %d, good %v, want the idle target", best, good)
	}
	if best, _ := d.Best(now+reportLifetime, c); best >= 0 {
		t.Error("picked by an old report")
	}
	for range maxUses {
		c[0].Target.RecordChosen()
	}
	if best, _ := d.Best(now, c); best >= 0 {
		t.Error("picked by a report that was used before")
	}
}

// Guards against probes in other failure domains while the own one is good enough, of silent
// targets, and of targets without a connection in a large fleet.
func TestRoundPrefersNearAndConnectedTargets(t *testing.T) {
	c := newCandidates(60)
	for i := range 20 {
		c[i].Estimate.SameDomain = true
	}
	for i := 10; i < 60; i++ {
		c[i].Connected = i < 40
	}
	c[0].Target.End(0, Unanswered)
	d := Decision{MeanTime: testMean}
	unconnected := 0
	for range 200 {
		for _, i := range d.Round(time.Millisecond, c, 0) {
			if !c[i].Estimate.SameDomain || i == 0 {
				t.Fatalf("first round probes target %d", i)
			}
		}
		round := d.Round(time.Millisecond, c, 1)
		if len(round) != roundSize {
			t.Fatalf("%d targets in a round", len(round))
		}
		for _, i := range round {
			if !c[i].Connected {
				unconnected++
			}
		}
	}
	if unconnected == 0 || unconnected > 2*exploreShare*200 {
		t.Errorf("%d probes of targets without a connection in 200 rounds, want about %v", unconnected, exploreShare*200)
	}
}

// Guards against more probes than the requests allow, and against probes of a service that does
// not answer them.
func TestServiceBoundsProbes(t *testing.T) {
	var s Service
	now := time.Second
	if s.Active(now) {
		t.Error("active before any report")
	}
	s.RecordReport(now)
	sent := 0
	const requests = 1000
	for i := range requests {
		s.RecordRequest()
		sent += s.Take(now+time.Duration(i)*100*time.Millisecond, MaxRounds*roundSize)
	}
	if sent > requests*probesPerRequest {
		t.Errorf("%d probes for %d requests", sent, requests)
	}
	sent = 0
	for i := range requests {
		s.RecordRequest()
		sent += s.Take(now+200*time.Second+time.Duration(i)*time.Millisecond, roundSize)
	}
	if sent > maxProbeRate+maxAllowance {
		t.Errorf("%d probes in a second, want at most %d", sent, maxProbeRate+maxAllowance)
	}
	for range maxUnanswered {
		s.RecordProbe(now, Unanswered)
	}
	if s.Active(now+suspendTime/2) || !s.Active(now+suspendTime) || s.Active(now+reportMemory) {
		t.Errorf("active %v, %v, %v; want a pause after unanswered probes and an end without reports",
			s.Active(now+suspendTime/2), s.Active(now+suspendTime), s.Active(now+reportMemory))
	}
}
