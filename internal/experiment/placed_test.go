package experiment

import (
	"math"
	"reflect"
	"testing"
)

// Guards against a baseline that is weaker or stronger than consistent hashing:
// only keys of the changed target move on the ring, and about its share of them.
func TestRingMovesItsShare(t *testing.T) {
	f := newFleet(15, 3, 1)
	keys := zipfKeys("test", 1, zipfExponent)
	for _, change := range fleetChanges()[:2] {
		g := change.apply(f, 1)
		before, after := newRing(f), newRing(g)
		want, got := evenChurn(f, g), churn(keys, before, after)
		if math.Abs(got-want) > want/2 {
			t.Errorf("%s: %.3f of the keys moved, its share is %.3f", change.name, got, want)
		}
		from, to := map[string]bool{}, map[string]bool{}
		for _, k := range keys {
			if a, b := before.owner(k.hash), after.owner(k.hash); a != b {
				from[a], to[b] = true, true
			}
		}
		if len(from) != 1 && len(to) != 1 {
			t.Errorf("%s: keys moved from %d targets to %d", change.name, len(from), len(to))
		}
	}
}

// Guards against tables that cannot be reprinted, and against hot key moves that
// raise the load of the most loaded target.
func TestPlacementRowsRepeat(t *testing.T) {
	s := service{name: "test", targets: 15}
	a, b := placementRows(s, 3, 2), placementRows(s, 3, 2)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs with equal seeds differ")
	}
	for _, r := range a {
		if r.Ideal != nil && r.Measure == "imbalance" && r.Policy.Min < r.Ideal.Min {
			t.Errorf("%s: %s is below the ideal %s", r.Case, r.Policy, r.Ideal)
		}
		for _, v := range r.Baselines {
			if r.Measure == "imbalance" && v.Policy == unmoved && r.Policy.Max > v.Max {
				t.Errorf("%s: %s with moved hot keys, %s without", r.Case, r.Policy, v.Spread)
			}
		}
	}
}
