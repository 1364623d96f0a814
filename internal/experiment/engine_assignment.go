package experiment

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

const (
	// tick is the interval between calls of Engine.Tick.
	tick = 50 * time.Millisecond
	// settleTicks is one minute of constant load.
	settleTicks = 1200
	// requestRate is the total number of requests per second of a service.
	requestRate = 2000
)

// engineAssignment is an assignment made by the ownership engine in virtual time. All
// calls to targets and all writes succeed at once.
type engineAssignment struct {
	engine *ownership.Engine
	now    time.Duration
	table  ranges.Table
	// moves counts the spans whose owner has changed.
	moves int
	// ticks is the number of ticks for which settle runs the engine.
	ticks int
}

// newEngineAssignment runs the engine without load, so that it assigns all keys to the targets.
func newEngineAssignment(f fleet, ticks int) *engineAssignment {
	const maxGrantDuration = 10 * time.Second
	o := &engineAssignment{engine: ownership.New(ownership.Config{MaxGrantDuration: maxGrantDuration}, ranges.Empty(), 0), ticks: ticks}
	o.settle(f, nil)
	return o
}

// settle runs the engine with the fleet under the load of the keys, which may be nil.
func (o *engineAssignment) settle(f fleet, keys []key) {
	list := make([]ownership.Target, len(f))
	for i, m := range f {
		list[i] = ownership.Target{Incarnation: target.Incarnation{ID: m.Name, Epoch: 1}, Capacity: float64(m.Capacity)}
	}
	load := make(map[uint16]float32)
	for _, k := range keys {
		load[pointOf(k.hash)] += float32(k.load * requestRate * tick.Seconds())
	}
	for range o.ticks {
		o.now += tick
		o.engine.SetTargets(list, o.now)
		for point, weight := range load {
			o.engine.AddLoad([]uint16{point}, weight)
		}
		o.step()
	}
}

func (o *engineAssignment) step() {
	a := o.engine.Tick(o.now)
	for _, g := range a.Grants {
		o.engine.HandleGrantResult(g, ownership.OK, o.now)
	}
	for _, r := range a.Releases {
		o.engine.HandleReleaseResult(r, ownership.OK, "", o.now)
	}
	if a.Table == nil {
		return
	}
	for _, s := range a.Table.Spans {
		if before := o.table; len(before.Spans) > 0 && before.Lookup(s.From).Owner != s.Owner {
			o.moves++
		}
	}
	o.table = *a.Table
	o.engine.HandleWriteResult(true, *a.Table, o.now)
}

// pointOf maps a key's hash to the engine's key space.
func pointOf(hash uint64) uint16 { return uint16(hash >> 48) }

// owner implements assigner.
func (o *engineAssignment) owner(hash uint64) string { return o.table.Lookup(pointOf(hash)).Owner }

// fixedAssignment is a copy of a table. Later moves of the engine do not change it.
type fixedAssignment ranges.Table

func (f fixedAssignment) owner(hash uint64) string {
	t := ranges.Table(f)
	return t.Lookup(pointOf(hash)).Owner
}

// snapshot returns a copy of the current assignment.
func (o *engineAssignment) snapshot() fixedAssignment { return fixedAssignment(o.table.Clone()) }
