package front

import (
	"slices"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"pgregory.net/rapid"
)

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
		w.finish(d, d.open[0].token, rapid.SampledFrom([]Result{Broken, Silent, Cancelled}).Draw(w.t, "result"))
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
	if rapid.Bool().Draw(w.t, "give up") {
		w.fail(w.front())
	}
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

// handOver makes the front hand over to its standby.
func (w *world) handOver() {
	w.publish(func() { w.doc.release = true })
	w.apply(w.front())
	w.apply(w.standby())
	w.healthy(1)
	w.report()
	w.healthy(rapid.IntRange(0, 5).Draw(w.t, "ticks"))
}

// lose moves the units of a lost target, perhaps with a change of the front to
// a standby that knows no more than that the target is lost.
func (w *world) lose() {
	w.publish(func() { w.doc.lost = true })
	w.markAll()
	w.apply(w.front())
	w.apply(w.standby())
	w.healthy(rapid.IntRange(0, 80).Draw(w.t, "ticks"))
	w.report()
	w.check()
	if rapid.Bool().Draw(w.t, "succeed") {
		w.now = max(w.now, w.front().lease)
		w.succeed()
		w.healthy(120)
	}
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
	switch rapid.IntRange(0, 30).Draw(w.t, "step") {
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
		w.handOver()
	case 29:
		w.lose()
	case 30:
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
	proptest.Check(t, 3, 1500, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
			w.check()
		}
		w.settle()
	})
}
