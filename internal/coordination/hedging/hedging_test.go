package hedging

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// playedObjective is the latency objective of the played requests.
const playedObjective = time.Second

// service plays a service without keys on virtual time. Each response takes the usual time, or
// several times as long in a tail.
type service struct {
	rng, second *rand.Rand // for the first and second sends
	usual       time.Duration
	tail        float64
	tailFactor  int
}

// newService returns a service of the given response times.
func newService(seed uint64, usual time.Duration, tail float64, tailFactor int) *service {
	return &service{rand.New(rand.NewPCG(1, seed)), rand.New(rand.NewPCG(2, seed)), usual, tail, tailFactor}
}

func (s *service) responseTime(rng *rand.Rand) time.Duration {
	took := time.Duration(rng.ExpFloat64()*float64(s.usual)/2) + s.usual/2
	if rng.Float64() < s.tail {
		took *= time.Duration(s.tailFactor)
	}
	return took
}

// played is what callers got in a played load.
type played struct {
	took    []time.Duration
	hedges  int
	reasons map[Reason]int
}

func (p *played) quantile(q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(p.took))
	return sorted[int(q*float64(len(sorted)-1))]
}

// withinObjective returns the number of requests within playedObjective.
func (p *played) withinObjective() int {
	n := 0
	for _, took := range p.took {
		if took <= playedObjective {
			n++
		}
	}
	return n
}

// play sends requests at 20 a second. running returns the load, of 100 slots, at a time.
func play(s *service, share float64, objective time.Duration, requests int, running func(now time.Duration) int) *played {
	policy, latency := NewPolicy(share), NewLatency(0)
	out := &played{reasons: make(map[Reason]int)}
	for i := range requests {
		now := time.Duration(i) * 50 * time.Millisecond
		policy.RecordRequest()
		took := s.responseTime(s.rng)
		recorded := took
		if delay, ok := latency.Delay(now, share, objective, 0); ok && share > 0 && delay < took {
			if reason := policy.Check(now, running(now), 100); reason == Allowed {
				policy.Take()
				out.hedges++
				took = min(took, delay+s.responseTime(s.second))
				recorded = took // the first send is cancelled then
			} else {
				out.reasons[reason]++
			}
		}
		latency.Record(now, recorded)
		out.took = append(out.took, took)
	}
	return out
}

func idle(time.Duration) int { return 40 }

// Guards against a hedge that does not cut the slowest responses of a service with a long tail, or
// that sends more than the operators' share.
func TestHedgesCutTheTail(t *testing.T) {
	const requests = 20_000
	play := func(share float64) *played {
		s := newService(1, 300*time.Millisecond, 0.03, 7)
		return play(s, share, playedObjective, requests, idle)
	}
	off, on := play(0), play(0.05)
	if off.hedges != 0 {
		t.Errorf("%d hedges with a share of 0", off.hedges)
	}
	if limit := 0.05*requests + maxCredit; float64(on.hedges) > limit || on.hedges < requests/40 {
		t.Errorf("%d hedges for %d requests, want some and at most %.0f", on.hedges, requests, limit)
	}
	if before, after := off.quantile(0.99), on.quantile(0.99); after > before*3/4 {
		t.Errorf("p99 %v without hedges and %v with, want a quarter less", before, after)
	}
	if before, after := off.withinObjective(), on.withinObjective(); after-before < requests/100 {
		t.Errorf("%d of %d requests within the objective without hedges and %d with", before, requests, after)
	}
	if before, after := off.quantile(0.5), on.quantile(0.5); after != before {
		t.Errorf("median %v without hedges and %v with; usual requests must not be hedged", before, after)
	}
	t.Logf("p99 %v and %v, within the objective %d and %d, %d hedges", off.quantile(0.99), on.quantile(0.99), off.withinObjective(), on.withinObjective(), on.hedges)
}

// Guards against more hedges than the share when every response becomes slow, as all of them then
// exceed the delay.
func TestSlowServiceStaysWithinShare(t *testing.T) {
	proptest.Check(t, 3, 30, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		usual := time.Duration(rapid.IntRange(5, 3000).Draw(t, "usual")) * time.Millisecond
		objective := time.Duration(rapid.IntRange(0, 2000).Draw(t, "objective")) * time.Millisecond
		s := newService(rapid.Uint64().Draw(t, "seed"), usual, 0.2, 9)
		const requests = 2000
		if got := play(s, share, objective, requests, idle).hedges; float64(got) > share*requests+maxCredit {
			t.Fatalf("%d hedges for %d requests with a share of %v", got, requests, share)
		}
	})
}

