package ownership

import (
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Guards against keys that an operator moved and that the balance of load moves
// away again at once, and against a move that outlasts its time.
func TestMovedKeysStay(t *testing.T) {
	const keep = 20 * time.Second
	f := newCalmFleet(3)
	for range 60 {
		f.step(nil)
	}
	owner := f.table.Lookup(30000).Owner
	to := "a"
	if owner == to {
		to = "b"
	}
	if f.Move(29000, 31000, "unknown", keep, f.now) {
		t.Error("a move to a target that is not registered was accepted")
	}
	if !f.Move(29000, 31000, to, keep, f.now) {
		t.Fatal("move not accepted")
	}
	hot := []uint16{29500, 29500, 29600, 29700, 30000, 30500, 30800, 30900}
	for range 40 { // two seconds in which the moved keys have all the load
		f.step(hot)
	}
	for range 300 {
		f.step(hot)
		for _, k := range hot {
			if got := f.table.Lookup(k).Owner; got != to {
				t.Fatalf("key %d belongs to %q at %v, want %q", k, got, f.now, to)
			}
		}
	}
	for range 400 {
		f.step(hot)
	}
	owners := make(map[string]bool)
	for _, k := range hot {
		owners[f.table.Lookup(k).Owner] = true
	}
	if len(owners) < 2 {
		t.Errorf("all load is still with %v long after the move's time", owners)
	}
}

// Guards against a target that is lost and keeps the keys that were moved to it.
func TestMovedKeysLeaveALostTarget(t *testing.T) {
	f := newCalmFleet(3)
	for range 60 {
		f.step(nil)
	}
	f.Move(0, 1000, "a", time.Minute, f.now)
	for range 60 {
		f.step(nil)
	}
	if got := f.table.Lookup(500).Owner; got != "a" {
		t.Fatalf("key belongs to %q, want a", got)
	}
	f.SetTargets([]Target{
		{Incarnation: target.Incarnation{ID: "b", Epoch: 1}, Capacity: 3}, {Incarnation: target.Incarnation{ID: "c", Epoch: 1}, Capacity: 3},
	}, f.now)
	for range 100 {
		f.step(nil)
	}
	if got := f.table.Lookup(500).Owner; got == "a" || got == "" {
		t.Errorf("key belongs to %q after the loss of a", got)
	}
}

// Guards against a grant that ends at a time on the target's clock and still puts
// off a new owner by the time that it was on its way.
func TestGrantWithFixedEndCountsFromItsSending(t *testing.T) {
	const hold = time.Second
	for _, fixed := range []bool{false, true} {
		e := New(Config{MaxGrantDuration: 10 * time.Second, GrantDuration: hold, AbsoluteExpiry: fixed}, ranges.Empty(), 0)
		e.SetTargets([]Target{{Incarnation: target.Incarnation{ID: "a", Epoch: 1}, Capacity: 1}}, 0)
		sent := gatherTime
		e.HandleWriteResult(true, *e.Tick(sent).Table, sent)
		grants := e.Tick(sent).Grants
		if len(grants) == 0 {
			t.Fatal("nothing was granted")
		}
		answered := sent + 600*time.Millisecond
		e.HandleGrantResult(grants[0], Failed, answered)
		want := answered + arrivalSlack
		if fixed {
			want = sent
		}
		want += hold + time.Duration(clockSlack*float64(hold))
		if got := e.find(grants[0].Span).until; got != want {
			t.Errorf("fixed ends %t: the grant counts until %v, want %v", fixed, got, want)
		}
	}
}
