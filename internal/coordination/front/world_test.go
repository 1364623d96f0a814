package front

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"pgregory.net/rapid"
)

// world is one target, its successive fronts, and a coordinator that follows
// the rules stated at Machine.Report.
type world struct {
	t       *rapid.T
	cfg     Config
	now     time.Duration
	target  *target
	network []message
	fronts  []*daemon // the last one is the standby, the one before the front
	cut     *daemon   // cannot reach the target
	epoch   uint64
	doc     document
	// marked is the revision since which a unit is moving or the target lost.
	marked  map[table.Unit]int
	offered map[unitEpoch]bool // released by the front, not yet given away
	given   map[unitEpoch]bool // reassigned by the coordinator
	// away holds the units that were taken from the lost target, with the
	// epoch under which they may return.
	away  map[table.Unit]uint32
	ended map[unitEpoch]bool // units of a target that was reported as ended
}

type unitEpoch struct {
	unit  table.Unit
	epoch uint32
}

// document is a table as far as it concerns the target.
type document struct {
	rev     int
	units   map[table.Unit]uint32
	leaving map[table.Unit]bool
	release bool
	lost    bool
}

type daemon struct {
	clock    proptest.Clock
	m        *Machine
	epoch    uint64
	doc      document
	lease    time.Duration // real end of its authority
	paused   bool
	released bool
	flying   uint64
	open     []request
}

type request struct {
	token Token
	began time.Duration
}

// message is on its way between a front and the target.
type message struct {
	front    *daemon
	toTarget bool
	deliver  func()
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, marked: map[table.Unit]int{}, offered: map[unitEpoch]bool{}, given: map[unitEpoch]bool{}, away: map[table.Unit]uint32{}}
	w.cfg = Config{
		Service: "s", Target: "t", ChecksGrants: rapid.Bool().Draw(t, "checks"),
		LongestDeadline: rapid.SampledFrom([]time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}).Draw(t, "deadline"),
	}
	w.target = &target{w: w, clock: proptest.DrawClock(t, "target")}
	w.doc = document{rev: 1, units: map[table.Unit]uint32{{Shard: 1}: 1, {Shard: 2}: 1, {Hot: true, Hash: 3}: 1}}
	w.publish(func() {})
	w.recruit()
	w.succeed()
	return w
}

// publish writes the next table. Offers count only under the present table.
func (w *world) publish(change func()) {
	next := document{rev: w.doc.rev + 1, units: map[table.Unit]uint32{}, leaving: map[table.Unit]bool{}, release: w.doc.release, lost: w.doc.lost}
	for u, e := range w.doc.units {
		next.units[u] = e
	}
	for u := range w.doc.leaving {
		next.leaving[u] = true
	}
	w.doc = next
	change()
	clear(w.offered)
}

// recruit gets a new standby. A front that was released may become it.
func (w *world) recruit() {
	d := &daemon{clock: proptest.DrawClock(w.t, "front"), m: New(w.cfg), doc: w.doc}
	if n := len(w.fronts) - 2; n >= 0 && w.fronts[n].released && rapid.Bool().Draw(w.t, "again") {
		d.clock, d.m = w.fronts[n].clock, w.fronts[n].m
		w.fronts = slices.Delete(w.fronts, n, n+1)
	}
	w.fronts = append(w.fronts, d)
}

func (w *world) front() *daemon   { return w.fronts[len(w.fronts)-2] }
func (w *world) standby() *daemon { return w.fronts[len(w.fronts)-1] }

// succeed makes the standby the front by the table that it knows.
func (w *world) succeed() {
	d := w.standby()
	w.epoch++
	d.epoch = w.epoch
	w.ended = map[unitEpoch]bool{}
	w.publish(func() { w.doc.release = false })
	w.assign(d)
	w.renew(d)
	w.recruit()
}

func (w *world) assign(d *daemon) {
	if d.epoch == 0 {
		return
	}
	a := Assignment{Front: true, Epoch: d.epoch, Units: d.doc.units, Lost: d.doc.lost, Release: d.doc.release && d == w.front()}
	for u := range d.doc.leaving {
		a.Leaving = append(a.Leaving, u)
	}
	d.m.Assign(a, w.at(d))
}

func (w *world) at(d *daemon) time.Time { return d.clock.At(w.now) }

func (w *world) renew(d *daemon) { d.lease = w.now + 900*time.Millisecond }

func (w *world) ask(d *daemon, deliver func()) {
	w.network = append(w.network, message{front: d, toTarget: true, deliver: deliver})
}

func (w *world) answer(d *daemon, deliver func()) {
	w.network = append(w.network, message{front: d, deliver: deliver})
}

// tick makes a front start its next exchange.
func (w *world) tick(d *daemon) {
	if d.paused || d.epoch == 0 {
		return
	}
	a := d.m.Tick(w.at(d), d.clock.At(d.lease))
	if !a.Send {
		return
	}
	d.flying = a.Seq
	w.ask(d, func() {
		r := w.target.grant(a.Request)
		w.answer(d, func() {
			if a.Probe {
				d.m.ProbeReply(a.Seq, w.at(d))
				return
			}
			d.m.GrantReply(a.Seq, r, w.at(d))
		})
	})
}