// Guards against hedges that add to an overload, and against hedging that stays off after it or
// is switched with each small change of the load.
func TestNoHedgesUnderOverload(t *testing.T) {
	s := newService(1, 300*time.Millisecond, 0.1, 7)
	busy := func(now time.Duration) int {
		if now < 100*time.Second {
			return 90
		}
		return 40
	}
	during := play(s, 0.05, playedObjective, 2000, busy) // 100 s
	if during.hedges != 0 || during.reasons[Overloaded] == 0 {
		t.Errorf("%d hedges at a load of 90 of 100, suppressed %v", during.hedges, during.reasons)
	}
	if after := play(s, 0.05, playedObjective, 4000, busy).hedges; after == 0 {
		t.Error("no hedges after the overload")
	}
	p := NewPolicy(0.5)
	for range 10 {
		p.RecordRequest()
	}
	var changes int
	last := p.Suspended()
	for i := range 100 {
		p.Check(time.Minute, 70+10*(i%2), 100)
		if p.Suspended() != last {
			last = p.Suspended()
			changes++
		}
	}
	if changes != 1 {
		t.Errorf("%d changes at a load between 70 and 80 of 100, want 1", changes)
	}
}

// Guards against hedges while callers of the service are refused.
func TestNoHedgesWhileRefusing(t *testing.T) {
	p := NewPolicy(0.5)
	for range 10 {
		p.RecordRequest()
	}
	p.RecordRefusal(time.Minute)
	if r := p.Check(time.Minute+refusalPause/2, 10, 100); r != Refusing {
		t.Errorf("after a refusal: %q", r)
	}
	if r := p.Check(time.Minute+refusalPause, 10, 100); r != Allowed {
		t.Errorf("a while after the refusal: %q", r)
	}
}

// Guards against a delay that leaves the second send no time to meet the objective, that is
// shorter than the usual response time, or that is used without measurements or an objective.
func TestDelay(t *testing.T) {
	const ms = time.Millisecond
	l := NewLatency(0)
	if d, ok := l.Delay(time.Second, 0.05, 800*ms, 100*ms); !ok || d != 300*ms {
		t.Errorf("without measurements: %v, %t, want half of the objective", d, ok)
	}
	if d, ok := l.Delay(time.Second, 0.05, 0, 0); ok {
		t.Errorf("without measurements and objective: %v", d)
	}
	if d, ok := l.Delay(time.Second, 0.05, 800*ms, 900*ms); ok {
		t.Errorf("without measurements, after the objective: %v", d)
	}
	now := time.Second
	for i := range 1000 {
		took := 100 * ms
		if i%10 == 0 {
			took = 900 * ms // a tenth
		}
		l.Record(now, took)
	}
	now += refreshInterval
	for _, c := range []struct {
		share             float64
		objective, waited time.Duration
		least, most       time.Duration
	}{
		{0.05, 0, 0, 850 * ms, 950 * ms},               // the tail
		{0.05, 2000 * ms, 0, 850 * ms, 950 * ms},       // the tail
		{0.05, 600 * ms, 0, 480 * ms, 520 * ms},        // as late as the objective can be met
		{0.05, 600 * ms, 200 * ms, 280 * ms, 320 * ms}, // the same after a wait
		{0.05, 150 * ms, 0, 90 * ms, 110 * ms},         // not before the usual time
		{0.2, 2000 * ms, 0, 90 * ms, 110 * ms},         // a fifth exceeds the usual time
	} {
		if d, ok := l.Delay(now, c.share, c.objective, c.waited); !ok || d < c.least || d > c.most {
			t.Errorf("share %v, objective %v after %v: %v, %t, want %v to %v", c.share, c.objective, c.waited, d, ok, c.least, c.most)
		}
	}
	if d, ok := l.Delay(now+windows*windowLength+time.Second, 0.05, 0, 0); ok {
		t.Errorf("after all measurements are out of date: %v", d)
	}
}
