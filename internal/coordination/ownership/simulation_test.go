package ownership

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// simulation simulates a store, targets and the coordinators that run an Engine, in
// virtual time.
type simulation struct {
	t          *rapid.T
	now        time.Duration
	stored     ranges.Table
	engine     *Engine
	term       int // number of the current engine
	targets    map[target.Incarnation]*fakeTarget
	registered []Target
	events     []event
	writes     int
	// faulty enables random failures of calls and writes.
	faulty   bool
	config   Config
	restored restoration
	// callDuration is the time after which the call of a grant ends.
	callDuration time.Duration
}

type event struct {
	at time.Duration
	do func()
}

// fakeTarget holds keys as the platform's targets do. The duration of a grant counts from
// the time that is passed to grant, on a clock that may run slow.
type fakeTarget struct {
	incarnation target.Incarnation
	clockDrift  float64
	alive       bool
	spans       []heldSpan
	// released lists the spans that were released. A grant under the fence of the release
	// or a lower one does not grant their keys again.
	released []ranges.Span
}

type heldSpan struct {
	from, to uint16
	fence    uint64
	until    time.Duration
}

func (f *fakeTarget) grant(g Grant, arrived time.Duration) Result {
	for _, h := range f.spans {
		if h.from <= g.Span.To && g.Span.From <= h.to && h.fence > g.Span.Fence {
			return Fenced
		}
	}
	f.remove(g.Span)
	until := arrived + time.Duration(float64(g.Duration)*(1+f.clockDrift))
	f.spans = append(f.spans, heldSpan{g.Span.From, g.Span.To, g.Span.Fence, until})
	for _, r := range f.released {
		if r.Fence >= g.Span.Fence {
			f.remove(ranges.Span{From: r.From, To: r.To, Fence: g.Span.Fence})
		}
	}
	return OK
}

// release releases the keys of a span.
func (f *fakeTarget) release(s ranges.Span) {
	f.remove(s)
	f.released = append(f.released, s)
}

// remove drops the keys of a span that are held under its fence or a lower one.
func (f *fakeTarget) remove(s ranges.Span) {
	var rest []heldSpan
	for _, h := range f.spans {
		if h.to < s.From || h.from > s.To || h.fence > s.Fence {
			rest = append(rest, h)
			continue
		}
		if h.from < s.From {
			rest = append(rest, heldSpan{h.from, s.From - 1, h.fence, h.until})
		}
		if h.to > s.To {
			rest = append(rest, heldSpan{s.To + 1, h.to, h.fence, h.until})
		}
	}
	f.spans = rest
}

// Durations of the calls of grants. Grants of one second need fastCalls.
const (
	slowCalls = 600 * time.Millisecond
	fastCalls = 250 * time.Millisecond
)

// simulationConfigs are the settings that engines run with: those of the users' platform,
// and those of the targets of the router's own protocol.
var simulationConfigs = []Config{
	{MaxGrantDuration: 10 * time.Second},
	{MaxGrantDuration: 10 * time.Second, HigherFenceSupersedes: true},
	{
		MaxGrantDuration: 10 * time.Second, GrantDuration: time.Second, RenewInterval: 300 * time.Millisecond, UnresponsiveTimeout: 600 * time.Millisecond,
		AbsoluteExpiry: true, HigherFenceSupersedes: true, GrantsNameIncarnation: true,
	},
}

func newSimulation(t *rapid.T, faulty bool) *simulation {
	w := &simulation{t: t, stored: ranges.Empty(), targets: make(map[target.Incarnation]*fakeTarget), faulty: faulty}
	w.config = rapid.SampledFrom(simulationConfigs).Draw(t, "config")
	w.callDuration = slowCalls
	if w.config.AbsoluteExpiry {
		w.callDuration = fastCalls
	}
	for range rapid.IntRange(2, 5).Draw(t, "targets") {
		w.join()
	}
	w.elect()
	return w
}

func (w *simulation) join() {
	id := fmt.Sprintf("t%d", len(w.targets))
	w.add(target.Incarnation{ID: id, Epoch: 1})
}