// begin dispatches a request if the front may.
func (w *world) begin(d *daemon, u table.Unit) {
	if d.paused {
		return
	}
	token, err := d.m.Begin(u, w.at(d), d.clock.At(d.lease))
	if err != nil {
		return
	}
	if w.now >= d.lease || d.released {
		w.t.Fatalf("dispatch by front %d without authority or after its release", d.epoch)
	}
	front, epoch := d.m.Epochs(u)
	d.open = append(d.open, request{token, w.now})
	w.ask(d, func() {
		result := w.target.request(front, unitEpoch{u, epoch})
		w.answer(d, func() { w.finish(d, token, result) })
	})
	if !w.cfg.ChecksGrants {
		// Only a target that checks is safe from requests that arrive late.
		w.network[len(w.network)-1].deliver()
		w.network = slices.Delete(w.network, len(w.network)-2, len(w.network)-1)
	}
}

func (w *world) finish(d *daemon, token Token, r Result) {
	d.open = slices.DeleteFunc(d.open, func(o request) bool { return o.token == token })
	d.m.Ended(token, r, w.at(d))
}

// report gives the front's report to the coordinator.
func (w *world) report() {
	d := w.front()
	if d.paused {
		return
	}
	r := d.m.Report(w.at(d))
	if r.Health == peer.TargetEnded {
		w.end(d)
	}
	if r.ReleasedFront {
		w.release(d)
		w.succeed()
		return
	}
	if d.doc.rev != w.doc.rev {
		return
	}
	for _, s := range r.ReleasedShards {
		w.offer(table.Unit{Shard: s})
	}
	for _, h := range r.ReleasedHot {
		w.offer(table.Unit{Hash: h, Hot: true})
	}
	if r.Health == peer.TargetEnded && !w.doc.lost {
		w.publish(func() { w.doc.lost = true })
		w.markAll()
		return
	}
	if r.Health == peer.TargetEnded {
		w.offered = maps.Clone(w.ended)
	}
	if w.doc.lost && r.Health == peer.TargetServing {
		w.publish(w.restore)
	}
}

// release asserts that a planned stop interrupts no request.
func (w *world) release(d *daemon) {
	d.released = true
	if w.cfg.ChecksGrants {
		return // such a target refuses what arrives late; its front need not wait
	}
	for _, o := range d.open {
		if w.now-o.began < w.cfg.LongestDeadline {
			w.t.Fatalf("front %d was released while a request ran", d.epoch)
		}
	}
}

// end asserts that a target that is reported as ended holds no grant.
func (w *world) end(d *daemon) {
	if w.cfg.ChecksGrants && w.target.holds() {
		w.t.Fatalf("target reported as ended holds a grant for %d ms", w.target.expires-w.target.ms())
	}
	for u, e := range d.doc.units {
		w.ended[unitEpoch{u, e}] = true
	}
}

// offer takes note of a released unit. One that is not marked as leaving only
// needs a new epoch.
func (w *world) offer(u table.Unit) {
	if w.doc.leaving[u] || w.doc.lost {
		w.offered[unitEpoch{u, w.doc.units[u]}] = true
		return
	}
	w.publish(func() { w.doc.units[u]++ })
}

func (w *world) restore() {
	w.doc.lost = false
	maps.Copy(w.doc.units, w.away)
	clear(w.away)
	for u := range w.doc.units {
		w.doc.units[u]++
	}
	clear(w.doc.leaving)
}

// reassign gives released units away once the standby knows that they are
// marked, and lets them return under a new epoch.
func (w *world) reassign() {
	for _, o := range slices.SortedFunc(maps.Keys(w.offered), compareOffers) {
		if w.doc.units[o.unit] != o.epoch || w.standby().doc.rev < w.marked[o.unit] {
			continue
		}
		w.given[o] = true
		w.target.stopped(o)
		w.publish(func() { w.giveAway(o) })
		return
	}
}

// giveAway lets a unit return under a new epoch: at once, or when the target
// is no longer lost.
func (w *world) giveAway(o unitEpoch) {
	delete(w.doc.leaving, o.unit)
	if !w.doc.lost {
		w.doc.units[o.unit]++
		return
	}
	w.away[o.unit] = o.epoch + 1
	delete(w.doc.units, o.unit)
}

func compareOffers(a, b unitEpoch) int { return compareUnits(a.unit, b.unit) }

// change makes the coordinator decide something.
func (w *world) change() {
	u := w.unit()
	switch rapid.IntRange(0, 3).Draw(w.t, "change") {
	case 0, 1:
		w.publish(func() { w.doc.leaving[u] = !w.doc.leaving[u] })
		if !w.doc.leaving[u] {
			w.publish(func() { delete(w.doc.leaving, u) })
		}
		w.marked[u] = w.doc.rev
	case 2:
		w.publish(func() { w.doc.release = true })
	case 3:
		w.publish(func() { w.doc.lost = true })
		w.markAll()
	}
}

func (w *world) markAll() {
	for u := range w.doc.units {
		w.marked[u] = w.doc.rev
	}
}

func (w *world) unit() table.Unit {
	return rapid.SampledFrom([]table.Unit{{Shard: 1}, {Shard: 2}, {Hot: true, Hash: 3}}).Draw(w.t, "unit")
}

func (w *world) apply(d *daemon) {
	if d.paused {
		return
	}
	d.doc = w.doc
	w.assign(d)
}
