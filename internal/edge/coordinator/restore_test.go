package coordinator

import (
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// restore brings the store back from a copy that has only the given table, and shows it to the
// daemon's view.
func (f *fixture) restore(t *testing.T, table *ranges.Table) {
	t.Helper()
	f.store.update(func() {
		era := topo.EraOf(f.store.rev) + 1
		f.store.rev = topo.Position(era, 2)
		f.store.entries = make(map[string]topo.Entry)
		if table != nil {
			value, err := table.Encode()
			if err != nil {
				t.Error(err)
			}
			key := view.RangesKey("s")
			f.store.entries[key] = topo.Entry{Key: key, Value: value, CreateRev: f.store.rev, ModRev: f.store.rev}
		}
	})
	f.showStore()
}

// showStore shows the store to the daemon's view.
func (f *fixture) showStore() {
	var entries []topo.Entry
	var era int64
	f.store.update(func() {
		era = topo.EraOf(f.store.rev)
		entries = []topo.Entry{{Key: "config", CreateRev: 1, ModRev: topo.Position(era, 1)}, {Key: "targets/t1", CreateRev: 1, ModRev: topo.Position(era, 1)}}
		for _, e := range f.store.entries {
			entries = append(entries, e)
		}
	})
	f.views.Apply(mirror.Change{Snapshot: true, Era: era, Entries: entries})
}

// storedTable returns the table in the store.
func (f *fixture) storedTable(t *testing.T) ranges.Table {
	t.Helper()
	var value []byte
	f.store.update(func() { value = f.store.entries[view.RangesKey("s")].Value })
	if value == nil {
		return ranges.Empty()
	}
	table, err := ranges.Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	return *table
}

// Guards against a coordinator that grants keys by a table that the store has lost, and against one
// that forgets its grants and leaves the keys without an owner until the longest of them has expired.
func TestCoordinatorWritesLostTableAgain(t *testing.T) {
	for name, lagging := range map[string]bool{"seen in the view": false, "seen by a renewal": true} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			before := f.storedTable(t)
			f.store.update(func() { f.store.down = true })
			if lagging {
				f.store.update(func() {
					f.store.down = false
					f.store.rev, f.store.entries = topo.Position(1, 2), make(map[string]topo.Entry)
				})
				time.Sleep(defaultLeaseTTL / 2)
			} else {
				f.restore(t, nil)
				time.Sleep(200 * time.Millisecond) // for the calls in flight
			}
			grants := f.grants.Load()
			time.Sleep(300 * time.Millisecond)
			if got := f.grants.Load(); got != grants {
				t.Errorf("%d grants before the table was written again", got-grants)
			}
			f.store.update(func() { f.store.down = false })
			f.showStore()
			resumed := time.Now()
			f.await(t, "grant after the restoration", func() bool { return f.grants.Load() > grants })
			if took := time.Since(resumed); took > 2*ownership.DefaultRenewInterval {
				t.Errorf("first grant %v after the restoration", took)
			}
			after := f.storedTable(t)
			if !after.WrittenIn(1) || after.Lookup(0).Owner != before.Lookup(0).Owner || after.Lookup(0).Fence != before.Lookup(0).Fence {
				t.Errorf("table has fence %d and key 0 in %+v, want a fence of the new era and %+v", after.Fence, after.Lookup(0), before.Lookup(0))
			}
		})
	}
}

// sameEra is the FirstEra of a daemon that starts with the fleet.
func sameEra(era int64) int64 { return era }

// Guards against keys without an owner for the longest grant after the fleet's first start on a store that
// was restored before.
func TestFirstStartWaitsForNoGrants(t *testing.T) {
	f := startWith(t, func(f *fixture, c *Config) {
		c.FirstEra = sameEra
		f.restore(t, nil)
	})
	f.await(t, "first grant", func() bool { return f.grants.Load() > 0 })
}

