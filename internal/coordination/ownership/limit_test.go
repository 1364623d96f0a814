package ownership

import (
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

// rate returns the measured requests per second for the keys of each target.
func (f *evacuationFleet) rates() map[string]float64 {
	out := make(map[string]float64)
	for _, h := range f.spans {
		if h.phase == phaseGranted {
			out[h.span.Owner] += f.load.rangeLoad(h.span.From, h.span.To) / loadWindow.Seconds()
		}
	}
	return out
}

// limit sets a maximum rate of the first n of every three targets.
func (f *evacuationFleet) limit(n int, rate float64) {
	list := append([]Target(nil), f.all...)
	for i := range list {
		if i%3 < n {
			list[i].MaxRate = rate
		}
	}
	f.SetTargets(list, f.now)
}

// Guards against a domain that returns cold, after its keys were moved away, and gets its full
// share of the load back while it tolerates little.
func TestColdTargetsGetLittleLoad(t *testing.T) {
	const maxRate = 4.0
	f := newEvacuationFleet(50 * time.Millisecond) // 1,000 requests a second, 33 at each
	f.evacuate(1)
	f.run(4 * time.Second)
	f.limit(1, maxRate)
	f.run(3 * time.Second)
	got := 0
	for id, rate := range f.rates() {
		if f.targets[id].MaxRate > 0 {
			got++
			if rate > 1.5*maxRate {
				t.Errorf("%s gets %.1f requests a second of %.1f", id, rate, maxRate)
			}
		}
	}
	if got < 8 {
		t.Errorf("%d of 10 cold targets own keys", got)
	}
	f.limit(0, 0)
	f.run(5 * time.Second)
	f.checkBalance(t, "warm again")
}

// Guards against taking keys from an owner that becomes cold but tolerates their load, and against
// leaving it a load that it does not tolerate.
func TestOwnerThatBecomesCold(t *testing.T) {
	f := newEvacuationFleet(50 * time.Millisecond)
	f.run(3 * time.Second)
	keys := func() int {
		n := 0
		for _, s := range f.table.Spans {
			if f.targets[s.Owner].MaxRate > 0 {
				n += s.Len()
			}
		}
		return n
	}
	f.limit(1, 60)
	before := keys()
	f.run(3 * time.Second)
	if after := keys(); after < before*9/10 {
		t.Errorf("owners of %d keys that tolerate their load have %d left", before, after)
	}
	f.limit(1, 10)
	f.run(3 * time.Second)
	for id, rate := range f.rates() {
		if f.targets[id].MaxRate > 0 && rate > 16 {
			t.Errorf("%s gets %.1f requests a second of 10", id, rate)
		}
	}
}

// Guards against keys without an owner when all targets are cold.
func TestAllTargetsCold(t *testing.T) {
	f := newEvacuationFleet(50 * time.Millisecond)
	f.limit(3, 4)
	f.run(2 * time.Second)
	f.SetTargets(append([]Target(nil), f.all[1:]...), f.now) // one is lost
	f.run(12 * time.Second)
	for _, s := range f.table.Spans {
		if !s.Owned() || s.Owner == f.all[0].Incarnation.ID {
			t.Fatalf("keys %d to %d of %d belong to %q", s.From, s.To, ranges.KeyCount, s.Owner)
		}
	}
}
