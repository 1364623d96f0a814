package daemon

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/front"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// targetKey names a target.
type targetKey struct {
	service, target string
}

// claim is a succession that this daemon has made and no table records yet.
type claim struct {
	member table.MemberID
	epoch  uint64
}

// fronts holds the targets that this daemon fronts. Tables, successions and
// reports are serialized, so that a report always matches the table that it
// names.
type fronts struct {
	daemon *Daemon

	mu      sync.Mutex
	targets map[targetKey]*targetFront
	claims  map[targetKey]claim
	known   map[targetKey]declaration
	applied *snapshot
}

// declaration is what the configuration says, or said last, of a target.
type declaration struct {
	service *manifest.Service
	target  *manifest.Target
}

func newFronts(d *Daemon) *fronts {
	return &fronts{
		daemon:  d,
		targets: make(map[targetKey]*targetFront),
		claims:  make(map[targetKey]claim),
		known:   make(map[targetKey]declaration),
		applied: &snapshot{},
	}
}

// apply puts a snapshot in force.
func (f *fronts) apply(s *snapshot, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.table == nil || s.config == nil {
		f.applied = s
		return
	}
	f.dropClaims(s.table)
	f.applied = s
	f.remember(s)
	wanted := make(map[targetKey]bool)
	for i := range s.table.Services {
		f.applyService(s, &s.table.Services[i], wanted, now)
	}
	f.retire(wanted, now)
}

// dropClaims forgets successions that the table records or overrules.
func (f *fronts) dropClaims(t *table.Table) {
	for key, c := range f.claims {
		target := findTarget(t, key)
		if target == nil || target.Epoch >= c.epoch {
			delete(f.claims, key)
		}
	}
}

func findTarget(t *table.Table, key targetKey) *table.Target {
	s := t.Service(key.service)
	if s == nil {
		return nil
	}
	i := s.TargetIndex(key.target)
	if i == table.NoOwner {
		return nil
	}
	return &s.Targets[i]
}

func (f *fronts) applyService(s *snapshot, svc *table.Service, wanted map[targetKey]bool, now time.Time) {
	for i := range svc.Targets {
		key := targetKey{svc.Name, svc.Targets[i].Name}
		member, epoch := f.frontOf(key, &svc.Targets[i])
		m := f.daemon.membershipNamed(member)
		if m == nil {
			continue
		}
		wanted[key] = true
		f.applyTarget(s, svc, uint16(i), key, m, epoch, now)
	}
}

// remember keeps the declarations of targets that the table still names after
// the configuration has dropped them.
func (f *fronts) remember(s *snapshot) {
	for key := range f.known {
		if findTarget(s.table, key) == nil {
			delete(f.known, key)
		}
	}
	for i := range s.config.Manifest.Services {
		svc := &s.config.Manifest.Services[i]
		for j := range svc.Targets {
			f.known[targetKey{svc.Name, svc.Targets[j].Name}] = declaration{svc, &svc.Targets[j]}
		}
	}
}

// declaration returns the last known declaration of a target. Somebody must
// front a target that the configuration dropped before this daemon started, or
// its units would stay with it for ever. Nothing can be sent to it, since its
// address is unknown; its requests may run for the longest deadline allowed.
func (f *fronts) declaration(key targetKey) declaration {
	if d, ok := f.known[key]; ok {
		return d
	}
	longest := manifest.Class{Repeat: manifest.RepeatNever, DeadlineMs: manifest.MaxDeadlineMs}
	return declaration{
		service: &manifest.Service{Name: key.service, Classes: []manifest.Class{longest}},
		target:  &manifest.Target{Name: key.target, Slots: 1, Connections: 1},
	}
}

// frontOf returns the target's front with its epoch: the table's, unless this
// daemon has succeeded it.
func (f *fronts) frontOf(key targetKey, t *table.Target) (table.MemberID, uint64) {
	if c, ok := f.claims[key]; ok {
		return c.member, c.epoch
	}
	return t.Front, t.Epoch
}

func (f *fronts) applyTarget(s *snapshot, svc *table.Service, index uint16, key targetKey, m *membership, epoch uint64, now time.Time) {
	tf := f.targets[key]
	if tf == nil {
		declared := f.declaration(key)
		tf = newTargetFront(f.daemon, key, m, declared.service, declared.target)
		f.targets[key] = tf
	}
	if declared := s.target(key.service, key.target); declared != nil {
		tf.configure(s.service(key.service), declared, now)
	}
	tf.assign(assignment(svc, index, epoch), m, now)
}

