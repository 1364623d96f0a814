package coordinator

import (
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/hotkey"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

const (
	// HotInterval is the interval of decisions on hot keys.
	HotInterval = time.Second
	// hotSettle is how long nothing is decided after a key has arrived: the
	// loads that fronts report lag by up to two intervals and a report, and
	// would still show the key at its former owner.
	hotSettle = 3 * HotInterval
	// loadLife is how long a reported load counts.
	loadLife = 3 * time.Second
	milli    = 1000
)

// hotState is what the coordinator remembers of one service's hot keys.
type hotState struct {
	planner *hotkey.Planner
	planned time.Time
	// wanted holds the targets that overrides are to reach, by key hash. A new
	// coordinator does not know them: an override then stays where it is until
	// its planner decides anew.
	wanted map[uint64]string
	// split holds when the front was known to hold the override.
	split map[uint64]time.Time
	// arrived is when a key last reached its next owner.
	arrived time.Time
}

func (m *Machine) hotOf(service string) *hotState {
	h := m.hot[service]
	if h == nil {
		h = &hotState{
			planner: hotkey.NewPlanner(hotkey.Config{}),
			wanted:  make(map[uint64]string),
			split:   make(map[uint64]time.Time),
		}
		m.hot[service] = h
	}
	return h
}

// placeHot decides on hot keys and takes the next step of each override.
func (b *build) placeHot(s *table.Service) {
	h := b.hotOf(s.Name)
	if b.now.Sub(h.planned) >= HotInterval && b.now.Sub(h.arrived) >= hotSettle {
		h.planned = b.now
		for _, mv := range h.planner.Plan(b.hotInput(s), b.now) {
			b.applyHot(s, h, mv)
		}
	}
	b.dropReturned(s, h)
	for i := range s.Overrides {
		b.stepHot(s, h, &s.Overrides[i])
	}
}

// applyHot notes where a key is to go. A key without an override gets one at
// its present owner first: only when the owner's front tells its requests from
// those of the shard can it release the key.
func (b *build) applyHot(s *table.Service, h *hotState, mv hotkey.Move) {
	h.wanted[mv.Hash] = s.Targets[mv.To].Name
	if s.Overrides != nil && slices.ContainsFunc(s.Overrides, func(o table.Override) bool { return o.Hash == mv.Hash }) {
		return
	}
	p := s.Place(mv.Hash)
	if p.Owner == table.NoOwner || p.To != table.NoOwner {
		delete(h.wanted, mv.Hash)
		return
	}
	s.Overrides = append(s.Overrides, table.Override{
		Hash: mv.Hash, Owner: p.Owner, Epoch: b.unitEpoch(), To: table.NoOwner,
	})
	b.changed = true
}

// stepHot starts the move of an override once the requests that its owner ran
// as the shard's have certainly ended, so that the move itself is short.
func (b *build) stepHot(s *table.Service, h *hotState, o *table.Override) {
	to := s.TargetIndex(h.wanted[o.Hash])
	unit := table.Unit{Hash: o.Hash, Hot: true}
	switch {
	case to == table.NoOwner || to == o.Owner || s.Targets[to].State != table.TargetActive:
		if _, known := h.wanted[o.Hash]; known && o.To == table.NoOwner {
			delete(h.wanted, o.Hash)
			h.arrived = b.now
		}
	case o.To != table.NoOwner || o.Owner == table.NoOwner || !b.settledOverride(s.Name, *o):
	case b.splitDone(s, h, unit, o.Owner):
		o.To = to
		b.changed = true
	}
}

// settledOverride reports whether the stored table holds the override as it is
// and without a move: the mark of a finished move must not serve the next one.
func (b *build) settledOverride(service string, o table.Override) bool {
	if b.stored == nil {
		return false
	}
	s := b.stored.Service(service)
	return s != nil && slices.Contains(s.Overrides, o)
}

func (b *build) splitDone(s *table.Service, h *hotState, unit table.Unit, owner uint16) bool {
	if since, ok := h.split[unit.Hash]; ok {
		return b.now.Sub(since) >= b.longestDeadline(s.Name)
	}
	revision, marked := b.marks[mark{kind: markSplit, service: s.Name, unit: unit}]
	_, v, ok := b.frontReport(s.Name, s.Targets[owner])
	if marked && ok && v.report.Revisions.Table >= revision {
		h.split[unit.Hash] = b.now
	}
	return false
}

func (b *build) longestDeadline(service string) time.Duration {
	if s := b.config.Manifest.ServiceNamed(service); s != nil {
		return s.LongestDeadline()
	}
	return 0
}

// dropReturned removes overrides that are at their shard's owner with nothing
// left to do. The front counts their requests as the shard's from then on.
func (b *build) dropReturned(s *table.Service, h *hotState) {
	s.Overrides = slices.DeleteFunc(s.Overrides, func(o table.Override) bool {
		shard := uint32(o.Hash % uint64(len(s.Owners)))
		home := s.Owners[shard]
		_, wanted := h.wanted[o.Hash]
		if wanted || o.To != table.NoOwner || o.Owner != home || s.Moving(shard) || !b.settledOverride(s.Name, o) {
			return false
		}
		delete(h.split, o.Hash)
		b.changed = true
		return true
	})
}

// hotInput collects the reported loads of a service.
func (b *build) hotInput(s *table.Service) hotkey.Input {
	in := hotkey.Input{Targets: make([]hotkey.Target, len(s.Targets))}
	declared := b.config.Manifest.ServiceNamed(s.Name)
	for i, t := range s.Targets {
		if declared == nil {
			break
		}
		d := declared.TargetNamed(t.Name)
		r, v, ok := b.targetReport(t.Front, s.Name, t.Name)
		if d == nil || !ok || b.now.Sub(v.at) > loadLife {
			continue
		}
		in.Targets[i] = hotkey.Target{
			Load: float64(r.BusyMilli) / milli, Capacity: float64(d.Slots),
			Usable: t.State == table.TargetActive && t.Front != "",
		}
		in.Keys = append(in.Keys, hotKeys(s, r)...)
	}
	b.shiftPending(s, in)
	for _, o := range s.Overrides {
		in.Overrides = append(in.Overrides, hotkey.Override{
			Hash: o.Hash, Owner: o.Owner, Home: s.Owners[o.Hash%uint64(len(s.Owners))],
			Moving: o.To != table.NoOwner || b.pending(s, o) != table.NoOwner,
		})
	}
	return in
}

// pending returns the target that an override is to reach, or NoOwner if it is
// there or has none.
func (b *build) pending(s *table.Service, o table.Override) uint16 {
	to := s.TargetIndex(b.hotOf(s.Name).wanted[o.Hash])
	if to == o.Owner {
		return table.NoOwner
	}
	return to
}

// shiftPending counts the load of keys on their way as their next owner's.
// Otherwise the planner would move more keys away from a target for a load that
// is about to leave.
func (b *build) shiftPending(s *table.Service, in hotkey.Input) {
	loads := make(map[uint64]float64, len(in.Keys))
	for _, k := range in.Keys {
		loads[k.Hash] = k.Load
	}
	for _, o := range s.Overrides {
		to := b.pending(s, o)
		if to == table.NoOwner || o.Owner == table.NoOwner {
			continue
		}
		in.Targets[o.Owner].Load -= loads[o.Hash]
		in.Targets[to].Load += loads[o.Hash]
	}
}

func hotKeys(s *table.Service, r peer.TargetReport) []hotkey.Key {
	var out []hotkey.Key
	for _, k := range r.HotKeys {
		out = append(out, hotkey.Key{
			Home: s.Owners[k.Hash%uint64(len(s.Owners))],
			KeyLoad: hotkey.KeyLoad{
				Hash: k.Hash, Load: float64(k.Milli) / milli, NeverRepeat: float64(k.NeverMilli) / milli,
			},
		})
	}
	return out
}