func (w *simulation) add(incarnation target.Incarnation) {
	w.start(incarnation)
	w.registered = append(w.registered, Target{Incarnation: incarnation, Capacity: 3})
}

func (w *simulation) start(incarnation target.Incarnation) {
	slow := float64(rapid.IntRange(0, 20).Draw(w.t, "slow")) / 1000
	w.targets[incarnation] = &fakeTarget{incarnation: incarnation, clockDrift: slow, alive: true}
}

// handOver starts the engine of another coordinator, which gets the expiries of the
// grants of the previous one.
func (w *simulation) handOver() {
	expiries := w.engine.GrantExpiries(w.now)
	w.elect()
	w.engine.ApplyGrantExpiries(expiries, w.now)
}

// elect starts the engine of another coordinator, which knows only the stored table.
func (w *simulation) elect() {
	w.term++
	w.engine = w.newEngine()
	w.engine.SetTargets(w.registered, w.now)
}

func (w *simulation) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
}

// drawFault reports whether a fault with the given probability happens.
func (w *simulation) drawFault(percent int, name string) bool {
	return w.faulty && rapid.IntRange(0, 99).Draw(w.t, name) < percent
}

func (w *simulation) delay(limit time.Duration, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/time.Millisecond)).Draw(w.t, name)) * time.Millisecond
}

// step advances the time by one tick, and runs the events and actions that are due.
func (w *simulation) step() {
	w.now += 50 * time.Millisecond
	for {
		i := slices.IndexFunc(w.events, func(e event) bool { return e.at <= w.now })
		if i < 0 {
			break
		}
		do := w.events[i].do
		w.events = slices.Delete(w.events, i, i+1)
		do()
	}
	e := w.engine
	term := w.term
	e.SetTargets(w.registered, w.now)
	a := e.Tick(w.now)
	for _, g := range a.Grants {
		w.sendGrant(e, term, g)
	}
	for _, r := range a.Releases {
		w.sendRelease(e, term, r)
	}
	if a.Table != nil {
		w.write(e, term, *a.Table)
	}
}

// restart ends an incarnation of a target and starts the next one at the same address,
// which is registered later.
func (w *simulation) restart(incarnation target.Incarnation) {
	next := target.Incarnation{ID: incarnation.ID, Epoch: incarnation.Epoch + 1}
	w.targets[incarnation].alive = false
	w.start(next)
	w.after(w.delay(6*time.Second, "registered after"), func() {
		if i := slices.IndexFunc(w.registered, func(t Target) bool { return t.Incarnation.ID == next.ID }); i >= 0 && w.registered[i].Incarnation.Epoch < next.Epoch {
			w.registered[i] = Target{Incarnation: next, Capacity: 3}
		}
	})
}

// receiver returns the target that receives a call for an incarnation. Unless calls name
// the incarnation, the incarnation that runs now receives the call.
func (w *simulation) receiver(incarnation target.Incarnation) *fakeTarget {
	f := w.targets[incarnation]
	for next := incarnation; !w.config.GrantsNameIncarnation && !f.alive; {
		next.Epoch++
		later, ok := w.targets[next]
		if !ok {
			break
		}
		f = later
	}
	return f
}

// sendGrant delivers a grant within the duration of its call. The grant or its answer may
// be lost, or the grant may take effect late, with its duration counting from its arrival
// or, with AbsoluteExpiry, from its sending.
func (w *simulation) sendGrant(e *Engine, term int, g Grant) {
	sent := w.now
	// countsFrom returns the time from which the duration of a grant counts.
	countsFrom := func(arrived time.Duration) time.Duration {
		if w.config.AbsoluteExpiry {
			return sent
		}
		return arrived
	}
	result := Failed
	answer := func() {
		if w.term == term {
			e.HandleGrantResult(g, result, w.now)
		}
	}
	travel := w.delay(w.callDuration*5/6, "grant travel")
	switch {
	case w.drawFault(15, "grant lost"):
		if rapid.Bool().Draw(w.t, "not sent") {
			result = NotSent
		}
	case w.drawFault(20, "grant late"):
		w.after(travel, func() {
			arrived, f := w.now, w.receiver(g.Span.Incarnation())
			w.after(w.delay(12*time.Second, "late by"), func() { f.grant(g, countsFrom(arrived)) })
		})
	default:
		silent := w.drawFault(15, "grant answer lost")
		w.after(travel, func() {
			f := w.receiver(g.Span.Incarnation())
			if r := f.grant(g, countsFrom(w.now)); !silent && f.alive {
				result = r
			}
		})
	}
	w.after(w.callDuration, answer)
}