// Guards against two owners of a key: a coordinator that does not know the grants of the earlier one,
// because that was killed when the store was restored, must not grant until they have expired. That
// also holds for a daemon that has started since, with a table of the copy or without one.
func TestSuccessorWaitsForUnknownGrants(t *testing.T) {
	older := ranges.Empty()
	older.Assign(0, ranges.MaxKey, target.Incarnation{ID: "t1", Epoch: 1})
	for name, c := range map[string]struct {
		table    *ranges.Table
		fleetSaw bool
		firstEra func(int64) int64
	}{
		"older table":                              {table: &older, firstEra: sameEra},
		"no table, an announced daemon tells":      {fleetSaw: true, firstEra: sameEra},
		"no table, all daemons have started again": {firstEra: func(int64) int64 { return 0 }},
		"no table, nothing is known of the start":  {},
	} {
		t.Run(name, func(t *testing.T) {
			table, fleetSaw, firstEra := c.table, c.fleetSaw, c.firstEra
			var wait time.Duration
			f := startWith(t, func(f *fixture, c *Config) {
				c.Grants.MaxGrantDuration = time.Second
				c.FleetSawEarlierEra, c.FirstEra = func(*view.View) bool { return fleetSaw }, firstEra
				wait = defaultLeaseTTL + c.Grants.LongestGrant()
				f.restore(t, table)
			})
			start := time.Now()
			f.await(t, "first grant", func() bool { return f.grants.Load() > 0 })
			if took := time.Since(start); took < wait-100*time.Millisecond {
				t.Errorf("first grant after %v, want none before %v", took, wait)
			}
			if after := f.storedTable(t); !after.WrittenIn(1) || after.Lookup(0).Fence <= ranges.LowestFence(1) {
				t.Errorf("key 0 is granted under fence %d, want one of the new era", after.Lookup(0).Fence)
			}
		})
	}
}

// Guards against a coordinator that counts on its own state although its lease may have run out before
// the store was restored, so that another one may have granted keys.
func TestCoordinatorWithoutLeaseForgetsItsState(t *testing.T) {
	f := start(t)
	f.store.update(func() { f.store.down = true })
	grants := f.awaitGrantStop(t)
	f.restore(t, nil)
	f.store.update(func() { f.store.down = false })
	f.showStore()
	time.Sleep(restoredElectionWait + time.Second)
	if got := f.grants.Load(); got != grants {
		t.Errorf("%d grants although the grants of others are not known", got-grants)
	}
}

// Guards against two owners of a key: a coordinator that still waits for unknown grants when the store is
// restored knows no grants. Another daemon may have kept the state of an earlier term, and have granted
// keys by it in an era whose tables the store has lost as well.
func TestCoordinatorThatWaitsKeepsNoState(t *testing.T) {
	older := ranges.Empty()
	older.Assign(0, ranges.MaxKey, target.Incarnation{ID: "t1", Epoch: 1})
	var wait time.Duration
	f := startWith(t, func(f *fixture, c *Config) {
		c.Grants.MaxGrantDuration = time.Second
		wait = defaultLeaseTTL + c.Grants.LongestGrant()
		f.restore(t, &older)
	})
	time.Sleep(1500 * time.Millisecond)
	f.store.update(func() { f.store.down = true })
	f.restore(t, &older) // another daemon is elected in this era
	time.Sleep(200 * time.Millisecond)
	f.restore(t, &older)
	f.store.update(func() { f.store.down = false })
	restored := time.Now()
	f.await(t, "first grant", func() bool { return f.grants.Load() > 0 })
	if took := time.Since(restored); took < wait-100*time.Millisecond {
		t.Errorf("first grant %v after the last restoration, want none before %v", took, wait)
	}
}

// Guards against a daemon that keeps the engines of an ended term, and precedence over all others in
// elections, long after the engines have become useless.
func TestKeptTermExpires(t *testing.T) {
	c := New(Config{})
	c.restored.kept = &keptTerm{era: 1, until: clock.Now() + time.Minute}
	if may, first := c.mayCampaign(&view.View{Era: 2}); !may || !first {
		t.Errorf("may campaign %v, first %v while the engines are valid", may, first)
	}
	c.restored.kept.until = clock.Now()
	if may, first := c.mayCampaign(&view.View{Era: 2}); !may || first || c.restored.kept != nil {
		t.Errorf("may campaign %v, first %v, kept %v after that", may, first, c.restored.kept)
	}
}
