package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// Guards against more retries in any window than all daemons together may send, for any
// order of requests and failures.
func TestFleetStaysWithinBound(t *testing.T) {
	proptest.Check(t, 5, 300, func(t *rapid.T) {
		bound := Bound{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = New(bound, 0)
		}
		type event struct {
			at    time.Duration
			retry bool
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
			requests, retries := 0, 0
			for _, e := range events {
				switch {
				// Requests of this window and of the previous one count.
				case !e.retry && e.at <= end && e.at > end-2*bound.Window:
					requests++
				case e.retry && e.at <= end && e.at > end-bound.Window:
					retries++
				}
			}
			if most := bound.Ratio*float64(requests) + bound.Slack; float64(retries) > most {
				t.Fatalf("%d retries in the window that ends at %v, at most %.1f allowed", retries, end, most)
			}
		}
	})
}

// Guards against slack that every start makes available again. After all daemons had been
// killed and restarted, each one used the slack of the whole fleet before it had
// discovered the others.
func TestStartedDaemonHasNoSlack(t *testing.T) {
	b := New(Bound{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}, time.Minute)
	if b.Take(time.Minute+time.Second/100, 1) {
		t.Error("retry allowed right after the start")
	}
	if b.Take(2*time.Minute, 0) {
		t.Error("retry allowed while no daemon is known")
	}
	if !b.Take(2*time.Minute, 1) {
		t.Error("no retry allowed one window after the start")
	}
}

// Guards against a budget that is not replenished after the window has passed.
func TestBudgetIsReplenished(t *testing.T) {
	b := New(Bound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, 0)
	now := time.Minute
	taken := 0
	for b.Take(now, 1) {
		taken++
	}
	if taken != 8 {
		t.Fatalf("took %d retries of a slack of 10, want 8", taken)
	}
	if now += 11 * time.Second; !b.Take(now, 1) {
		t.Error("no retry allowed one window later")
	}
}

// Guards against sends that are not needed and use up the budget, so that requests that failed
// cannot be sent again.
func TestReserveIsLeftForRetries(t *testing.T) {
	b := New(Bound{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, 0)
	now := time.Minute
	spare, retries := 0, 0
	for b.TakeUnreserved(now, 1, 0.5) {
		spare++
	}
	for b.Take(now, 1) {
		retries++
	}
	if spare != 8 || retries != 8 {
		t.Errorf("%d sends and %d retries of a budget of 16, want half each", spare, retries)
	}
	if b.TakeUnreserved(now, 1, 0.5) {
		t.Error("a send was allowed although retries had used the budget")
	}
}
