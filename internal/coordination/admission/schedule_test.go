package admission

import (
	"slices"
	"testing"
	"time"
)

// runs are the run times by class.
var runs = []time.Duration{5 * time.Millisecond, 400 * time.Millisecond, 5 * time.Millisecond}

// sequence ends running requests one by one and returns the ids in the order in
// which they were started. Each run takes as long as its class says.
func sequence(c *Controller, running uint64, now time.Time) []uint64 {
	order := []uint64{running}
	for i := 0; i < len(order); i++ {
		ran := runs[c.items[order[i]].class]
		for _, s := range c.Done(order[i], OK, ran, now).Starts {
			order = append(order, s.ID)
		}
	}
	return order
}

// learned returns a warm controller with one slot in use by request 1.
func learned(t *testing.T, slots int) (*Controller, time.Time) {
	t.Helper()
	c := newController(t, slots)
	now := epoch
	for i := range uint64(40) {
		class := int(i % 3)
		c.Offer(Request{ID: 1000 + i, Class: class, Deadline: now.Add(time.Hour)}, now)
		now = now.Add(time.Second)
		c.Done(1000+i, OK, runs[class], now)
	}
	c.Offer(Request{ID: 1, Class: 0, Deadline: now.Add(time.Hour)}, now)
	return c, now
}

func offer(c *Controller, id uint64, class int, caller string, now time.Time) Decision {
	return c.Offer(Request{ID: id, Class: class, Caller: caller, Deadline: now.Add(time.Hour)}, now)
}

// Guards against one caller's burst that delays all others.
func TestCallersTakeTurns(t *testing.T) {
	c, now := learned(t, 1)
	for id := uint64(10); id < 30; id++ {
		offer(c, id, 0, "heavy", now)
	}
	offer(c, 50, 0, "light", now)
	if at := slices.Index(sequence(c, 1, now), 50); at != 2 {
		t.Errorf("the light caller's request was started at position %d, expected 2", at)
	}
}

// Guards against short requests that wait behind long ones, and against long
// ones that never start because of short ones.
func TestShortBeforeLongWithAging(t *testing.T) {
	c, now := learned(t, 1)
	offer(c, 10, 1, "a", now)
	offer(c, 11, 0, "a", now.Add(time.Millisecond))
	if order := sequence(c, 1, now.Add(time.Millisecond)); slices.Index(order, 11) > slices.Index(order, 10) {
		t.Errorf("long before short: %v", order)
	}
	c, now = learned(t, 1)
	offer(c, 10, 1, "a", now)
	late := now.Add(agingRatio * 400 * time.Millisecond)
	offer(c, 11, 0, "a", late)
	c.classes[1].Objective = time.Hour
	if order := sequence(c, 1, late); slices.Index(order, 11) < slices.Index(order, 10) {
		t.Errorf("long overtaken after its time: %v", order)
	}
}

// Guards against stragglers that take the last slot while short requests are
// expected, and against a slot that stays idle when none are.
func TestStragglersLeaveASlot(t *testing.T) {
	c, now := learned(t, 3)
	c.Done(1, OK, 5*time.Millisecond, now)
	for id := uint64(10); id < 15; id++ {
		offer(c, id, 1, "a", now)
	}
	if got := c.classes[1].running; got != 2 {
		t.Errorf("%d stragglers run beside expected short requests, expected 2", got)
	}
	c.Tick(now.Add(expectedWindow))
	if got := c.classes[1].running; got != 3 {
		t.Errorf("%d stragglers run alone, expected 3", got)
	}
}

// Guards against a full queue that refuses never-repeat requests while
// idempotent ones wait, and against one caller that pushes the others out.
func TestFullQueueShedsLeastHarmful(t *testing.T) {
	c, now := learned(t, 1)
	for id := uint64(100); c.queued < c.bound; id++ {
		offer(c, id, 0, "heavy", now)
	}
	d := offer(c, 10, 2, "a", now)
	if d.Verdict != Queued || len(d.Removed) != 1 || d.Removed[0].Class != 0 {
		t.Errorf("never-repeat request at a full queue: %+v", d)
	}
	if d := offer(c, 11, 0, "heavy", now); d.Verdict != Refused {
		t.Errorf("request of the caller with the most: %+v", d)
	}
	if d := offer(c, 12, 0, "light", now); d.Verdict != Queued || len(d.Removed) != 1 {
		t.Errorf("request of a light caller: %+v", d)
	}
	if d := offer(c, 13, 0, "heavy", now); d.Reason != ReasonFairShare {
		t.Errorf("request above the fair share: %+v", d)
	}
	c, now = learned(t, 1)
	for id := uint64(100); c.queued < c.bound; id++ {
		offer(c, id, 2, "heavy", now)
	}
	if d := offer(c, 10, 0, "a", now); d.Reason != ReasonQueueFull || len(d.Removed) != 0 {
		t.Errorf("idempotent request at a queue full of never-repeat ones: %+v", d)
	}
}

// Guards against requests that wait although they cannot be answered in time,
// and against a class that is refused forever on an outdated estimate.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	c, now := learned(t, 1)
	const offers = 64
	refused := 0
	for id := range uint64(offers) {
		if c.Offer(Request{ID: 10 + id, Class: 1, Deadline: now.Add(100 * time.Millisecond)}, now).Reason == ReasonDeadline {
			refused++
		}
	}
	if refused < offers*3/4 || refused == offers {
		t.Errorf("%d of %d hopeless requests refused, expected most but not all", refused, offers)
	}
}
