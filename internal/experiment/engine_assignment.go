package experiment

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

const (
	// tick is how often the coordinator looks at its spans.
	tick = 50 * time.Millisecond
	// settleTicks give the engine a minute of constant load.
	settleTicks = 1200
	// requestRate is the number of requests per second that the load stands for.
	requestRate = 2000
)

// owned is an assignment of the ownership engine. All its calls succeed at once.
type owned struct {
	engine *ownership.Engine
	now    time.Duration
	table  ranges.Table
	// moves is the number of spans that changed their owner.
	moves int
	// ticks is how long the engine is given to settle.
	ticks int
}

// newOwned lets the engine assign all keys to the targets, without load.
func newOwned(f fleet, ticks int) *owned {
	const maxHold = 10 * time.Second
	o := &owned{engine: ownership.New(ownership.Config{MaxGrantDuration: maxHold}, ranges.Empty(), 0), ticks: ticks}
	o.settle(f, nil)
	return o
}

// settle lets the engine act on a fleet under the load of keys. Nil is no load.
func (o *owned) settle(f fleet, keys []key) {
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

func (o *owned) step() {
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

func pointOf(hash uint64) uint16 { return uint16(hash >> 48) }

// owner returns the target of a key's hash.
func (o *owned) owner(hash uint64) string { return o.table.Lookup(pointOf(hash)).Owner }

// frozen is an assignment that no longer changes.
type frozen ranges.Table

func (f frozen) owner(hash uint64) string {
	t := ranges.Table(f)
	return t.Lookup(pointOf(hash)).Owner
}

// freeze returns the present assignment.
func (o *owned) freeze() frozen { return frozen(o.table.Clone()) }
