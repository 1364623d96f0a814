package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// withNewcomer plays a fleet of equal targets that another one joins, and returns the largest share of
// the keys that were with it or on their way to it.
func withNewcomer(t *testing.T, targets int, newcomer Target, answers bool) (f *fleet, largestShare float64) {
	t.Helper()
	f = newFleet(targets)
	rng := rand.New(rand.NewPCG(5, 6))
	step := func() {
		keys := make([]uint16, 20)
		for i := range keys {
			keys[i] = uint16(rng.IntN(ranges.KeyCount))
		}
		f.step(keys)
	}
	for range 100 {
		step()
	}
	var list []Target
	for id, x := range f.targets {
		x.Capacity = f.capacities[id]
		list = append(list, x)
	}
	f.SetTargets(append(list, newcomer), f.now)
	f.dropAnswer = func(g Grant) bool { return !answers && g.Span.Incarnation() == newcomer.Incarnation }
	for range 200 {
		step()
		keys := 0
		for _, h := range f.spans {
			if h.span.Incarnation() == newcomer.Incarnation || h.phase != phaseGranted && h.nextOwner == newcomer.Incarnation.ID {
				keys += h.span.Len()
			}
		}
		largestShare = max(largestShare, float64(keys)/ranges.KeyCount)
	}
	return f, largestShare
}

// Guards against a registration that takes most keys out of service: its slots were believed before it
// had answered a single grant.
func TestTargetThatNeverAnsweredGetsFewKeys(t *testing.T) {
	for _, targets := range []int{4, 14} {
		for _, capacity := range []float64{3, 12, 30, 100, 4096} {
			newcomer := Target{Incarnation: target.Incarnation{ID: "odd", Epoch: 1}, Capacity: capacity}
			_, share := withNewcomer(t, targets, newcomer, false)
			t.Logf("%d targets, capacity %v: %.3f of the keys", targets, capacity, share)
			if limit := 1 / float64(targets); share > limit {
				t.Errorf("%d targets, capacity %v: %.3f of the keys went to a target that never answered, want at most %.3f", targets, capacity, share, limit)
			}
		}
	}
}

// Guards against a target that stays small because its capacity was bounded before its first answer.
func TestTargetThatAnsweredGetsItsShare(t *testing.T) {
	newcomer := Target{Incarnation: target.Incarnation{ID: "large", Epoch: 1}, Capacity: 42}
	f, _ := withNewcomer(t, 14, newcomer, true)
	w := f.computeWeights()
	if share := w.byTarget["large"] / w.total; share < 0.35 {
		t.Errorf("target with half of the capacity has %.3f of the load after %v", share, 200*50*time.Millisecond)
	}
}
