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
					for _, expected := range []int{10, 150, 199, 200, 201, 500, 800, 801, 2000} {
						r := Request{Priority: priority, Objective: objective, Left: 900 * time.Millisecond, Held: 40 * time.Millisecond}
						target := Target{Slots: slots, Load: load, Expected: time.Duration(expected) * time.Millisecond, ServiceTime: 100 * time.Millisecond, Limit: &Limit{}}
						d := service.Decide(time.Second, r, target)
						if got := d == Admitted; got != before(r, target) {
							t.Fatalf("%+v at %+v: %v, before admitted %v", r, target, d, !got)
						}
					}
				}
			}
		}
	}
}

// Guards against a burst of less urgent requests that takes the queues, because their objective
// is longer, while urgent ones are refused.
func TestBurstOfLessUrgentRequests(t *testing.T) {
	loads := []load{lookups.at(steady(5)), reminders.at(burst(3, 2.5))}
	before, now := sum(false, false, true, loads), sum(true, false, true, loads)
	t.Logf("before %+v, now %+v", before, now)
	served := func(r result) float64 { return share(r.inTime+r.late, r.asked) }
	if b, n := served(before[0]), served(now[0]); n < b+0.05 {
		t.Errorf("urgent requests served: %.3f, with one rule for all %.3f", n, b)
	}
	if b, n := share(before[0].inTime, before[0].asked), share(now[0].inTime, now[0].asked); n < b-0.02 {
		t.Errorf("urgent requests in time: %.3f, with one rule for all %.3f", n, b)
	}
	if n := share(now[0].refused, now[0].asked); n > share(now[1].refused, now[1].asked)+0.05 {
		t.Errorf("%.3f of the urgent requests refused, of the less urgent %.3f", n, share(now[1].refused, now[1].asked))
	}
	if n := served(now[1]); n < 0.75 {
		t.Errorf("%.3f of the less urgent requests served: they starve", n)
	}
}

// Guards against refusals at targets that had requests waiting some time ago: most of the
// requests of a target that is not overloaded can be served in time.
func TestModerateLoadIsServed(t *testing.T) {
	loads := []load{lookups.at(steady(5)), reminders.at(steady(2.5))}
	before, now := sum(false, false, true, loads), sum(true, false, true, loads)
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
	before, now := sum(false, false, true, loads), sum(true, false, true, loads)
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
	loads := []load{filing.at(burst(8, 3)), reminders.at(steady(2))}
	without, learned := sum(true, true, false, loads), sum(true, true, true, loads)
	t.Logf("without %+v, learned %+v", without, learned)
	if w, n := share(without[0].reset, without[0].asked), share(learned[0].reset, learned[0].asked); n > w*0.75 {
		t.Errorf("%.3f of the requests reset, without a learned limit %.3f", n, w)
	}
	if w, n := without[0].inTime+without[0].late, learned[0].inTime+learned[0].late; n < w*9/10 {
		t.Errorf("%d requests served, without a learned limit %d", n, w)
	}
	var limit Limit
	limit.RecordFull(time.Second, 5, 2, true)
	for _, c := range []struct {
		at         time.Duration
		idempotent bool
		want       int
	}{{time.Second, true, 3}, {time.Second, false, 2}, {2500 * time.Millisecond, true, 4}, {time.Minute, false, 6}} {
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
	before, now := sum(false, false, true, loads), sum(true, false, true, loads)
	t.Logf("before %+v, now %+v", before, now)
	if b, n := share(before[0].inTime, before[0].asked), share(now[0].inTime, now[0].asked); n < b {
		t.Errorf("in time beside callers that return at once: %.3f, with one rule for all %.3f", n, b)
	}
}

func BenchmarkDecide(b *testing.B) {
	s := NewService([]Class{{0, 250 * time.Millisecond}, {1, 400 * time.Millisecond}, {2, 1200 * time.Millisecond}})
	t := Target{Slots: 2, Load: 3, Expected: 300 * time.Millisecond, ServiceTime: 150 * time.Millisecond, Limit: &Limit{}, ArrivalShare: 0.4}
	r := Request{Priority: 2, Objective: 1200 * time.Millisecond, Left: 1500 * time.Millisecond}
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		s.RecordArrival(now, i%3)
		s.RecordResponse(i%3, t, 200*time.Millisecond, 200*time.Millisecond)
		s.Decide(now, r, t)
	}
}
