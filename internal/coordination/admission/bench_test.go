package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOfferDone measures one Offer and, for what runs, one Done, in a
// target with free slots, with a queue, and with a full queue of many callers.
func BenchmarkOfferDone(b *testing.B) {
	for _, load := range []struct {
		name  string
		every int
	}{{"free", 1}, {"queued", 1}, {"full", 3}} {
		b.Run(load.name, func(b *testing.B) { benchmarkOfferDone(b, load.name, load.every) })
	}
}

// benchmarkOfferDone ends one run per every offers.
func benchmarkOfferDone(b *testing.B, name string, every int) {
	c, err := New(Config{Slots: 6, Classes: testClasses()})
	if err != nil {
		b.Fatal(err)
	}
	callers := make([]string, 400)
	for i := range callers {
		callers[i] = fmt.Sprintf("caller-%d", i)
	}
	now := epoch
	running := make([]uint64, 0, 8)
	start := func(d Changes) {
		for _, s := range d.Starts {
			running = append(running, s.ID)
		}
	}
	offer := func(i int) {
		now = now.Add(time.Millisecond)
		d := c.Offer(Request{ID: uint64(i), Class: i % 3, Caller: callers[i%len(callers)], Deadline: now.Add(time.Hour)}, now)
		start(d.Changes)
		if d.Verdict == Run {
			running = append(running, uint64(i))
		}
	}
	next := 1
	for name == "queued" && next < 100 {
		offer(next)
		next++
	}
	b.ReportAllocs()
	for b.Loop() {
		offer(next)
		next++
		if next%every == 0 && len(running) > 0 {
			id := running[0]
			running = append(running[:0], running[1:]...)
			start(c.Done(id, OK, 5*time.Millisecond, now))
		}
	}
}
