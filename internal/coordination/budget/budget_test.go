package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// Guards against more repeats in any window than all daemons may send together,
// whatever the order of requests and failures.
func TestFleetStaysWithinBound(t *testing.T) {
	proptest.Check(t, 5, 300, func(t *rapid.T) {
		bound := Bound{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = New(bound, 0)
		}
		type event struct {
			at     time.Duration
			repeat bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				events = append(events, event{now, false})
			}
			for range rapid.IntRange(0, 8).Draw(t, "failures") {
				if b.Take(now, daemons) {
					events = append(events, event{now, true})
				}
			}
		}
		for i := range events {
			end := events[i].at
			requests, repeats := 0, 0
			for _, e := range events {
				switch {
				// Requests of this window and of the one before count.
				case !e.repeat && e.at <= end && e.at > end-2*bound.Window:
					requests++
				case e.repeat && e.at <= end && e.at > end-bound.Window:
					repeats++
				}
			}
			if most := bound.Ratio*float64(requests) + bound.Slack; float64(repeats) > most {
				t.Fatalf("%d repeats in the window that ends at %v, at most %.1f allowed", repeats, end, most)
			}
		}
	})
}

// Guards against slack that is spent again by every start: after all daemons had
// been killed, each used the slack of the whole fleet before it knew of the others.
func TestStartedDaemonHasNoSlack(t *testing.T) {
	b := New(Bound{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, time.Minute)
	if b.Take(time.Minute+time.Second/100, 1) {
		t.Error("a repeat right after the start")
	}
	if b.Take(2*time.Minute, 0) {
		t.Error("a repeat while no daemon is known")
	}
	if !b.Take(2*time.Minute, 1) {
		t.Error("no repeat a window after the start")
	}
}

// Guards against a budget that stays used up.
func TestBudgetComesBack(t *testing.T) {
	b := New(Bound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, 0)
	now := time.Minute
	taken := 0
	for b.Take(now, 1) {
		taken++
	}
	if taken != 8 {
		t.Fatalf("took %d of a slack of 10, want 8", taken)
	}
	if now += 11 * time.Second; !b.Take(now, 1) {
		t.Error("nothing left a window later")
	}
}
