package fleettest

import (
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

type frontEpoch struct {
	key   targetKey
	epoch uint64
}

type unitEpoch struct {
	service string
	unit    table.Unit
	epoch   uint32
}

// history records what must stay unique for all time.
type history struct {
	fronts map[frontEpoch]table.MemberID
	owners map[unitEpoch]string
	fenced map[table.MemberID]bool
	// started holds the highest epoch of a start, by unit at epoch 0.
	started map[unitEpoch]uint32
	starts  int // requests started by targets
	// undeclared is when a front last had to assume a declaration.
	undeclared time.Duration
	overlaps   int // starts beside a request at a target declared lost
}

func newHistory() *history {
	return &history{
		fronts: make(map[frontEpoch]table.MemberID),
		owners: make(map[unitEpoch]string),
		fenced: make(map[table.MemberID]bool), started: make(map[unitEpoch]uint32), undeclared: -time.Hour,
	}
}

// fronted notes who fronts a target under an epoch: invariant (d).
func (h *history) fronted(w *world, key targetKey, epoch uint64, id table.MemberID) {
	if id == "" {
		return
	}
	k := frontEpoch{key, epoch}
	if was, ok := h.fronts[k]; ok && was != id {
		w.t.Fatalf("at %v front epoch %d of %v was used by %s and is used by %s", w.now, epoch, key, was, id)
	}
	h.fronts[k] = id
}

func (h *history) fence(_ *world, id table.MemberID) { h.fenced[id] = true }

// wrote checks a table that the store takes: invariants (c) and (d).
func (h *history) wrote(w *world, before []*table.Table, t *table.Table) {
	if t.Revision != uint64(len(before))+1 {
		w.t.Fatalf("at %v table revision %d follows %d", w.now, t.Revision, len(before))
	}
	if len(before) > 0 {
		last := before[len(before)-1]
		if t.Term < last.Term || t.Config < last.Config {
			w.t.Fatalf("at %v table of term %d, configuration %d follows %d, %d", w.now, t.Term, t.Config, last.Term, last.Config)
		}
		w.noteVacated(last, t)
	}
	for i := range t.Services {
		h.wroteService(w, &t.Services[i])
	}
}

func (h *history) wroteService(w *world, s *table.Service) {
	for _, t := range s.Targets {
		h.fronted(w, targetKey{s.Name, t.Name}, t.Epoch, t.Front)
	}
	for shard, owner := range s.Owners {
		if owner == table.NoOwner {
			continue
		}
		k := unitEpoch{s.Name, table.Unit{Shard: uint32(shard)}, s.Epochs[shard]}
		name := s.Targets[owner].Name
		if was, ok := h.owners[k]; ok && was != name {
			w.t.Fatalf("at %v epoch %d of %s shard %d was used for %s and is used for %s", w.now, k.epoch, s.Name, shard, was, name)
		}
		h.owners[k] = name
	}
	seen := make(map[uint32]bool)
	for _, mv := range s.Moves {
		if seen[mv.Shard] {
			w.t.Fatalf("at %v %s shard %d moves twice", w.now, s.Name, mv.Shard)
		}
		seen[mv.Shard] = true
	}
}

// noteVacated records which lost targets the table takes units from.
func (w *world) noteVacated(last, t *table.Table) {
	for i := range last.Services {
		was := &last.Services[i]
		is := t.Service(was.Name)
		for j, target := range was.Targets {
			if target.State == table.TargetLost && was.Refers(uint16(j)) && (is == nil || !ownsAsBefore(was, is, j)) {
				w.targets[targetKey{was.Name, target.Name}].vacated = w.now
			}
		}
	}
}

func ownsAsBefore(was, is *table.Service, target int) bool {
	now := is.TargetIndex(was.Targets[target].Name)
	for shard, owner := range was.Owners {
		if owner == uint16(target) && is.Owners[shard] != now {
			return false
		}
	}
	return true
}

// adopted checks that a daemon holds only what the store confirmed.
func (h *history) adopted(w *world, t *table.Table) {
	written := w.store.written
	if t.Revision > uint64(len(written)) || written[t.Revision-1].Operation != t.Operation {
		w.t.Fatalf("at %v a daemon adopts table %d (%s), which the store does not hold", w.now, t.Revision, t.Operation)
	}
}

// checkNow checks what must hold at every moment: invariants (a) and (b).
func (w *world) checkNow() {
	starters := make(map[string]map[table.Unit]targetKey)
	senders := make(map[targetKey]*node)
	for _, n := range w.live() {
		w.checkFenced(n)
		for _, key := range n.fronts.keys() {
			w.checkFront(n, n.fronts.targets[key], starters, senders)
		}
	}
}

func (w *world) checkFenced(n *node) {
	for _, m := range n.members {
		if h := m.holder; h != nil && w.past.fenced[m.id] && h.HasAuthority(n.clock()) {
			w.t.Fatalf("at %v %s has authority after its fence", w.now, m.id)
		}
	}
}

func (w *world) checkFront(n *node, tf *targetFront, starters map[string]map[table.Unit]targetKey, senders map[targetKey]*node) {
	t := w.targets[tf.key]
	for shard := range tf.shards {
		u := table.Unit{Shard: uint32(shard)}
		if tf.machine.CanDispatch(u, n.clock(), tf.m.authorityUntil()) != nil {
			continue
		}
		if other := senders[tf.key]; other != nil && other != n {
			w.t.Fatalf("at %v %s and %s can both dispatch to %v", w.now, other.run, n.run, tf.key)
		}
		senders[tf.key] = n
		fe, ue := tf.machine.Epochs(u)
		if !t.mayStart(fe, u, ue) {
			continue
		}
		units := starters[tf.key.service]
		if units == nil {
			units = make(map[table.Unit]targetKey)
			starters[tf.key.service] = units
		}
		if other, ok := units[u]; ok && other != tf.key {
			w.t.Fatalf("at %v %v and %v can both start requests of %v", w.now, other, tf.key, u)
		}
		units[u] = tf.key
	}
}

// checkStart checks that no request of the unit has started under a later epoch,
// and that no other target runs a request of the unit. Two cases of the second
// are left out: a request past its deadline at a frozen target, which design
// 3.9 names; and one at a target declared lost, whose requests nobody can end.
func (w *world) checkStart(t *target, u table.Unit, epoch uint32) {
	w.past.starts++
	k := unitEpoch{service: t.key.service, unit: u}
	if latest := w.past.started[k]; epoch < latest {
		w.t.Fatalf("at %v %v starts a request of %v under epoch %d after one under %d", w.now, t.key, u, epoch, latest)
	}
	w.past.started[k] = epoch
	for key, other := range w.targets {
		if key.service != t.key.service || other == t {
			continue
		}
		for _, r := range other.running {
			if r.unit != u || w.now >= r.ends {
				continue
			}
			if other.checks && other.vacated >= r.begun {
				w.past.overlaps++
				continue
			}
			w.t.Fatalf("at %v %v starts a request of %v while %v runs one begun at %v, vacated %v",
				w.now, t.key, u, key, r.begun, other.vacated)
		}
	}
}

// served returns the number of targets that can start requests of the unit.
func (w *world) served(service string, u table.Unit) int {
	var at []targetKey
	for _, n := range w.live() {
		for _, key := range n.fronts.keys() {
			tf, t := n.fronts.targets[key], w.targets[key]
			if n.paused || key.service != service || t.frozen || t.down || tf.machine.CanDispatch(u, n.clock(), tf.m.authorityUntil()) != nil {
				continue
			}
			fe, ue := tf.machine.Epochs(u)
			if t.mayStart(fe, u, ue) && !slices.Contains(at, key) {
				at = append(at, key)
			}
		}
	}
	return len(at)
}
