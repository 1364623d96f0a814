package front

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
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
	ended   map[unitEpoch]bool // units of a target that was reported as ended
	// away holds the units that were taken from the lost target, with the
	// epoch under which they may return.
	away map[table.Unit]uint32
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
		LongestDeadline: time.Duration(rapid.SampledFrom([]int{300, 1500}).Draw(t, "deadline")) * time.Millisecond,
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
	if n := len(w.fronts) - 2; n >= 0 && w.fronts[n].released {
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
		w.markLost()
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
	for u, e := range w.away {
		w.doc.units[u] = e
	}
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
		w.markLost()
	}
}

func (w *world) markLost() {
	w.publish(func() { w.doc.lost = true })
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

// target is a target that checks grants, or runs everything if it does not.
type target struct {
	w       *world
	clock   proptest.Clock
	boot    int
	epoch   uint64
	version uint64
	units   map[table.Unit]uint32
	expires int64
	frozen  bool
	running map[unitEpoch]time.Time // end of the last request
}

func (g *target) now() time.Time { return g.clock.At(g.w.now) }

func (g *target) ms() int64 { return g.now().UnixMilli() }

func (g *target) holds() bool { return g.ms() < g.expires }

func (g *target) restart() {
	*g = target{w: g.w, clock: proptest.DrawClock(g.w.t, "restarted"), boot: g.boot + 1}
}

func (g *target) grant(r grant.Request) grant.Reply {
	boot := string(rune('a' + g.boot))
	newer := r.FrontEpoch > g.epoch || r.FrontEpoch == g.epoch && r.Version > g.version
	same := r.FrontEpoch == g.epoch && r.Version == g.version
	ok := r.ExpiresMs > g.ms() && r.Boot == boot && (r.Renew && same || !r.Renew && newer)
	if ok {
		g.epoch, g.version, g.expires = r.FrontEpoch, r.Version, r.ExpiresMs
	}
	if ok && !r.Renew {
		g.units = map[table.Unit]uint32{}
		for _, s := range r.Shards {
			g.units[table.Unit{Shard: s.Shard}] = s.Epoch
		}
		for _, h := range r.HotKeys {
			g.units[table.Unit{Hot: true, Hash: uint64(h.Hash[15] - '0')}] = h.Epoch
		}
	}
	return grant.Reply{Accepted: ok, FrontEpoch: g.epoch, Version: g.version, NowMs: g.ms(), Boot: boot, Running: g.load()}
}

func (g *target) load() int {
	n := 0
	for _, end := range g.running {
		if g.now().Before(end) {
			n++
		}
	}
	return n
}

func (g *target) request(front uint64, u unitEpoch) Result {
	if g.w.cfg.ChecksGrants && (front != g.epoch || g.units[u.unit] != u.epoch || !g.holds()) {
		return Rejected
	}
	if g.w.given[u] {
		g.w.t.Fatalf("request of %s epoch %d started after it was given away", u.unit, u.epoch)
	}
	if g.running == nil {
		g.running = map[unitEpoch]time.Time{}
	}
	length := rapid.SampledFrom([]time.Duration{0, g.w.cfg.LongestDeadline}).Draw(g.w.t, "length")
	g.running[u] = latest(g.running[u], g.now().Add(length))
	if length > 0 {
		return Silent
	}
	return Success
}

// stopped asserts that no request of the unit runs at a target that does not
// check grants.
func (g *target) stopped(u unitEpoch) {
	if left := g.running[u].Sub(g.now()); !g.w.cfg.ChecksGrants && left > 0 {
		g.w.t.Fatalf("%s epoch %d given away while a request runs for %s", u.unit, u.epoch, left)
	}
}

// healthy lets everything that is not paused or frozen work swiftly.
func (w *world) healthy(ticks int) {
	delayed := w.network
	for range ticks {
		w.now += 20 * time.Millisecond
		w.network = nil
		for _, d := range w.fronts {
			w.tick(d)
		}
		if d := w.front(); !d.paused {
			w.renew(d)
		}
		w.flush()
		w.check()
	}
	w.network = delayed
}

func (w *world) flush() {
	for len(w.network) > 0 {
		m := w.network[0]
		w.network = w.network[1:]
		if w.reaches(m) {
			m.deliver()
		}
	}
}

func (w *world) reaches(m message) bool {
	if m.front == w.cut || m.toTarget && w.target.frozen {
		return false
	}
	return m.toTarget || !m.front.paused
}

// deliver delivers, repeats or loses one message.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	w.network = w.network[max(0, len(w.network)-8):]
	k := rapid.IntRange(0, len(w.network)-1).Draw(w.t, "message")
	m := w.network[k]
	fate := rapid.IntRange(0, 3).Draw(w.t, "fate")
	if fate != 0 {
		w.network = slices.Delete(w.network, k, k+1)
	}
	if fate != 1 && (m.toTarget && !w.target.frozen || !m.toTarget && !m.front.paused) {
		m.deliver()
	}
}

// fail makes a request or an exchange of the front end without an answer.
func (w *world) fail(d *daemon) {
	if len(d.open) > 0 {
		w.finish(d, d.open[0].token, rapid.SampledFrom([]Result{Failure, Broken, Silent, Cancelled}).Draw(w.t, "result"))
		return
	}
	d.m.GrantFailed(d.flying, rapid.SampledFrom([]FailureKind{ExchangeRefused, ExchangeOther}).Draw(w.t, "kind"), w.at(d))
}

