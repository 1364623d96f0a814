package election

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"pgregory.net/rapid"
)

// world is three candidates, the store, and the calls between them.
type world struct {
	t       *rapid.T
	now     time.Duration
	nodes   []*node
	network []func()

	clock  proptest.Clock
	rev    int64
	keys   map[string]topo.Entry
	leases map[topo.LeaseID]time.Time

	newest  int64 // term of the last table write that took effect
	written int
}

type node struct {
	clock  proptest.Clock
	m      *Machine
	paused bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, clock: proptest.DrawClock(t, "store"), keys: map[string]topo.Entry{},
		leases: map[topo.LeaseID]time.Time{},
	}
	for i := range 3 {
		m := New(table.MemberID(fmt.Sprint("n", i)), "peer:1")
		w.nodes = append(w.nodes, &node{clock: proptest.DrawClock(t, "clock"), m: m})
	}
	return w
}

// expire ends the store's lapsed leases.
func (w *world) expire() {
	for id, end := range w.leases {
		if !w.clock.At(w.now).Before(end) {
			w.revoke(id)
		}
	}
}

func (w *world) revoke(id topo.LeaseID) {
	delete(w.leases, id)
	for k, e := range w.keys {
		if e.Lease == id {
			delete(w.keys, k)
		}
	}
}

func (w *world) holds(c topo.Compare) bool {
	if c.Field == topo.CompareCreateRev {
		return w.keys[c.Key].CreateRev == c.Rev
	}
	return w.keys[c.Key].ModRev == c.Rev
}

func (w *world) commit(txn topo.Txn) bool {
	for _, c := range txn.Compares {
		if !w.holds(c) {
			return false
		}
	}
	for _, p := range txn.Puts {
		if _, ok := w.leases[p.Lease]; p.Lease != 0 && !ok {
			return false
		}
		w.rev++
		e := topo.Entry{Key: p.Key, Value: p.Value, CreateRev: w.keys[p.Key].CreateRev, ModRev: w.rev, Lease: p.Lease}
		if e.CreateRev == 0 {
			e.CreateRev = w.rev
		}
		w.keys[p.Key] = e
	}
	return true
}

// call carries out an action in the store.
func (w *world) call(a Action) Result {
	w.expire()
	r := Result{Seq: a.Seq}
	end := w.clock.At(w.now).Add(LeaseTTL)
	switch a.Kind {
	case Poll, ReadBack:
		r.Entry = w.keys[topo.KeyCoordinator]
	case GrantLease:
		w.rev++
		r.Lease = topo.LeaseID(w.rev)
		w.leases[r.Lease] = end
	case Campaign:
		w.commit(a.Txn)
	case Resign:
		w.revoke(a.Lease)
	case KeepAlive:
		if _, ok := w.leases[a.Lease]; !ok {
			r.Err = topo.ErrLeaseNotFound
			break
		}
		w.leases[a.Lease] = end
	}
	return r
}

// act makes a node's next call; the request and the answer are messages.
func (w *world) act(n *node) {
	if n.paused {
		return
	}
	a := n.m.Next(n.clock.At(w.now))
	if a.Kind == None {
		return
	}
	w.network = append(w.network, func() {
		r := w.call(a)
		w.network = append(w.network, func() { w.done(n, r) })
	})
}

func (w *world) done(n *node, r Result) {
	if !n.paused {
		n.m.Done(r, n.clock.At(w.now))
	}
}

// write makes a coordinator read the table and send a guarded write of it. Each
// of the three may come long after the one before.
func (w *world) write(n *node) {
	if n.paused || !n.m.IsCoordinator(n.clock.At(w.now)) {
		return
	}
	term := n.m.Term()
	w.network = append(w.network, func() {
		read := w.keys[topo.KeyTable].ModRev
		txn := GuardedTable(term, read, []byte(n.m.self))
		w.network = append(w.network, func() { w.land(term, read, txn) })
	})
}

