package admission

import (
	"math"
	"testing"
	"time"
)

// drive runs one class at a target whose run time is given by its concurrency,
// with always enough requests waiting, and returns the controller at the end.
func drive(t *testing.T, c *Controller, from time.Time, length time.Duration, ran func(running int) time.Duration) time.Time {
	t.Helper()
	now, id := from, uint64(from.UnixNano())
	ends := map[uint64]time.Time{}
	took := map[uint64]time.Duration{}
	begin := func(starts ...Start) {
		for _, s := range starts {
			took[s.ID] = ran(c.running)
			ends[s.ID] = now.Add(took[s.ID])
		}
	}
	for now.Before(from.Add(length)) {
		for c.queued < 4 {
			id++
			d := c.Offer(Request{ID: id, Class: 1, Deadline: now.Add(time.Hour)}, now)
			begin(d.Starts...)
			if d.Verdict == Run {
				begin(Start{ID: id})
			}
		}
		var first uint64
		for id, end := range ends {
			if first == 0 || end.Before(ends[first]) || (end.Equal(ends[first]) && id < first) {
				first = id
			}
		}
		now = ends[first]
		delete(ends, first)
		begin(c.Done(first, OK, took[first], now).Starts...)
	}
	c.Abort(ReasonDraining)
	for id := range ends {
		c.Done(id, Cancelled, 0, now)
	}
	return now
}

func newController(t *testing.T, slots int) *Controller {
	t.Helper()
	c, err := New(Config{Slots: slots, Classes: testClasses()})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func steady(int) time.Duration { return 10 * time.Millisecond }

// Guards against a cold target that gets all its slots at once, and against a
// limit that stays low although the target succeeds.
func TestColdTargetRecoversOneSlotPerSecond(t *testing.T) {
	c := newController(t, 6)
	now := epoch
	for second := 1; second <= 7; second++ {
		now = drive(t, c, now, time.Second, steady)
		want := min(1+float64(second), 6)
		if got := c.Stats().Limit; math.Abs(got-want) > 0.1 {
			t.Errorf("limit %v after %d s, expected %v", got, second, want)
		}
	}
	c.Cold()
	if got := c.Stats().Limit; got != 1 {
		t.Errorf("limit %v of a restarted target", got)
	}
}

// Guards against a limit that ignores load shedding, falls below one, or falls
// more than once for requests that were started together.
func TestShedHalvesLimitOncePerGeneration(t *testing.T) {
	c := newController(t, 6)
	now := drive(t, c, epoch, 10*time.Second, steady)
	for i := range uint64(6) {
		if d := offer(c, i+1, 1, "a", now); d.Verdict != Run {
			t.Fatalf("request %d: %+v", i, d)
		}
	}
	now = now.Add(time.Millisecond)
	for i := range uint64(6) {
		c.Done(i+1, Shed, time.Millisecond, now)
	}
	if got := c.Stats().Limit; got != 3 {
		t.Errorf("limit %v after six refusals at once, expected 3", got)
	}
	for i := range uint64(5) {
		now = now.Add(time.Millisecond)
		offer(c, 100+i, 1, "a", now)
		now = now.Add(time.Millisecond)
		c.Done(100+i, Shed, time.Millisecond, now)
	}
	if got := c.Stats().Limit; got != 1 {
		t.Errorf("limit %v after repeated refusals, expected 1", got)
	}
}

// Guards against a limit that stays high while concurrency slows the target
// down, and against one that stays low when it does not help.
func TestGradientFollowsThroughput(t *testing.T) {
	contended := func(running int) time.Duration {
		return time.Duration(float64(10*time.Millisecond) * math.Pow(float64(running), 1.7))
	}
	slow := func(int) time.Duration { return 40 * time.Millisecond }
	for name, c := range map[string]struct {
		ran  func(int) time.Duration
		most float64
		full bool
	}{"contended": {contended, 3, false}, "slow": {slow, 6, true}} {
		t.Run(name, func(t *testing.T) {
			control := newController(t, 6)
			now := drive(t, control, epoch, 10*time.Second, steady)
			now = drive(t, control, now, 4*time.Second, c.ran)
			s := control.Stats()
			if s.Limit < 1 || s.Limit > c.most || (c.full && s.Limit < 6) {
				t.Errorf("limit %v, slowdown %v", s.Limit, s.Slowdown)
			}
			drive(t, control, now, 30*time.Second, steady)
			if got := control.Stats().Limit; got != 6 {
				t.Errorf("limit %v after recovery", got)
			}
		})
	}
}

// Guards against a target that stays at one slot because its requests have
// become longer: at one slot no trial can tell whether concurrency is the cause.
func TestLimitRisesUnderLongerWork(t *testing.T) {
	const slots, short, long = 6, time.Millisecond, 20 * time.Millisecond
	c, err := New(Config{Slots: slots, Classes: []Class{{Name: "r", Deadline: 5 * time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	running := make(map[uint64]time.Time)
	id := uint64(0)
	offer := func() {
		id++
		if d := c.Offer(Request{ID: id}, now); d.Verdict == Run {
			running[id] = now
		}
	}
	serve := func(work time.Duration) {
		now = now.Add(time.Millisecond)
		for i, at := range running {
			if now.Sub(at) < work {
				continue
			}
			delete(running, i)
			for _, s := range c.Done(i, OK, now.Sub(at), now).Starts {
				running[s.ID] = now
			}
			offer()
		}
	}
	offer()
	for range 50 {
		serve(short)
	}
	for range slots - 1 {
		offer()
	}
	for range 10_000 { // ms; one slot a second from one to six, and a trial
		serve(long)
	}
	if got := c.Stats().Limit; got != slots {
		t.Errorf("limit of a busy target is %.1f of %d slots after 10 s", got, slots)
	}
}
