package coordinator

import (
	"slices"

	"github.com/jackdawloom/jackdawloom/internal/coordination/placement"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// reconcileConfig adds what the configuration declares anew and drains what it
// no longer declares.
func (b *build) reconcileConfig() {
	for i := range b.config.Manifest.Services {
		b.reconcileService(&b.config.Manifest.Services[i])
	}
	b.next.Services = slices.DeleteFunc(b.next.Services, func(s table.Service) bool {
		gone := b.config.Manifest.ServiceNamed(s.Name) == nil && s.Vacant()
		b.changed = b.changed || gone
		return gone
	})
	for i := range b.next.Services {
		b.drainUndeclared(&b.next.Services[i])
	}
}

func (b *build) reconcileService(declared *manifest.Service) {
	s := b.next.Service(declared.Name)
	if s == nil {
		b.next.Services = append(b.next.Services, b.newService(declared))
		s = &b.next.Services[len(b.next.Services)-1]
		b.changed = true
	}
	for _, t := range declared.Targets {
		if s.TargetIndex(t.Name) == table.NoOwner {
			s.Targets = append(s.Targets, table.Target{Name: t.Name, Epoch: b.freshFrontEpoch(0)})
			b.changed = true
		}
	}
}

func (b *build) newService(declared *manifest.Service) table.Service {
	shards := declared.Shards
	if shards == 0 {
		shards = manifest.DefaultShards
	}
	s := table.Service{
		Name:   declared.Name,
		Owners: make([]uint16, shards),
		Epochs: make([]uint32, shards),
	}
	for i := range s.Owners {
		s.Owners[i] = table.NoOwner
	}
	return s
}

// drainUndeclared drains targets that the configuration drains or has dropped,
// and removes dropped ones that hold nothing.
func (b *build) drainUndeclared(s *table.Service) {
	for i := len(s.Targets) - 1; i >= 0; i-- {
		t := &s.Targets[i]
		if !b.wantsDrain(s.Name, t.Name) {
			continue
		}
		if t.State == table.TargetActive {
			t.State = table.TargetDraining
			b.changed = true
		}
		if !b.declared(s.Name, t.Name) && !s.Refers(uint16(i)) {
			s.RemoveTarget(uint16(i))
			b.changed = true
		}
	}
}

func (b *build) declared(service, target string) bool {
	s := b.config.Manifest.ServiceNamed(service)
	return s != nil && s.TargetNamed(target) != nil
}

// finishMoves gives moving units to their next owner once the present one has
// released them, and takes shards from targets that have certainly ended.
func (b *build) finishMoves() {
	for i := range b.next.Services {
		s := &b.next.Services[i]
		b.vacateLost(s)
		b.finishShardMoves(s)
		b.finishHotMoves(s)
	}
}

// vacateLost takes the units of lost targets away. The front's report must have
// been made under a table that marks the target as lost, and the standby must
// hold that table, so that no succession grants the units again.
func (b *build) vacateLost(s *table.Service) {
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.State != table.TargetLost || !s.Refers(uint16(i)) || !b.endConfirmed(s.Name, *t) {
			continue
		}
		s.Vacate(uint16(i), b.unitEpoch())
		b.changed = true
	}
}

func (b *build) endConfirmed(service string, t table.Target) bool {
	revision, marked := b.marks[mark{kind: markLost, service: service, target: t.Name}]
	if !marked {
		return false
	}
	r, v, ok := b.frontReport(service, t)
	return ok && r.Health == peer.TargetEnded &&
		v.report.Revisions.Table >= revision && b.standbyHolds(service, t, revision)
}

func (b *build) finishShardMoves(s *table.Service) {
	s.Moves = slices.DeleteFunc(s.Moves, func(mv table.Move) bool {
		owner := s.Owners[mv.Shard]
		if !b.canReceive(s, mv.To) {
			// The owner may have released the shard already, which is final
			// under its epoch.
			s.Epochs[mv.Shard] = b.unitEpoch()
			b.changed = true
			return true
		}
		released := func(r peer.TargetReport) bool { return slices.Contains(r.ReleasedShards, mv.Shard) }
		if !b.released(s, owner, table.Unit{Shard: mv.Shard}, released) {
			return false
		}
		s.Owners[mv.Shard] = mv.To
		s.Epochs[mv.Shard] = b.unitEpoch()
		b.changed = true
		return true
	})
}

