package retry

import (
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

var epoch = time.Unix(1_000_000, 0)

func drawAttempt(t *rapid.T, now time.Time) Attempt {
	outcome := rapid.SampledFrom([]Outcome{NotRun, Ran, Unknown, "", "NOT-RUN", "not-run "})
	return Attempt{
		NeverRepeat:    rapid.Bool().Draw(t, "never"),
		Number:         rapid.IntRange(1, 40).Draw(t, "number"),
		Outcome:        outcome.Draw(t, "outcome"),
		Previous:       rapid.SampledFrom([]Outcome{"", NotRun, Ran, Unknown}).Draw(t, "previous"),
		Overload:       rapid.Bool().Draw(t, "overload"),
		RetryAfter:     time.Duration(rapid.IntRange(0, 300).Draw(t, "after")) * time.Millisecond,
		Expected:       time.Duration(rapid.IntRange(0, 50).Draw(t, "expected")) * time.Millisecond,
		Deadline:       now.Add(time.Duration(rapid.IntRange(-20, 500).Draw(t, "left")) * time.Millisecond),
		BodyReplayable: rapid.Bool().Draw(t, "replayable"),
		Jitter:         rapid.Float64Range(0, 0.999).Draw(t, "jitter"),
	}
}

// Guards against a second execution of a never-repeat request, a refusal that
// wrongly says "not run", and an attempt that starts after its deadline.
func TestDecideIsSafe(t *testing.T) {
	proptest.Check(t, 1, 3000, func(t *rapid.T) {
		p := New(Config{})
		a := drawAttempt(t, epoch)
		d := p.Decide(a, epoch)
		proven := a.Outcome == NotRun && (a.Previous == NotRun || a.Previous == "")
		if d.Retry && a.NeverRepeat && !proven {
			t.Fatalf("never-repeat request repeated without proof: %+v", a)
		}
		if d.Retry && (a.Outcome == Ran || a.Previous == Ran || !a.BodyReplayable) {
			t.Fatalf("request repeated that ran or cannot be sent again: %+v", a)
		}
		if (d.Outcome == NotRun) != proven {
			t.Fatalf("outcome %q after %q and %q", d.Outcome, a.Previous, a.Outcome)
		}
		if d.Retry && !epoch.Add(d.After).Add(a.Expected).Before(a.Deadline) {
			t.Fatalf("retry after %v passes the deadline %v", d.After, a.Deadline.Sub(epoch))
		}
		if d.Retry == (d.Status != 0) {
			t.Fatalf("decision is neither a retry nor a status: %+v", d)
		}
	})
}

// Guards against delays outside the configured range and ones that ignore a
// refusal's Retry-After.
func TestDelayRange(t *testing.T) {
	proptest.Check(t, 2, 2000, func(t *rapid.T) {
		p := New(Config{})
		a := drawAttempt(t, epoch)
		a.Outcome, a.Previous, a.BodyReplayable = NotRun, "", true
		a.Deadline = epoch.Add(time.Hour)
		d := p.Decide(a, epoch)
		full := min(DefaultInitialDelay<<min(a.Number-1, 20), DefaultMaxDelay)
		if d.After < max(full/2, a.RetryAfter) || d.After > max(full, a.RetryAfter) {
			t.Fatalf("attempt %d: delay %v, expected within [%v, %v]", a.Number, d.After, full/2, full)
		}
	})
}

// Guards against retries that multiply an outage: in no interval of the
// window's length may there be more than a tenth of the requests of the window
// before its last retry, or the minimum.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	proptest.Check(t, 3, 40, func(t *rapid.T) {
		var b Budget
		var requests, retries []time.Time
		now := epoch
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "gap")) * time.Millisecond)
			for range rapid.IntRange(0, 12).Draw(t, "requests") {
				b.Request(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 3).Draw(t, "retries") {
				if b.Allow(now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			used, base := within(retries, end), within(requests, end)
			if limit := max(base/10, int(Window.Seconds())); used > limit {
				t.Fatalf("%d retries in the window before %v, limit %d", used, end.Sub(epoch), limit)
			}
		}
	})
}

func within(events []time.Time, end time.Time) int {
	n := 0
	for _, e := range events {
		if !e.After(end) && end.Sub(e) < Window {
			n++
		}
	}
	return n
}

// Guards against a budget that refuses what the design grants: one retry per
// second without traffic, a tenth of a steady load, and nothing carried over
// from before the window.
func TestBudgetGrants(t *testing.T) {
	var b Budget
	granted := 0
	for i := range 20_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		b.Request(now)
		if b.Allow(now) {
			granted++
		}
	}
	if granted < 1950 {
		t.Errorf("%d of 2000 retries granted at 1000 requests/s", granted)
	}
	quiet := epoch.Add(time.Minute)
	granted = 0
	for range 1000 {
		if b.Allow(quiet) {
			granted++
		}
	}
	if granted != 10 {
		t.Errorf("%d retries granted in a quiet window, expected 10", granted)
	}
}

// Guards against statuses that contradict the outcome table of the design.
func TestGiveUpStatus(t *testing.T) {
	late, early := epoch.Add(-time.Second), epoch.Add(time.Second)
	for _, c := range []struct {
		a    Attempt
		want Decision
	}{
		{Attempt{Outcome: NotRun, Deadline: early}, Decision{Status: http.StatusServiceUnavailable, Outcome: NotRun}},
		{Attempt{Outcome: Unknown, NeverRepeat: true, BodyReplayable: true, Deadline: early}, Decision{Status: http.StatusBadGateway, Outcome: Unknown}},
		{Attempt{Outcome: NotRun, Status: http.StatusTooManyRequests, Deadline: early}, Decision{Status: http.StatusTooManyRequests, Outcome: NotRun}},
		{Attempt{Outcome: NotRun, BodyReplayable: true, Deadline: late}, Decision{Status: http.StatusGatewayTimeout, Outcome: NotRun}},
		{Attempt{Outcome: NotRun, Previous: Unknown, BodyReplayable: true, Deadline: late}, Decision{Status: http.StatusGatewayTimeout, Outcome: Unknown}},
	} {
		if got := New(Config{}).Decide(c.a, epoch); got != c.want {
			t.Errorf("%+v: got %+v, expected %+v", c.a, got, c.want)
		}
	}
}

// Guards against routing retries that use up the budget, which a handover needs
// for more than a tenth of the requests, and overload retries that do not.
func TestOnlyLoadCountsAgainstBudget(t *testing.T) {
	for _, overload := range []bool{false, true} {
		p := New(Config{})
		a := Attempt{Number: 1, Outcome: NotRun, Overload: overload, BodyReplayable: true, Deadline: epoch.Add(time.Minute)}
		granted := 0
		for range 100 {
			if p.Decide(a, epoch).Retry {
				granted++
			}
		}
		if want := map[bool]int{false: 100, true: 10}[overload]; granted != want {
			t.Errorf("overload %v: %d retries granted, expected %d", overload, granted, want)
		}
	}
}
