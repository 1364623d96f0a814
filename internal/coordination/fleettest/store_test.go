package fleettest

import (
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

const storeAddress = "store"

// Modes of the store. A mute one applies writes and answers nothing.
const (
	storeUp = iota
	storeDown
	storeMute
)

const (
	coordinatorTTL = 2 * time.Second
	presenceTTL    = 2 * time.Second
	storeTimeout   = 600 * time.Millisecond
)

// store is the platform's store with the keys that the model needs.
type store struct {
	w        *world
	mode     int
	term     int64
	holder   *node
	seenAt   time.Duration // last renewal by the holder
	table    []byte
	modRev   int64
	config   *manifest.Accepted
	presence map[table.MemberID]time.Duration
	written  []*table.Table
	lastAt   time.Duration // time of the last table write
}

func newStore(w *world) *store {
	return &store{w: w, presence: make(map[table.MemberID]time.Duration)}
}

func (s *store) reachable(n *node) bool {
	return s.mode == storeUp && !s.w.cut[link{n.address, storeAddress}] && !s.w.cut[link{storeAddress, n.address}]
}

// elect renews the holder's lease and gives the term to another daemon once it
// has ended.
func (s *store) elect() {
	h := s.holder
	if h != nil && !h.dead && !h.paused && h.office.machine != nil && s.reachable(h) {
		s.seenAt = s.w.now
		return
	}
	if h != nil && s.w.now-s.seenAt < coordinatorTTL {
		return
	}
	var able []*node
	for _, n := range s.w.live() {
		if !n.paused && !n.stopping && s.reachable(n) {
			able = append(able, n)
		}
	}
	if len(able) > 0 {
		s.appoint(able[s.w.rng.Intn(len(able))])
	}
}

// appoint starts a new term. The previous coordinator learns of it up to 3 s
// later, or after its pause.
func (s *store) appoint(n *node) {
	if old := s.holder; old != nil && old != n {
		machine := old.office.machine
		s.w.after(time.Duration(s.w.rng.Intn(3000))*time.Millisecond, func() {
			s.w.deliver(old.address, func() { old.office.lose(machine) })
		})
	}
	s.term++
	s.holder, s.seenAt = n, s.w.now
	n.office = office{n: n, machine: coordinator.New(s.term, n.clock()), term: s.term}
	n.hint, n.hintTerm = n.address, s.term
}

// do applies an operation on behalf of a remote call.
func (s *store) do(op func() any) func() (any, bool) {
	return func() (any, bool) {
		if s.mode == storeDown {
			return nil, false
		}
		reply := op()
		return reply, s.mode == storeUp
	}
}

type commitReply struct {
	rev int64
	ok  bool
}

// commit stores a table if the term and the modification revision hold.
func (s *store) commit(term, modRev int64, encoded []byte) commitReply {
	if term != s.term || modRev != s.modRev {
		return commitReply{}
	}
	t, err := table.Decode(encoded)
	if err != nil {
		s.w.t.Fatalf("written table: %v", err)
	}
	s.modRev++
	s.table, s.lastAt = encoded, s.w.now
	s.w.past.wrote(s.w, s.written, t)
	s.written = append(s.written, t)
	return commitReply{rev: s.modRev, ok: true}
}

func (s *store) current() *table.Table {
	if len(s.written) == 0 {
		return nil
	}
	return s.written[len(s.written)-1]
}

func (s *store) keepPresent(id table.MemberID) bool {
	end, ok := s.presence[id]
	if !ok || s.w.now >= end {
		return false
	}
	s.presence[id] = s.w.now + presenceTTL
	return true
}

func (s *store) createPresence(id table.MemberID) bool {
	if s.present(id) {
		return false
	}
	s.presence[id] = s.w.now + presenceTTL
	return true
}

func (s *store) present(id table.MemberID) bool { return s.w.now < s.presence[id] }

// office is a daemon's part as coordinator.
type office struct {
	n       *node
	machine *coordinator.Machine
	term    int64
	modRev  int64
	loaded  bool
	busy    bool
	waitTil time.Time
	op      int
}

func (o *office) lose(machine *coordinator.Machine) {
	if o.machine == machine {
		o.machine = nil
	}
}

type readReply struct {
	table  []byte
	modRev int64
	config *manifest.Accepted
}

func (s *store) read() any { return readReply{table: s.table, modRev: s.modRev, config: s.config} }

// step does what the daemon's coordinator loop does in one round.
func (o *office) step() {
	if o.machine == nil || o.busy || o.n.clock().Before(o.waitTil) {
		return
	}
	if !o.loaded {
		o.load()
		return
	}
	for _, id := range o.n.fencedMembers() {
		o.machine.Fenced(id)
	}
	for _, m := range o.machine.Suspects(o.n.clock()) {
		o.n.startFence(m)
	}
	if o.n.config == nil {
		return
	}
	o.machine.SetConfig(o.n.config)
	o.machine.Forget(o.n.clock())
	o.op++
	if t := o.machine.Propose(fmt.Sprintf("%s-%d-%d", o.n.run, o.term, o.op), o.n.clock()); t != nil {
		o.write(t)
	}
}

// async makes a store call during which the coordinator decides nothing.
func (o *office) async(op func() any, done func(reply any, err error)) {
	o.busy = true
	machine := o.machine
	o.n.w.call(o.n, storeAddress, storeTimeout, o.n.w.store.do(op), func(reply any, err error) {
		if o.machine != machine {
			return
		}
		o.busy = false
		done(reply, err)
	})
}

func (o *office) failed() {
	o.loaded = false
	o.waitTil = o.n.clock().Add(100 * time.Millisecond)
}

func (o *office) load() {
	o.async(o.n.w.store.read, func(reply any, err error) {
		if err != nil {
			o.failed()
			return
		}
		r := reply.(readReply)
		o.n.offerConfig(r.config)
		var t *table.Table
		if r.table != nil {
			t, _ = table.Decode(r.table)
			o.n.offerTable(t)
		}
		if held := o.n.table; held != nil && (t == nil || t.Revision < held.Revision) {
			o.failed()
			return
		}
		o.machine.SetStored(t)
		o.modRev, o.loaded = r.modRev, true
	})
}

func (o *office) write(t *table.Table) {
	encoded, err := t.Encode()
	if err != nil {
		o.n.w.t.Fatalf("encode: %v", err)
	}
	s, term, modRev := o.n.w.store, o.term, o.modRev
	o.async(func() any { return s.commit(term, modRev, encoded) }, func(reply any, err error) {
		switch {
		case err != nil:
			o.readBack(t)
		case !reply.(commitReply).ok:
			o.failed()
		default:
			o.wrote(t, reply.(commitReply).rev)
		}
	})
}

func (o *office) readBack(t *table.Table) {
	o.async(o.n.w.store.read, func(reply any, err error) {
		if err != nil {
			o.failed()
			return
		}
		r := reply.(readReply)
		stored, err := table.Decode(r.table)
		if err != nil || stored.Operation != t.Operation {
			o.failed()
			return
		}
		o.wrote(t, r.modRev)
	})
}

func (o *office) wrote(t *table.Table, rev int64) {
	o.machine.SetStored(t)
	o.modRev = rev
	o.n.offerTable(t)
	o.n.announce()
}
