// Package fleettest checks the coordinator, the fronts and the leases together
// in virtual time: one goroutine, pure machines, and a network that loses,
// delays, repeats and reorders messages.
package fleettest

import (
	"container/heap"
	"errors"
	"math/rand"
	"time"
)

// failer is the part of rapid.T and testing.T that the model uses.
type failer interface {
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

var errTimeout = errors.New("no answer")

type link struct{ from, to string }

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is the model: true time, network, store, daemons and targets.
type world struct {
	t       failer
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	seq     int
	cut     map[link]bool
	loss    float64                // of messages
	double  float64                // share of messages delivered twice
	slow    time.Duration          // longest extra delay of a message
	lag     map[link]time.Duration // longest extra delay on one link
	store   *store
	nodes   []*node
	targets map[targetKey]*target
	past    *history
	runs    int
	strict  bool // shards that move count as not served
}

func newWorld(t failer, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewSource(int64(seed))), cut: make(map[link]bool), lag: make(map[link]time.Duration),
		targets: make(map[targetKey]*target), past: newHistory(),
	}
	w.store = newStore(w)
	w.every(100*time.Millisecond, w.store.elect)
	return w
}

func (w *world) after(d time.Duration, fn func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, fn: fn})
}

func (w *world) every(d time.Duration, fn func()) {
	w.after(d, func() {
		fn()
		w.every(d, fn)
	})
}

// stepTime is the interval of the invariant checks.
const stepTime = 25 * time.Millisecond

// advance runs the model for the duration and checks the invariants after
// every step.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(min(w.now+stepTime, end))
		w.checkNow()
	}
}

func (w *world) step(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.fn()
	}
	w.now = until
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *world) latency() time.Duration {
	d := time.Duration(200+w.rng.Intn(2000)) * time.Microsecond
	if w.slow > 0 && w.chance(0.5) {
		d += time.Duration(w.rng.Int63n(int64(w.slow)))
	}
	return d
}

func (w *world) extra(l link) time.Duration {
	if longest := w.lag[l]; longest > 0 {
		return time.Duration(w.rng.Int63n(int64(longest)))
	}
	return 0
}

// send delivers fn at the receiver, unless the message is lost.
func (w *world) send(from, to string, fn func()) {
	if w.cut[link{from, to}] || w.chance(w.loss) {
		return
	}
	n := 1
	if w.chance(w.double) {
		n = 2
	}
	for range n {
		w.after(w.latency()+w.extra(link{from, to}), func() { w.deliver(to, fn) })
	}
}

// deliver runs fn at the receiver. A paused one keeps it until it resumes; one
// that has ended never gets it.
func (w *world) deliver(to string, fn func()) {
	n := w.nodeAt(to)
	switch {
	case n == nil:
		fn()
	case n.dead:
	case n.paused:
		n.inbox = append(n.inbox, fn)
	default:
		fn()
	}
}

func (w *world) nodeAt(address string) *node {
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// call makes one remote call for a node. serve runs at the receiver and tells
// whether it answers; done runs once at the caller.
func (w *world) call(n *node, to string, timeout time.Duration, serve func() (any, bool), done func(any, error)) {
	finished := false
	finish := func(reply any, err error) {
		if !finished {
			finished = true
			done(reply, err)
		}
	}
	w.send(n.address, to, func() {
		reply, ok := serve()
		if ok {
			w.send(to, n.address, func() { finish(reply, nil) })
		}
	})
	w.after(timeout, func() { w.deliver(n.address, func() { finish(nil, errTimeout) }) })
}

// heal ends all faults of the network, the processes and the targets.
func (w *world) heal() {
	clear(w.cut)
	clear(w.lag)
	w.loss, w.slow, w.double = 0, 0, 0
	w.store.mode = storeUp
	for _, n := range w.nodes {
		n.resume()
		n.deaf = false
	}
	for _, t := range w.targets {
		t.heal()
	}
}

func (w *world) live() []*node {
	var out []*node
	for _, n := range w.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}
