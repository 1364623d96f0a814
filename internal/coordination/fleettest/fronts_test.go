package fleettest

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/front"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// claim is a succession that no table records yet.
type claim struct {
	member table.MemberID
	epoch  uint64
}

// fronts holds the targets that a daemon fronts, wired as the daemon does it.
type fronts struct {
	n       *node
	targets map[targetKey]*targetFront
	claims  map[targetKey]claim
	known   map[targetKey]declaration
}

// declaration is what the configuration says, or said last, of a target.
type declaration struct {
	service *manifest.Service
	target  *manifest.Target
}

type targetFront struct {
	n       *node
	key     targetKey
	m       *membership
	machine *front.Machine
	slots   int
	longest time.Duration
	shards  int
}

func newFronts(n *node) fronts {
	return fronts{n: n, targets: make(map[targetKey]*targetFront), claims: make(map[targetKey]claim), known: make(map[targetKey]declaration)}
}

func (f *fronts) keys() []targetKey {
	return slices.SortedFunc(maps.Keys(f.targets), func(a, b targetKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.target, b.target))
	})
}

func findTarget(t *table.Table, key targetKey) *table.Target {
	s := t.Service(key.service)
	if s == nil || s.TargetIndex(key.target) == table.NoOwner {
		return nil
	}
	return &s.Targets[s.TargetIndex(key.target)]
}

func (f *fronts) apply() {
	if f.n.table == nil || f.n.config == nil {
		return
	}
	for key, c := range f.claims {
		if t := findTarget(f.n.table, key); t == nil || t.Epoch >= c.epoch {
			delete(f.claims, key)
		}
	}
	f.remember()
	wanted := make(map[targetKey]bool)
	for i := range f.n.table.Services {
		f.applyService(&f.n.table.Services[i], wanted)
	}
	for key, tf := range f.targets {
		if !wanted[key] {
			tf.machine.Assign(front.Assignment{Epoch: ^uint64(0)}, f.n.clock())
			delete(f.targets, key)
		}
	}
}

func (f *fronts) applyService(svc *table.Service, wanted map[targetKey]bool) {
	for i := range svc.Targets {
		t := &svc.Targets[i]
		key := targetKey{svc.Name, t.Name}
		member, epoch := t.Front, t.Epoch
		if c, ok := f.claims[key]; ok {
			member, epoch = c.member, c.epoch
		}
		m := f.n.membershipNamed(member)
		if m == nil {
			continue
		}
		wanted[key] = true
		f.applyTarget(svc, uint16(i), key, m, epoch)
	}
}

func (f *fronts) applyTarget(svc *table.Service, i uint16, key targetKey, m *membership, epoch uint64) {
	tf := f.targets[key]
	if s, t := f.declaration(key); t != nil {
		cfg := front.Config{
			Service: key.service, Target: key.target,
			ChecksGrants: t.ChecksGrants, LongestDeadline: s.LongestDeadline(),
		}
		if tf == nil {
			tf = &targetFront{n: f.n, key: key, machine: front.New(cfg)}
			f.targets[key] = tf
		}
		tf.machine.SetConfig(cfg)
		tf.slots, tf.longest = t.Slots, s.LongestDeadline()
	}
	tf.m, tf.shards = m, len(svc.Owners)
	tf.machine.Assign(assignment(svc, i, epoch), f.n.clock())
	f.n.w.past.fronted(f.n.w, key, epoch, m.id)
}

// remember keeps the declarations of targets that the table still names.
func (f *fronts) remember() {
	for key := range f.known {
		if findTarget(f.n.table, key) == nil {
			delete(f.known, key)
		}
	}
	for i := range f.n.config.Manifest.Services {
		s := &f.n.config.Manifest.Services[i]
		for j := range s.Targets {
			f.known[targetKey{s.Name, s.Targets[j].Name}] = declaration{s, &s.Targets[j]}
		}
	}
}

// declaration returns the last known declaration of a target. For one that the
// configuration dropped before this daemon started, it assumes the longest
// deadline that a configuration allows.
func (f *fronts) declaration(key targetKey) (*manifest.Service, *manifest.Target) {
	if d, ok := f.known[key]; ok {
		return d.service, d.target
	}
	f.n.w.past.undeclared = f.n.w.now
	c := manifest.Class{Repeat: manifest.RepeatNever, DeadlineMs: manifest.MaxDeadlineMs}
	return &manifest.Service{Name: key.service, Classes: []manifest.Class{c}},
		&manifest.Target{Name: key.target, Slots: 1, Connections: 1}
}