func (b *build) finishHotMoves(s *table.Service) {
	for i := range s.Overrides {
		o := &s.Overrides[i]
		if o.To == table.NoOwner {
			continue
		}
		if !b.canReceive(s, o.To) {
			o.To, o.Epoch = table.NoOwner, b.unitEpoch()
			b.changed = true
			continue
		}
		released := func(r peer.TargetReport) bool { return slices.Contains(r.ReleasedHot, o.Hash) }
		if !b.released(s, o.Owner, table.Unit{Hash: o.Hash, Hot: true}, released) {
			continue
		}
		o.Owner, o.To, o.Epoch = o.To, table.NoOwner, b.unitEpoch()
		b.changed = true
	}
}

// canReceive reports whether a move to the target may go on.
func (b *build) canReceive(s *table.Service, to uint16) bool {
	if to == table.NoOwner {
		return true
	}
	return s.Targets[to].State == table.TargetActive
}

// released reports whether the owner's front has released a moving unit under a
// table that shows the move, and its standby holds that table too.
func (b *build) released(s *table.Service, owner uint16, unit table.Unit, has func(peer.TargetReport) bool) bool {
	revision, marked := b.marks[moveMark(s.Name, unit)]
	if !marked {
		return false
	}
	if owner == table.NoOwner {
		return true
	}
	t := s.Targets[owner]
	r, v, ok := b.frontReport(s.Name, t)
	return ok && has(r) && v.report.Revisions.Table >= revision && b.standbyHolds(s.Name, t, revision)
}

// placeShards gives shards without an owner to targets at once, and starts
// moves away from draining targets and for balance.
func (b *build) placeShards() {
	for i := range b.next.Services {
		b.placeService(&b.next.Services[i])
		b.placeHot(&b.next.Services[i])
	}
}

func (b *build) placeService(s *table.Service) {
	b.applyRequests(s)
	in := b.placementInput(s)
	if len(in.Candidates) == 0 {
		b.retire(s)
		return
	}
	paced := len(s.Moves) > 0 || b.now.Sub(b.lastPlan[s.Name]) < MinPlanInterval
	plan := placement.Make(in)
	for _, c := range plan.Orphans {
		b.placeOrphan(s, c)
	}
	moves := b.unpinned(s.Name, plan.Moves)
	if paced || len(moves) == 0 {
		return
	}
	b.lastPlan[s.Name] = b.now
	for _, c := range moves {
		b.startMove(s, c.Shard, c.To)
	}
}

// maxMoveShare bounds the moves for balance of one plan: a 16th of the shards.
const maxMoveShare = 16

func (b *build) placementInput(s *table.Service) placement.Input {
	in := placement.Input{
		Owners:   slices.Clone(s.Owners),
		MaxMoves: max(len(s.Owners)/maxMoveShare, 1),
	}
	for _, mv := range s.Moves {
		in.Owners[mv.Shard] = mv.To
	}
	declared := b.config.Manifest.ServiceNamed(s.Name)
	for i, t := range s.Targets {
		if t.State != table.TargetActive || t.Front == "" || declared == nil {
			continue
		}
		if d := declared.TargetNamed(t.Name); d != nil {
			in.Candidates = append(in.Candidates, placement.Candidate{Index: uint16(i), Name: t.Name, Capacity: d.Slots})
		}
	}
	return in
}

func (b *build) placeOrphan(s *table.Service, c placement.Change) {
	owner := s.Owners[c.Shard]
	if owner == table.NoOwner {
		s.Owners[c.Shard] = c.To
		s.Epochs[c.Shard] = b.unitEpoch()
		b.changed = true
		return
	}
	// Shards of a lost target wait until its end is confirmed.
	if s.Targets[owner].State != table.TargetLost {
		b.startMove(s, c.Shard, c.To)
	}
}

func (b *build) startMove(s *table.Service, shard uint32, to uint16) {
	// A move must not follow in the table that ends the last one: it would
	// inherit that one's mark.
	if s.Moving(shard) || s.Owners[shard] == to || b.storedMove(s.Name, shard) {
		return
	}
	s.Moves = append(s.Moves, table.Move{Shard: shard, To: to})
	b.changed = true
}

// retire takes all shards away from the draining targets of a service that the
// configuration no longer declares.
func (b *build) retire(s *table.Service) {
	if b.config.Manifest.ServiceNamed(s.Name) != nil {
		return
	}
	for shard, owner := range s.Owners {
		if owner != table.NoOwner && s.Targets[owner].State == table.TargetDraining {
			b.startMove(s, uint32(shard), table.NoOwner)
		}
	}
}