// sendRelease delivers a release. It may be lost, or take effect late.
func (w *simulation) sendRelease(e *Engine, term int, r Release) {
	f := w.receiver(r.Span.Incarnation())
	result, handover := Failed, ""
	late := w.drawFault(20, "release late")
	lost := w.drawFault(15, "release lost")
	work := w.delay(2*time.Second, "running work")
	if late {
		w.after(w.delay(12*time.Second, "release late by"), func() { f.release(r.Span) })
	}
	if !late && !lost && f.alive {
		f.release(r.Span)
		result, handover = OK, "handover"
	}
	w.after(work, func() {
		if w.term == term {
			e.HandleReleaseResult(r, result, handover, w.now)
		}
	})
}

// write stores a table if the stored table is still the table that the engine knows. The
// write may take effect after its result was reported.
func (w *simulation) write(e *Engine, term int, table ranges.Table) {
	w.writes++
	table.WriteID = fmt.Sprint(term, "-", w.writes)
	base, number := w.expectedWriter(), w.writes
	attempt := func() {
		if w.term == term && w.stored.WriteID == base {
			if err := table.Validate(); err != nil {
				w.t.Fatalf("table written: %v", err)
			}
			w.stored = table.Clone()
			w.restored.tables = append(w.restored.tables, table.Clone())
		}
	}
	if w.drawFault(15, "write late") {
		w.after(w.delay(4*time.Second, "write late by"), attempt)
	} else {
		w.after(w.delay(200*time.Millisecond, "write travel"), attempt)
	}
	w.after(250*time.Millisecond, func() {
		if w.term == term && w.writes == number && e.pending != nil {
			w.reportWrite(e, table)
		}
	})
}

// checkOwners fails if two running targets hold the same key.
func (w *simulation) checkOwners() {
	type owned struct {
		heldSpan
		by *fakeTarget
	}
	var all []owned
	for _, f := range w.targets {
		if !f.alive {
			continue
		}
		for _, h := range f.spans {
			if h.until > w.now {
				all = append(all, owned{h, f})
			}
		}
	}
	slices.SortFunc(all, func(a, b owned) int { return int(a.from) - int(b.from) })
	for i := 1; i < len(all); i++ {
		a, b := all[i-1], all[i]
		if b.from <= a.to && a.by != b.by {
			w.t.Fatalf("at %v keys %d-%d are held by %s (fence %d) and %s (fence %d)",
				w.now, b.from, min(a.to, b.to), a.by.incarnation.ID, a.fence, b.by.incarnation.ID, b.fence)
		}
	}
}

// checkReleased fails if a leaving target still owns keys, or some keys are not served.
func (w *simulation) checkReleased(leaving target.Incarnation) {
	for _, s := range w.stored.Spans {
		if s.Incarnation() == leaving {
			w.t.Fatalf("keys %d-%d still belong to the leaving target", s.From, s.To)
		}
	}
	if n := w.servedKeys(); n != ranges.KeyCount {
		w.t.Fatalf("%d of %d keys served", n, ranges.KeyCount)
	}
}

// servedKeys returns the number of keys that are held by their owner in the stored table.
func (w *simulation) servedKeys() int {
	n := 0
	for _, s := range w.stored.Spans {
		f := w.targets[s.Incarnation()]
		if f == nil || !f.alive {
			continue
		}
		for _, h := range f.spans {
			if h.until > w.now && h.from <= s.To && s.From <= h.to {
				n += int(min(h.to, s.To)) - int(max(h.from, s.From)) + 1
			}
		}
	}
	return n
}
