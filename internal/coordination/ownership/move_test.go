package ownership

import (
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Guards against load balancing that immediately moves away keys that an operator has
// moved, and against moved keys that stay excluded from load balancing for too long.
func TestMovedKeysStay(t *testing.T) {
	const keep = 20 * time.Second
	f := newFleet(3)
	for range 60 {
		f.step(nil)
	}
	owner := f.table.Lookup(30000).Owner
	to := "a"
	if owner == to {
		to = "b"
	}
	if f.Move(29000, 31000, "unknown", keep, f.now) {
		t.Error("move to a target that is not registered was accepted")
	}
	if !f.Move(29000, 31000, to, keep, f.now) {
		t.Fatal("move not accepted")
	}
	hot := []uint16{29500, 29500, 29600, 29700, 30000, 30500, 30800, 30900}
	for range 40 { // two seconds, so that the moved keys get all the load
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
		t.Errorf("owners of the moved keys = %v long after the move's time, want at least 2", owners)
	}
}

// Guards against an accepted move that is never made because the keys are just being moved as a part
// of a larger span.
func TestMoveOfKeysInMotion(t *testing.T) {
	f := newFleet(3)
	for range 60 {
		f.step(nil)
	}
	owner := f.table.Lookup(30000).Owner
	var others []string
	for _, id := range []string{"a", "b", "c"} {
		if id != owner {
			others = append(others, id)
		}
	}
	f.Move(29000, 31000, others[0], time.Minute, f.now)
	if !f.Move(30000, 30100, others[1], time.Minute, f.now) {
		t.Fatal("move not accepted")
	}
	for range 100 {
		f.step(nil)
	}
	for key, want := range map[uint16]string{30000: others[1], 30100: others[1], 30500: others[0]} {
		if got := f.table.Lookup(key).Owner; got != want {
			t.Errorf("key %d belongs to %q, want %q", key, got, want)
		}
	}
}

// Guards against a lost target that keeps the keys that an operator had moved to the
// target.
func TestMovedKeysLeaveLostTarget(t *testing.T) {
	f := newFleet(3)
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

// Guards against adding the delivery time to the expiry of a grant that expires at a
// fixed time on the target's clock, which would delay the next owner.
func TestAbsoluteGrantExpiryCountsFromSending(t *testing.T) {
	const hold = time.Second
	for _, fixed := range []bool{false, true} {
		e := New(Config{MaxGrantDuration: 10 * time.Second, GrantDuration: hold, AbsoluteExpiry: fixed}, ranges.Empty(), 0)
		e.SetTargets([]Target{{Incarnation: target.Incarnation{ID: "a", Epoch: 1}, Capacity: 1}}, 0)
		sent := registrationWait
		e.HandleWriteResult(true, *e.Tick(sent).Table, sent)
		grants := e.Tick(sent).Grants
		if len(grants) == 0 {
			t.Fatal("no grant was sent")
		}
		answered := sent + 600*time.Millisecond
		e.HandleGrantResult(grants[0], Failed, answered)
		want := answered + deliveryAllowance
		if fixed {
			want = sent
		}
		want += hold + time.Duration(maxClockDrift*float64(hold))
		if got := e.findSpan(grants[0].Span).expiresAt; got != want {
			t.Errorf("absolute expiry %t: grant expires at %v, want %v", fixed, got, want)
		}
	}
}

// Guards against a second move before the effect of the first one is seen: the loads and service
// times that were measured under the hot keys still count against their owner. In a test of
// processes the second of two hot keys moved 0.2 s after the first one, for nothing.
func TestSecondHotKeyWaitsForTheEffectOfTheFirstMove(t *testing.T) {
	f := newFleet(3)
	for range 60 {
		f.step(nil)
	}
	owner := f.table.Lookup(100).Owner
	hot := []uint16{100, 100, 100, 120, 120, 120}
	// Under load its requests take twice as long, which halves its capacity until later
	// measurements.
	targets := make([]Target, 0, len(f.targets))
	for _, t := range f.targets {
		if t.Incarnation.ID == owner {
			t.Capacity /= 2
		}
		targets = append(targets, t)
	}
	f.SetTargets(targets, f.now)
	movedAt := time.Duration(0)
	for movedAt == 0 {
		f.step(hot)
		if f.table.Lookup(100).Owner != f.table.Lookup(120).Owner {
			movedAt = f.now
		}
		if f.now > time.Minute {
			t.Fatal("none of two hot keys moved within a minute")
		}
	}
	for f.now < movedAt+loadWindow {
		f.step(hot)
		if f.table.Lookup(100).Owner != owner && f.table.Lookup(120).Owner != owner {
			t.Fatalf("the second hot key moved as well, %v after the first one", f.now-movedAt)
		}
	}
}

// Guards against moves for balance while other daemons cannot learn of them, and against keeping
// the keys of a target that leaves meanwhile.
func TestNoBalancingWhileStoreIsNotCurrent(t *testing.T) {
	f := newFleet(3)
	for range 60 {
		f.step(nil)
	}
	f.SetBalancing(false)
	hot := make([]uint16, 0, 200)
	for k := range 200 {
		hot = append(hot, uint16(100+k))
	}
	before := f.table.Fence
	for range 100 {
		f.step(hot)
	}
	if f.table.Fence != before {
		t.Error("keys moved for balance")
	}
	owner := f.table.Lookup(100).Owner
	targets := make([]Target, 0, len(f.targets))
	for _, t := range f.targets {
		t.Leaving = t.Incarnation.ID == owner
		targets = append(targets, t)
	}
	f.SetTargets(targets, f.now)
	for range 100 {
		f.step(hot)
	}
	if got := f.table.Lookup(100).Owner; got == owner {
		t.Error("the target that leaves kept its keys")
	}
}