func (w *world) land(term, read int64, txn topo.Txn) {
	w.expire()
	replaced := w.keys[topo.KeyTable].ModRev
	if !w.commit(txn) {
		return
	}
	if term < w.newest {
		w.t.Fatalf("write of term %d took effect after one of term %d", term, w.newest)
	}
	if replaced != read {
		w.t.Fatalf("a write based on revision %d replaced revision %d", read, replaced)
	}
	w.newest = term
	w.written++
}

func (w *world) flush() {
	for len(w.network) > 0 {
		batch := w.network
		w.network = nil
		for _, deliver := range batch {
			deliver()
		}
	}
}

func (w *world) step() {
	n := rapid.SampledFrom(w.nodes).Draw(w.t, "node")
	switch rapid.IntRange(0, 13).Draw(w.t, "step") {
	case 0, 1:
		w.now += time.Duration(rapid.IntRange(1, 700).Draw(w.t, "ms")) * time.Millisecond
	case 2:
		w.lapse()
	case 3, 4:
		w.act(n)
	case 5, 6, 7:
		delayed := w.network
		w.network = nil
		for range 4 {
			w.act(n)
			w.flush()
		}
		w.network = delayed
	case 8, 9:
		w.deliver()
	case 10, 11:
		w.write(n)
	case 12:
		n.paused = !n.paused
	case 13:
		w.trouble(n)
	}
}

// lapse advances the time to the end of a store lease.
func (w *world) lapse() {
	for _, end := range w.leases {
		w.now += max(0, end.Sub(w.clock.At(w.now)))
		return
	}
}

// trouble makes a call end without its result, or a coordinator resign.
func (w *world) trouble(n *node) {
	if rapid.Bool().Draw(w.t, "resign") {
		n.m.Resign()
		n.m.SetCandidate(true)
		return
	}
	w.done(n, Result{Seq: n.m.seq, Err: topo.ErrUnknownResult})
}

func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	w.network = w.network[max(0, len(w.network)-8):]
	k := rapid.IntRange(0, len(w.network)-1).Draw(w.t, "message")
	deliver := w.network[k]
	fate := rapid.IntRange(0, 3).Draw(w.t, "fate")
	if fate != 0 {
		w.network = slices.Delete(w.network, k, k+1)
	}
	if fate != 1 {
		deliver()
	}
}

// check asserts that two daemons never both believe to be the coordinator.
func (w *world) check() {
	var holders []string
	for _, n := range w.nodes {
		if n.m.IsCoordinator(n.clock.At(w.now)) {
			holders = append(holders, fmt.Sprintf("%s term %d", n.m.self, n.m.Term()))
		}
	}
	if len(holders) > 1 {
		w.t.Fatalf("coordinators at once: %v", holders)
	}
}

// settle lets everything work for a while and asserts that there is a
// coordinator whose write takes effect.
func (w *world) settle() {
	for _, n := range w.nodes {
		n.paused = false
		w.done(n, Result{Seq: n.m.seq, Err: topo.ErrUnavailable})
	}
	w.flush()
	for range 60 {
		w.now += 100 * time.Millisecond
		for _, n := range w.nodes {
			w.act(n)
			w.flush()
			w.check()
		}
	}
	before := w.written
	for _, n := range w.nodes {
		w.write(n)
		if n.m.nextAt.Sub(n.clock.At(w.now)) > PollInterval {
			w.t.Fatalf("%s makes no call before %s", n.m.self, n.m.nextAt)
		}
	}
	w.flush()
	if w.written != before+1 {
		w.t.Fatalf("%d table writes took effect after a quiet period, want 1", w.written-before)
	}
}

// TestStaleCoordinatorWritesNothing guards against a paused or delayed
// coordinator that overwrites the table of its successor, against two
// coordinators at once, and against an election that gets stuck.
func TestStaleCoordinatorWritesNothing(t *testing.T) {
	proptest.Check(t, 2, 4000, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
			w.check()
		}
		w.settle()
	})
}

// TestGuardedTableNeedsTerm guards against a table write without a coordinator:
// a comparison with revision 0 holds when the key does not exist.
func TestGuardedTableNeedsTerm(t *testing.T) {
	w := &world{keys: map[string]topo.Entry{}}
	if w.commit(GuardedTable(0, 0, []byte("table"))) {
		t.Error("a table write without a term took effect")
	}
}
