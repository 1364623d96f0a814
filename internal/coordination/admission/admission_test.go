package admission

import (
	"testing"
	"time"
)

var (
	lookups   = load{Class: Class{Priority: 1, Objective: 400 * time.Millisecond}, deadline: 2500 * time.Millisecond, work: 150 * time.Millisecond, idempotent: true}
	reminders = load{Class: Class{Priority: 2, Objective: 1200 * time.Millisecond}, deadline: 3 * time.Second, work: 190 * time.Millisecond}
)

func (l load) at(perSecond func(time.Duration) float64) load {
	l.perSecond = perSecond
	return l
}

func share(part, of int) float64 { return float64(part) / float64(max(of, 1)) }

// Guards against another decision than before for services whose requests have one priority.
func TestOnePriorityIsAdmittedAsBefore(t *testing.T) {
	before := func(r Request, t Target) bool {
		limit := time.Duration(max(0.9-0.15*float64(r.Priority), 0.4) * float64(r.Left))
		if r.Objective > 0 {
			limit = min(limit, time.Duration(0.8*float64(r.Objective)))
		}
		queued := t.Load >= t.Slots && t.Expected > limit
		return !queued && t.Load < 3*t.Slots
	}
	service := NewService([]Class{{Priority: 1, Objective: time.Second}})
	for _, slots := range []int{1, 2, 6} {
		for load := range 4 * slots {
			for priority := range 5 {
				for _, objective := range []time.Duration{0, 250 * time.Millisecond, time.Second} {
					for _, expected := range []time.Duration{10, 150, 199, 200, 201, 500, 800, 801, 2000} {
						r := Request{Priority: priority, Objective: objective, Left: 900 * time.Millisecond, Held: 40 * time.Millisecond, Chance: 0.01}
						target := Target{Slots: slots, Load: load, Expected: expected * time.Millisecond, ServiceTime: 100 * time.Millisecond, Limit: &Limit{}}
						d := service.Decide(time.Second, r, target)
						if got := d.Cause == Admitted; got != before(r, target) || d.Hold {
							t.Fatalf("%+v at %+v: %+v, before admitted %v", r, target, d, !got)
						}
					}
				}
			}
		}
	}
}

// Guards against a burst of less urgent requests that takes the queues, because their objective
// is longer, while most of the urgent ones are late or refused.
func TestBurstOfLessUrgentRequests(t *testing.T) {
	loads := []load{lookups.at(steady(5)), reminders.at(burst(3, 2.5))}
	before, now := sum(false, false, loads), sum(true, false, loads)
	t.Logf("before %+v, now %+v", before, now)
	if b, n := share(before[0].inTime, before[0].asked), share(now[0].inTime, now[0].asked); n < b+0.03 {
		t.Errorf("urgent requests in time: %.3f, with one rule for all %.3f", n, b)
	}
	if n := share(now[0].refused, now[0].asked); n > share(now[1].refused, now[1].asked)+0.05 {
		t.Errorf("%.3f of the urgent requests refused, more than of the less urgent", n)
	}
	if n := share(now[1].inTime+now[1].late, now[1].asked); n < 0.5 {
		t.Errorf("%.3f of the less urgent requests served: they starve", n)
	}
}

// Guards against refusals at targets that had requests waiting some time ago: most of the
// requests of a target that is not overloaded can be served in time.
func TestModerateLoadIsServed(t *testing.T) {
	loads := []load{lookups.at(steady(5)), reminders.at(steady(2.5))}
	before, now := sum(false, false, loads), sum(true, false, loads)
	t.Logf("before %+v, now %+v", before, now)
	for i := range loads {
		if b, n := share(before[i].inTime, before[i].asked), share(now[i].inTime, now[i].asked); n < b-0.03 {
			t.Errorf("class %d in time: %.3f, with one rule for all %.3f", i, n, b)
		}
	}
}

// Guards against a key that asks for more than its owner can do and leaves its neighbours there
// nothing, and against callers of such a key that all come back for nothing.
func TestHotKeyLeavesServiceInTime(t *testing.T) {
	loads := []load{lookups.at(burst(5, 4)), reminders.at(steady(2))}
	before, now := sum(false, false, loads), sum(true, false, loads)
	t.Logf("before %+v, now %+v", before, now)
	if now[0].inTime < before[0].inTime {
		t.Errorf("%d requests in time, with one rule for all %d", now[0].inTime, before[0].inTime)
	}
	if n := share(now[1].inTime+now[1].late, now[1].asked); n < 0.25 {
		t.Errorf("%.3f of the less urgent requests served beside a hot key", n)
	}
}

