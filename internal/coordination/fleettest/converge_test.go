package fleettest

import (
	"fmt"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/coordination/placement"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// unserved returns a shard that no target serves, or "".
func (w *world) unserved() string {
	if w.store.current() == nil {
		return "no table"
	}
	for _, s := range w.store.config.Manifest.Services {
		held := w.store.current().Service(s.Name)
		for shard := range s.Shards {
			if !w.strict && held != nil && moving(held, uint32(shard)) {
				continue // held back until the requests that run have ended
			}
			if n := w.served(s.Name, table.Unit{Shard: uint32(shard)}); n != 1 {
				return fmt.Sprintf("%s shard %d is served by %d targets", s.Name, shard, n)
			}
		}
	}
	return ""
}

func moving(s *table.Service, shard uint32) bool {
	return slices.ContainsFunc(s.Moves, func(mv table.Move) bool { return mv.Shard == shard })
}

// restTime without a table write counts as rest: after it, a voter set that was
// weakened meanwhile would have been replaced.
const restTime = rejoinPause + time.Second

// unsettled returns what keeps the fleet from its final state, or "".
func (w *world) unsettled() string {
	t, c := w.store.current(), w.store.config
	if w.now-w.store.lastAt < restTime {
		return "a table was written"
	}
	if t == nil || t.Config != c.Revision {
		return "configuration not in force"
	}
	for _, n := range w.live() {
		if reason := unsettledNode(n, t); reason != "" {
			return reason
		}
	}
	for _, m := range t.Members {
		if n := w.nodeAt(m.Address); n.dead {
			return string(m.ID) + " has ended and is left"
		}
	}
	if len(t.Services) != len(c.Manifest.Services) {
		return "a removed service is left"
	}
	for i := range c.Manifest.Services {
		if reason := w.unsettledService(&c.Manifest.Services[i], t); reason != "" {
			return reason
		}
	}
	return w.unserved()
}

func unsettledNode(n *node, t *table.Table) string {
	m := n.members[len(n.members)-1]
	switch {
	case len(n.fences.fencing) > 0:
		return string(n.run) + " fences"
	case n.stopping:
		return string(n.run) + " has not stopped"
	case n.table != t && (n.table == nil || n.table.Revision != t.Revision):
		return string(n.run) + " holds an old table"
	case m.holder == nil || !m.holder.HasAuthority(n.clock()):
		return string(m.id) + " has no authority"
	case len(n.members) > 1:
		return string(n.members[0].id) + " is left"
	case coordinator.NeedsRejoin(t, m.id, m.holder.FencedVoters()):
		return string(m.id) + " has a weak voter set"
	}
	return ""
}

func (w *world) unsettledService(declared *manifest.Service, t *table.Table) string {
	s := t.Service(declared.Name)
	if s == nil || len(s.Targets) != len(declared.Targets) {
		return "targets of " + declared.Name + " differ"
	}
	if len(s.Moves) > 0 {
		return fmt.Sprintf("%s has %d moves", s.Name, len(s.Moves))
	}
	in := placement.Input{Owners: s.Owners}
	for i, target := range s.Targets {
		if reason := w.unsettledTarget(s.Name, target); reason != "" {
			return reason
		}
		d := declared.TargetNamed(target.Name)
		if !d.Drain {
			in.Candidates = append(in.Candidates, placement.Candidate{Index: uint16(i), Name: d.Name, Capacity: d.Slots})
		}
	}
	if p := placement.Make(in); len(in.Candidates) > 0 && len(p.Moves)+len(p.Orphans) > 0 {
		return fmt.Sprintf("%s is unbalanced: %.2f", s.Name, placement.Imbalance(in))
	}
	return ""
}

func (w *world) unsettledTarget(service string, t table.Target) string {
	live := 0
	for _, n := range w.live() {
		if !n.stopping {
			live++
		}
	}
	switch {
	case t.Front == "" || t.Standby == "" && live > 1:
		return fmt.Sprintf("%s/%s has front %q and standby %q", service, t.Name, t.Front, t.Standby)
	case t.Next != "" || t.Release:
		return fmt.Sprintf("%s/%s changes its front", service, t.Name)
	case t.State == table.TargetLost:
		return fmt.Sprintf("%s/%s is lost", service, t.Name)
	}
	return ""
}

// assumedDeadline is how long a front waits for the requests of a target whose
// declaration it does not know. Three fronts in a row may have to.
const assumedDeadline = 3 * manifest.MaxDeadlineMs * time.Millisecond * 101 / 100

// await advances until the condition gives "" and returns the time it took.
func (w *world) await(what string, bound time.Duration, condition func() string) time.Duration {
	start := w.now
	for reason := condition(); reason != ""; reason = condition() {
		if w.now > max(start, w.past.undeclared+assumedDeadline)+bound {
			w.dump()
			w.t.Fatalf("%s not reached within %v: %s", what, bound, reason)
		}
		w.advance(2 * stepTime)
	}
	return w.now - start
}

// awaitQuiet checks that no further table is written.
func (w *world) awaitQuiet(period time.Duration) {
	n := len(w.store.written)
	w.advance(period)
	if got := len(w.store.written); got != n {
		for _, t := range w.store.written[n-1:] {
			w.logTable(t)
		}
		w.dump()
		w.t.Fatalf("%d tables written in %v after everything has settled", got-n, period)
	}
}

// dump logs the last table.
func (w *world) dump() {
	t := w.store.current()
	if t == nil {
		return
	}
	w.t.Logf("at %v, term %d, last write at %v", w.now, w.store.term, w.store.lastAt)
	w.logTable(t)
	for _, n := range w.live() {
		w.t.Logf("  daemon %s coordinator %v hint %s stopping %v paused %v fencing %v", n.run, n.office.machine != nil, n.hint, n.stopping, n.paused, n.fences.fencing)
		for _, m := range n.members {
			w.t.Logf("    %s leaving %v authority %v", m.id, m.leaving, m.authorityUntil().Sub(n.clock()))
		}
	}
}

func (w *world) logTable(t *table.Table) {
	w.t.Logf("table %d of term %d", t.Revision, t.Term)
	for _, m := range t.Members {
		w.t.Logf("  member %s domain %s voters %v draining %v", m.ID, m.Domain, m.Voters, m.Draining)
	}
	for _, s := range t.Services {
		w.t.Logf("  service %s owners %v moves %v", s.Name, s.Owners, s.Moves)
		for _, tg := range s.Targets {
			w.t.Logf("    target %+v", tg)
		}
	}
}
