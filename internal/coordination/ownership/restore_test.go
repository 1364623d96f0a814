package ownership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

// restoration is the state of a simulated store that came back from a copy.
type restoration struct {
	era    int64
	roseAt time.Duration
	// tables are all tables since the last restoration, the oldest first.
	tables []ranges.Table
	// base is the writer of the table that the engine expects in the store, if that is not the table
	// of the engine.
	base *string
}

// restore brings the store back from a copy with an earlier table. The coordinator keeps its engine,
// or another one is elected.
func (w *simulation) restore() {
	i := rapid.IntRange(0, len(w.restored.tables)).Draw(w.t, "copy")
	w.stored = ranges.Empty()
	if i > 0 {
		w.stored = w.restored.tables[i-1].Clone()
	}
	w.restored.tables = w.restored.tables[:i]
	w.restored.era++
	w.restored.roseAt = w.now
	if rapid.Bool().Draw(w.t, "coordinator lost") {
		w.elect()
		return
	}
	w.restored.base = &w.stored.WriteID
	w.engine.RewriteAfterLoss(ranges.LowestFence(w.restored.era))
}

// newEngine returns the engine of a coordinator that knows only the stored table.
func (w *simulation) newEngine() *Engine {
	w.restored.base = nil
	until := w.now
	if w.restored.era > 0 && !w.stored.WrittenIn(w.restored.era) {
		until = max(w.now, w.restored.roseAt+w.config.LongestGrant())
	}
	return NewAfterLoss(w.config, w.stored.Clone(), ranges.LowestFence(w.restored.era), until, w.now)
}

// expectedWriter returns the writer of the table that the engine expects in the store.
func (w *simulation) expectedWriter() string {
	if w.restored.base != nil {
		return *w.restored.base
	}
	return w.engine.table.WriteID
}

// reportWrite tells the engine the result of a write.
func (w *simulation) reportWrite(e *Engine, table ranges.Table) {
	if !w.stored.WrittenIn(w.restored.era) {
		w.restored.base = &w.stored.WriteID
		e.HandleWriteResult(false, e.Table(), w.now)
		return
	}
	w.restored.base = nil
	*e.pending = table
	e.HandleWriteResult(w.stored.WriteID == table.WriteID, w.stored.Clone(), w.now)
}

// Guards against two owners of a key, and against fences that targets have seen before, when the
// store loses tables whose grants were sent: at rest, in moves, together with the coordinator, and
// several times in a row.
func TestNeverTwoOwnersAfterLoss(t *testing.T) {
	proptest.Check(t, 11, 300, func(t *rapid.T) {
		w := newSimulation(t, rapid.Bool().Draw(t, "faulty"))
		for i := range 500 {
			switch {
			case i%120 == 60 || i%120 == 70 && rapid.Bool().Draw(t, "twice"):
				w.restore()
			case i%15 == 0:
				w.injectDisturbance()
			}
			w.step()
			w.checkOwners()
		}
	})
}

// Guards against keys that stay without an owner after the store has lost tables: if the coordinator
// is lost with them, the grants of the earlier one have to expire first.
func TestAllKeysServedAfterLoss(t *testing.T) {
	proptest.Check(t, 11, 100, func(t *rapid.T) {
		w := newFaultFreeSimulation(t)
		highest := w.stored.Fence
		w.restore()
		limit := 20 * 2
		if w.term > 1 {
			limit += int(w.config.LongestGrant() / (50 * time.Millisecond))
		}
		for range limit {
			w.step()
			w.checkOwners()
		}
		if n := w.servedKeys(); n != ranges.KeyCount || w.stored.Fence <= highest {
			t.Fatalf("%d of %d keys served, fence %d after %d", n, ranges.KeyCount, w.stored.Fence, highest)
		}
	})
}
