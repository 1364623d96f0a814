package view

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// eraDocs decodes configurations whose version is their length, and registrations whose epoch is
// their length; those with a "d" drain.
type eraDocs struct{ epochDocs }

func (eraDocs) DecodeConfig(b []byte) (*route.Config, error) {
	return route.New(uint64(len(b)), nil, nil, route.Limits{}), nil
}

func (d eraDocs) DecodeTarget(key string, b []byte) (target.Record, error) {
	r, err := d.epochDocs.DecodeTarget(key, b)
	if strings.Contains(string(b), "d") {
		r.State = target.Draining
	}
	return r, err
}

func eraEntry(key, value string, era, rev int64) topo.Entry {
	return topo.Entry{Key: key, Value: []byte(value), CreateRev: 1, ModRev: topo.Position(era, rev)}
}

func tableEntry(t *testing.T, table ranges.Table, era, rev int64) topo.Entry {
	t.Helper()
	b, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return eraEntry(RangesKey("s"), string(b), era, rev)
}

// restoredTracker returns a tracker whose store came back from a copy with the given entries.
func restoredTracker(t *testing.T, known, restored []topo.Entry) *Tracker {
	t.Helper()
	upSince := clock.Now() - time.Minute
	tr := NewTracker(eraDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status { return mirror.Status{Up: true, UpSince: upSince} })
	tr.Apply(mirror.Change{Snapshot: true, Era: 1})
	for _, e := range known {
		tr.Apply(mirror.Change{Entries: []topo.Entry{e}})
	}
	tr.Apply(mirror.Change{Snapshot: true, Era: 2, Entries: restored})
	return tr
}

// Guards against a configuration or a state of a target that goes back with the store, and against
// targets that are taken for gone, or are in use again, because the store has lost what they wrote.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	tr := restoredTracker(t, []topo.Entry{
		eraEntry("config", "123", 1, 11), eraEntry("targets/drains", "d", 1, 12), eraEntry("targets/lost", "x", 1, 13),
		eraEntry("targets/gone", "x", 1, 14), {Key: "targets/gone", ModRev: topo.Position(1, 15)}, eraEntry("targets/restarted", "xx", 1, 16),
	}, []topo.Entry{
		eraEntry("config", "12", 2, 5), eraEntry("targets/drains", "x", 2, 6), eraEntry("targets/gone", "x", 2, 7), eraEntry("targets/restarted", "x", 2, 8),
	})
	check := func(want map[string]target.Record) {
		t.Helper()
		v := tr.Current()
		if v.Config == nil || v.Config.Version != 3 || v.Era != 2 {
			t.Errorf("configuration %+v of era %d, want version 3 of era 2", v.Config, v.Era)
		}
		for id, w := range want {
			if got, registered := v.Targets.Get(id); registered != (w.Epoch != 0) || got.State != w.State || got.Epoch != w.Epoch {
				t.Errorf("%s is %+v, want %+v", id, got, w)
			}
		}
	}
	check(map[string]target.Record{"drains": {State: target.Draining, Epoch: 1}, "lost": {Epoch: 1}, "gone": {}, "restarted": {Epoch: 2}})
	tr.Apply(mirror.Change{Entries: []topo.Entry{eraEntry("targets/gone", "x", 2, 20), eraEntry("targets/restarted", "xx", 2, 21)}})
	check(map[string]target.Record{"gone": {Epoch: 1}, "restarted": {Epoch: 2}})
	time.Sleep(reregistrationWindow + 50*time.Millisecond)
	tr.Expire()
	check(map[string]target.Record{"drains": {State: target.Draining, Epoch: 1}, "lost": {}, "gone": {Epoch: 1}, "restarted": {Epoch: 2}})
}

// Guards against registrations of the copy that are never used although the store keeps them.
func TestDoubtedRegistrationIsUsedInTheEnd(t *testing.T) {
	tr := restoredTracker(t, []topo.Entry{eraEntry("targets/t", "x", 1, 14), {Key: "targets/t", ModRev: topo.Position(1, 15)}},
		[]topo.Entry{eraEntry("targets/t", "x", 2, 7)})
	if _, registered := tr.Current().Targets.Get("t"); registered {
		t.Error("target that was gone is in use at once")
	}
	time.Sleep(reregistrationWindow + 50*time.Millisecond)
	tr.Expire()
	if _, registered := tr.Current().Targets.Get("t"); !registered {
		t.Error("target that is still registered is not in use")
	}
}

// Guards against daemons that route by a table of the copy, or by a late relayed table of the earlier
// era, and against conditions that name the lost table's position.
func TestLostTableStaysInForce(t *testing.T) {
	older := ranges.Empty()
	older.Assign(0, ranges.MaxKey, target.Incarnation{ID: "a", Epoch: 1})
	lost := older.Clone()
	lost.Assign(0, 100, target.Incarnation{ID: "b", Epoch: 1})
	later := lost.Clone()
	later.Assign(0, 100, target.Incarnation{ID: "c", Epoch: 1})
	written := older.Clone()
	written.Fence = ranges.LowestFence(2)
	written.Assign(0, 100, target.Incarnation{ID: "d", Epoch: 1})
	for name, restored := range map[string][]topo.Entry{"older table": {tableEntry(t, older, 2, 9)}, "no table": nil} {
		tr := restoredTracker(t, []topo.Entry{tableEntry(t, lost, 1, 20)}, restored)
		check := func(owner string, rev int64) {
			t.Helper()
			if got := tr.Current().Tables["s"]; got.Lookup(5).Owner != owner || got.Rev != rev {
				t.Errorf("%s: key 5 belongs to %s at position %d, want %s at %d", name, got.Lookup(5).Owner, got.Rev, owner, rev)
			}
		}
		rev := int64(0)
		if restored != nil {
			rev = topo.Position(2, 9)
		}
		check("b", rev)
		tr.ApplyWrittenTable(tableEntry(t, later, 1, 21))
		check("b", rev)
		tr.Apply(mirror.Change{Entries: []topo.Entry{tableEntry(t, written, 2, 12)}})
		check("d", topo.Position(2, 12))
	}
}

// Guards against a target that is never used again because it was draining when the store was
// restored and has said since that it is ready.
func TestTargetIsReadyAgainAfterRestoration(t *testing.T) {
	tr := restoredTracker(t, []topo.Entry{eraEntry("targets/t", "d", 1, 12)}, []topo.Entry{eraEntry("targets/t", "x", 2, 6)})
	if r, _ := tr.Current().Targets.Get("t"); r.State != target.Draining {
		t.Errorf("state %v by the registration of the copy, want it to be draining as before", r.State)
	}
	tr.Apply(mirror.Change{Entries: []topo.Entry{eraEntry("targets/t", "x", 2, 12)}})
	if r, _ := tr.Current().Targets.Get("t"); r.State != target.Ready {
		t.Errorf("state %v, want ready as it was written after the restoration", r.State)
	}
}