// assignment collects what the table says of a target.
func assignment(svc *table.Service, index uint16, epoch uint64) front.Assignment {
	t := &svc.Targets[index]
	a := front.Assignment{
		Front:   true,
		Epoch:   epoch,
		Units:   make(map[table.Unit]uint32),
		Release: t.Release && epoch == t.Epoch,
		Lost:    t.State == table.TargetLost,
	}
	for shard, owner := range svc.Owners {
		if owner == index {
			a.Units[table.Unit{Shard: uint32(shard)}] = svc.Epochs[shard]
		}
	}
	for _, mv := range svc.Moves {
		if svc.Owners[mv.Shard] == index {
			a.Leaving = append(a.Leaving, table.Unit{Shard: mv.Shard})
		}
	}
	for _, o := range svc.Overrides {
		if o.Owner != index {
			continue
		}
		unit := table.Unit{Hash: o.Hash, Hot: true}
		a.Units[unit] = o.Epoch
		if o.To != table.NoOwner {
			a.Leaving = append(a.Leaving, unit)
		}
	}
	return a
}

// retire stops the targets that this daemon no longer fronts and closes those
// that are idle.
func (f *fronts) retire(wanted map[targetKey]bool, now time.Time) {
	for key, tf := range f.targets {
		if wanted[key] {
			continue
		}
		tf.retire(now)
		delete(f.targets, key)
	}
}

// succeed makes this daemon the front of the fenced member's targets for which
// it is the standby.
func (f *fronts) succeed(fenced table.MemberID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.applied
	if s.table == nil || s.config == nil {
		return
	}
	for i := range s.table.Services {
		f.succeedService(s, &s.table.Services[i], fenced, now)
	}
}

func (f *fronts) succeedService(s *snapshot, svc *table.Service, fenced table.MemberID, now time.Time) {
	for i := range svc.Targets {
		t := &svc.Targets[i]
		m := f.daemon.membershipNamed(t.Standby)
		key := targetKey{svc.Name, t.Name}
		_, claimed := f.claims[key]
		if t.Front != fenced || t.Next != "" || m == nil || claimed {
			continue
		}
		c := claim{member: m.id, epoch: t.Epoch + 1}
		f.claims[key] = c
		f.applyTarget(s, svc, uint16(i), key, m, c.epoch, now)
		f.daemon.log.Info("succeeded front", slog.String("service", key.service),
			slog.String("target", key.target), slog.String("front", string(fenced)))
	}
}

// revision returns the revision of the table in force.
func (f *fronts) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied.revisions().Table
}

// locate returns the front that serves the key's hash under the applied table,
// with the unit. The front is nil if another daemon fronts the owner.
func (f *fronts) locate(service string, hash uint64) (*targetFront, table.Unit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applied.table == nil {
		return nil, table.Unit{}
	}
	svc := f.applied.table.Service(service)
	if svc == nil {
		return nil, table.Unit{}
	}
	p := svc.Place(hash)
	if p.Owner == table.NoOwner {
		return nil, p.Unit
	}
	return f.targets[targetKey{service, svc.Targets[p.Owner].Name}], p.Unit
}

// reports returns the revisions in force and the reports on the targets that
// the member fronts, as of one moment.
func (f *fronts) reports(m *membership, now time.Time) (peer.Revisions, []peer.TargetReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []peer.TargetReport
	for _, tf := range f.targets {
		if r, ok := tf.report(m, now); ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b peer.TargetReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return f.applied.revisions(), out
}

// list returns the fronts in a stable order.
func (f *fronts) list() []*targetFront {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*targetFront, 0, len(f.targets))
	for _, tf := range f.targets {
		out = append(out, tf)
	}
	slices.SortFunc(out, func(a, b *targetFront) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.target, b.key.target))
	})
	return out
}

// classIndexes maps the names of a service's classes to their positions.
func classIndexes(s *manifest.Service) map[string]int {
	out := make(map[string]int, len(s.Classes))
	for i, c := range s.Classes {
		out[c.Name] = i
	}
	return out
}
