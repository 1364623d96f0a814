package fleettest

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Budgets of the design with the store up: 2 s for a lost target or daemon,
// and the 2 s of the coordinator's lease besides if a decision needs a new
// coordinator.
const (
	lossBudget        = 2 * time.Second
	coordinatorBudget = lossBudget + coordinatorTTL
	lossSeeds         = 6
)

// loss is a single fault of an otherwise healthy fleet.
type loss struct {
	name   string
	budget time.Duration
	strike func(w *world)
}

var losses = []loss{
	{"a checking target", lossBudget, func(w *world) { w.loseTarget(true) }},
	{"a target that does not check", lossBudget, func(w *world) { w.loseTarget(false) }},
	{"a daemon", lossBudget, func(w *world) { w.loseDaemon(func(n *node) bool { return n != w.store.holder }) }},
	{"the coordinator", lossBudget, func(w *world) { w.loseDaemon(func(n *node) bool { return n == w.store.holder }) }},
	{"a daemon in a store outage", lossBudget, func(w *world) {
		w.store.mode = storeDown
		w.advance(time.Duration(w.rng.Intn(3000)) * time.Millisecond)
		w.loseDaemon(func(*node) bool { return true })
	}},
	{"a target and the coordinator", coordinatorBudget, func(w *world) {
		w.loseTarget(true)
		w.loseDaemon(func(n *node) bool { return n == w.store.holder })
	}},
}

func (w *world) loseTarget(checks bool) {
	for _, p := range pool {
		if t := w.targets[p.key]; p.key.service == "keys" && t.checks == checks {
			t.boot()
			t.down = true
			return
		}
	}
}

func (w *world) loseDaemon(eligible func(*node) bool) {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return !n.dead && eligible(n) })
	w.nodes[i].dead = true
}

// TestLossesAreServedInTime guards against a key that stays without service for
// longer than the budget after a single loss, at any phase of the timers.
func TestLossesAreServedInTime(t *testing.T) {
	for _, l := range losses {
		t.Run(l.name, func(t *testing.T) {
			var times []time.Duration
			for seed := range lossSeeds {
				times = append(times, timeLoss(t, l, uint64(seed)))
			}
			slices.Sort(times)
			t.Logf("served again after %v (median), %v (longest of %d), budget %v", times[len(times)/2], times[len(times)-1], len(times), l.budget)
		})
	}
}

func timeLoss(t *testing.T, l loss, seed uint64) time.Duration {
	w, _ := newFleet(t, seed, 5, 200)
	w.await("rest", 10*time.Second, w.unsettled)
	w.advance(time.Duration(w.rng.Intn(1000)) * time.Millisecond)
	w.strict = true
	l.strike(w)
	return w.await(fmt.Sprintf("service after the loss of %s, seed %d", l.name, seed), l.budget, w.unserved)
}