// Guards against filling a target again and again until it resets connections, which leaves
// callers of requests that may run only once without an outcome.
func TestLimitIsLearnedFromResets(t *testing.T) {
	filing := load{Class: Class{Priority: 1, Objective: 2 * time.Second}, deadline: 8 * time.Second, work: 180 * time.Millisecond}
	loads := []load{filing.at(burst(8, 6)), reminders.at(steady(2))}
	now := sum(true, true, loads)
	t.Logf("now %+v", now)
	if n := share(now[0].reset, now[0].asked); n > 0.02 {
		t.Errorf("%.3f of the requests reset", n)
	}
	var limit Limit
	limit.RecordFull(time.Second, 5, 2, true)
	for _, c := range []struct {
		at         time.Duration
		idempotent bool
		want       int
	}{{time.Second, true, 4}, {time.Second, false, 3}, {2500 * time.Millisecond, true, 5}, {time.Minute, false, 6}} {
		if got := limit.max(c.at, 2, c.idempotent); got != c.want {
			t.Errorf("after %v, idempotent %v: limit %d, want %d", c.at-time.Second, c.idempotent, got, c.want)
		}
	}
	var shed Limit
	shed.RecordFull(time.Second, 0, 2, false)
	shed.RecordFull(time.Second, 4, 2, false)
	if got := shed.max(time.Second, 2, true); got != queueFactor*2 {
		t.Errorf("limit %d learned from a target that refuses whatever its load", got)
	}
}

// Guards against callers that return at once and crowd out those that wait as asked.
func TestCallersThatReturnAtOnce(t *testing.T) {
	abuse := lookups
	abuse.atOnce = true
	loads := []load{lookups.at(steady(5)), abuse.at(steady(2)), reminders.at(steady(2))}
	loads[1].Priority = 3 // a class of its own in the results
	before, now := sum(false, false, loads), sum(true, false, loads)
	t.Logf("before %+v, now %+v", before, now)
	if b, n := share(before[0].inTime, before[0].asked), share(now[0].inTime, now[0].asked); n < b {
		t.Errorf("in time beside callers that return at once: %.3f, with one rule for all %.3f", n, b)
	}
}

// Guards against asking callers to return together, or later than they wait at most.
func TestReturnsAreSpread(t *testing.T) {
	var p Promises
	r := Request{Objective: 2 * time.Second, Left: 2400 * time.Millisecond}
	target := Target{Slots: 2, Load: 6, ServiceTime: 100 * time.Millisecond}
	last := time.Duration(0)
	for i := range 40 {
		after := p.ReturnAfter(time.Second, r, target, 50*time.Millisecond, 50*time.Millisecond, 0)
		if after > r.Left/maxReturn {
			t.Fatalf("caller %d is to return after %v, waits at most %v", i, after, r.Left/maxReturn)
		}
		if i < 10 && after < last+50*time.Millisecond {
			t.Errorf("caller %d is to return %v after the one before", i, after-last)
		}
		last = after
	}
}

// Guards against a less urgent waiter that is sent before a more urgent one, and against
// holding more requests than can be served.
func TestWaitersInOrderOfPriority(t *testing.T) {
	var w Waiters
	less, urgent := w.Join(2, 2), w.Join(1, 2)
	second := w.Join(1, 2)
	for i, waiter := range []*Waiter{urgent, second, less} {
		if got := w.Ahead(waiter, 0); got != i {
			t.Errorf("%d waiters ahead, want %d", got, i)
		}
	}
	if got := w.Ahead(nil, 1); got != 2 {
		t.Errorf("%d waiters ahead of a new request, want 2", got)
	}
	w.Leave(urgent)
	if got := w.Ahead(second, 0); got != 0 {
		t.Errorf("%d waiters ahead after the first left", got)
	}
	for range queueFactor * 2 {
		w.Join(2, 2)
	}
	if w.Join(0, 2) != nil {
		t.Error("more requests are held than the target may have")
	}
}

func BenchmarkDecide(b *testing.B) {
	s := NewService([]Class{{0, 250 * time.Millisecond}, {1, 400 * time.Millisecond}, {2, 1200 * time.Millisecond}})
	t := Target{Slots: 2, Load: 3, Expected: 300 * time.Millisecond, ServiceTime: 150 * time.Millisecond, Limit: &Limit{}, ArrivalShare: 0.4}
	r := Request{Priority: 2, Objective: 1200 * time.Millisecond, Left: 1500 * time.Millisecond, Chance: 0.5}
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		s.RecordArrival(now, i%3)
		s.RecordResponse(now, i%3, t, 200*time.Millisecond, 200*time.Millisecond)
		s.Decide(now, r, t)
	}
}