// assignment collects what the table says of a target, as the daemon does.
func assignment(svc *table.Service, index uint16, epoch uint64) front.Assignment {
	t := &svc.Targets[index]
	a := front.Assignment{
		Front: true, Epoch: epoch, Units: make(map[table.Unit]uint32),
		Release: t.Release && epoch == t.Epoch, Lost: t.State == table.TargetLost,
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
		unit := table.Unit{Hash: o.Hash, Hot: true}
		if o.Owner == index {
			a.Units[unit] = o.Epoch
		}
		if o.Owner == index && o.To != table.NoOwner {
			a.Leaving = append(a.Leaving, unit)
		}
	}
	return a
}

// succeed makes this daemon the front of the fenced member's targets for which
// it is the standby.
func (f *fronts) succeed(fenced table.MemberID) {
	if f.n.table == nil || f.n.config == nil {
		return
	}
	for i := range f.n.table.Services {
		svc := &f.n.table.Services[i]
		for j := range svc.Targets {
			t := &svc.Targets[j]
			key := targetKey{svc.Name, t.Name}
			m := f.n.membershipNamed(t.Standby)
			if _, claimed := f.claims[key]; t.Front != fenced || t.Next != "" || m == nil || claimed {
				continue
			}
			f.claims[key] = claim{m.id, t.Epoch + 1}
			f.applyTarget(svc, uint16(j), key, m, t.Epoch+1)
		}
	}
}

func (f *fronts) reports(m *membership) []peer.TargetReport {
	var out []peer.TargetReport
	for _, key := range f.keys() {
		if tf := f.targets[key]; tf.m == m {
			out = append(out, tf.machine.Report(f.n.clock()))
		}
	}
	return out
}

func (f *fronts) tick() {
	for _, key := range f.keys() {
		tf := f.targets[key]
		if a := tf.machine.Tick(f.n.clock(), tf.m.authorityUntil()); a.Send {
			tf.exchange(a)
		}
		tf.dispatch()
	}
}

func (f *targetFront) exchange(a front.Action) {
	t := f.n.w.targets[f.key]
	answered, refused := false, false
	done := func(reply any, err error) {
		switch {
		case err != nil:
			f.machine.GrantFailed(a.Seq, front.ExchangeTimedOut, f.n.clock())
		case refused:
			f.machine.GrantFailed(a.Seq, front.ExchangeRefused, f.n.clock())
		case a.Probe:
			f.machine.ProbeReply(a.Seq, f.n.clock())
		default:
			f.machine.GrantReply(a.Seq, reply.(grant.Reply), f.n.clock())
		}
	}
	once := func(reply any, err error) {
		if !answered {
			answered = true
			done(reply, err)
		}
	}
	w := f.n.w
	w.send(f.n.address, f.key.address(), func() {
		back := func(reply any) { w.send(f.key.address(), f.n.address, func() { once(reply, nil) }) }
		if a.Probe && !t.down {
			back(nil) // the kernel accepts connections for a frozen process too
			return
		}
		if !t.reach(func() { back(t.apply(a.Request)) }) {
			refused = true
			back(nil)
		}
	})
	w.after(front.ExchangeTimeout, func() { w.deliver(f.n.address, func() { once(nil, errTimeout) }) })
}

// dispatch starts requests of random units.
func (f *targetFront) dispatch() {
	for range 2 {
		if f.machine.Running() >= f.slots {
			return
		}
		u := table.Unit{Shard: uint32(f.n.w.rng.Intn(f.shards))}
		token, err := f.machine.Begin(u, f.n.clock(), f.m.authorityUntil())
		if err == nil {
			f.request(u, token)
		}
	}
}

func (f *targetFront) request(u table.Unit, token front.Token) {
	w, t, machine := f.n.w, f.n.w.targets[f.key], f.machine
	frontEpoch, unitEpoch := machine.Epochs(u)
	deadline := w.now + f.longest
	length := time.Duration(5+w.rng.Intn(60)) * time.Millisecond
	if w.chance(0.1) {
		length = time.Duration(w.rng.Int63n(int64(f.longest)))
	}
	end := func(result front.Result) { machine.Ended(token, result, f.n.clock()) }
	back := func(result front.Result) { w.send(f.key.address(), f.n.address, func() { end(result) }) }
	w.send(f.n.address, f.key.address(), func() {
		reached := t.reach(func() {
			switch left := deadline - w.now; {
			case left <= 0:
			case !t.mayStart(frontEpoch, u, unitEpoch):
				back(front.Rejected)
			default:
				t.start(u, unitEpoch, min(length, left), func() { back(front.Success) })
			}
		})
		if !reached {
			back(front.Refused)
		}
	})
	w.after(f.longest, func() { w.deliver(f.n.address, func() { end(front.Silent) }) })
}