// slow makes an exchange of the front take some time on its way to the target.
func (w *world) slow(d *daemon) {
	delayed := w.network
	w.network = nil
	w.tick(d)
	w.now += time.Duration(rapid.IntRange(0, 240).Draw(w.t, "ms")) * time.Millisecond
	w.flush()
	w.tick(d)
	w.flush()
	w.network = delayed
}

// silence cuts the front off from the target until just before the end of the
// target's grant.
func (w *world) silence() {
	w.cut = w.front()
	for range min(70, max(0, w.target.expires-w.target.ms())/20) {
		w.healthy(1)
	}
	w.now += time.Duration(max(0, min(20, w.target.expires-w.target.ms()-1))) * time.Millisecond
	w.tick(w.front())
	w.cut = nil
	w.report()
}

// move moves a unit while one of its requests runs or is delayed, perhaps with a
// change of the front, and perhaps while grants do not arrive.
func (w *world) move() {
	u := w.unit()
	w.begin(w.front(), u)
	w.publish(func() { w.doc.leaving[u] = true })
	w.marked[u] = w.doc.rev
	w.apply(w.front())
	w.apply(w.standby())
	if rapid.IntRange(0, 2).Draw(w.t, "succeed") == 0 {
		w.now = max(w.now, w.front().lease)
		w.succeed()
	}
	longest := int(w.cfg.LongestDeadline / (20 * time.Millisecond))
	ticks := rapid.SampledFrom([]int{0, 1, 10, 20, longest, longest + 1}).Draw(w.t, "ticks")
	w.healthy(max(0, ticks-1))
	if rapid.Bool().Draw(w.t, "cut") {
		w.cut = w.front()
	}
	w.healthy(min(1, ticks))
	w.report()
	w.check()
	w.cut = nil
	w.deliver()
}

// halfway makes the front exchange something and loses the target's answer.
func (w *world) halfway() {
	delayed := w.network
	w.network = nil
	w.tick(w.front())
	for _, m := range w.network {
		if w.reaches(m) {
			m.deliver()
		}
	}
	w.network = delayed
}

// govern carries the coordinator's decisions out, not always everywhere.
func (w *world) govern() {
	reached := rapid.IntRange(0, 5).Draw(w.t, "reached")
	if reached != 0 {
		w.apply(w.front())
	}
	if reached > 1 {
		w.apply(w.standby())
	}
	w.healthy(rapid.IntRange(0, 5).Draw(w.t, "ticks"))
	w.report()
}

func (w *world) step() {
	d := w.fronts[rapid.IntRange(0, len(w.fronts)-1).Draw(w.t, "daemon")]
	switch rapid.IntRange(0, 28).Draw(w.t, "step") {
	case 0, 1:
		w.healthy(rapid.IntRange(1, 120).Draw(w.t, "ticks"))
	case 2:
		w.now += time.Duration(rapid.IntRange(1, 400).Draw(w.t, "ms")) * time.Millisecond
	case 3:
		w.silence()
	case 4:
		w.slow(w.front())
	case 5, 6:
		w.tick(d)
	case 7, 8, 9:
		w.deliver()
	case 10, 11, 12, 13:
		w.begin(d, w.unit())
	case 14:
		w.fail(d)
	case 15:
		w.apply(d)
	case 16, 17:
		w.change()
		w.govern()
	case 18, 19, 20:
		w.govern()
	case 21:
		w.target.frozen = !w.target.frozen && w.cfg.ChecksGrants
	case 22:
		w.target.restart()
	case 23:
		d.paused = !d.paused
	case 24:
		if w.now >= w.front().lease {
			w.succeed()
		}
	case 25, 26, 27:
		w.move()
	case 28:
		w.change()
		w.apply(w.front())
		w.halfway()
	}
}

// check asserts that a target is granted no units that it had when it was
// reported as ended.
func (w *world) check() {
	w.reassign()
	if !w.cfg.ChecksGrants || !w.target.holds() {
		return
	}
	for u, e := range w.target.units {
		if w.ended[unitEpoch{u, e}] {
			w.t.Fatalf("target reported as ended is granted %s epoch %d again", u, e)
		}
	}
}

// settle lets everything work and asserts that moves end and all units are
// served again.
func (w *world) settle() {
	w.target.frozen = false
	w.fronts = w.fronts[len(w.fronts)-2:]
	for range 70 {
		for _, d := range w.fronts {
			d.paused = false
			w.apply(d)
		}
		w.healthy(10)
		w.report()
		w.fronts = w.fronts[len(w.fronts)-2:]
	}
	d := w.front()
	if len(w.doc.leaving) > 0 || w.doc.lost || w.doc.release {
		w.t.Fatalf("not carried out: %+v", w.doc)
	}
	for u := range w.doc.units {
		if err := d.m.CanDispatch(u, w.at(d), d.clock.At(d.lease)); err != nil {
			w.t.Fatalf("unit %s is not served: %v", u, err)
		}
	}
}

// TestFrontGivesUpBeforeOthersTakeOver guards against two targets that run
// requests of the same key: a unit, front or target given up while a request
// can still start under it. It also guards against moves and losses that never
// come to an end.
func TestFrontGivesUpBeforeOthersTakeOver(t *testing.T) {
	proptest.Check(t, 3, 3000, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
			w.check()
		}
		w.settle()
	})
}
