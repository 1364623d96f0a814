package admission

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkOfferDone measures one Offer and one Done per operation with free
// slots and with a queue, and three Offers per Done with a full queue.
func BenchmarkOfferDone(b *testing.B) {
	b.Run("free", func(b *testing.B) { benchmarkOfferDone(b, 0, 1) })
	b.Run("queued", func(b *testing.B) { benchmarkOfferDone(b, 100, 1) })
	b.Run("full", func(b *testing.B) { benchmarkOfferDone(b, 400, 3) })
}

func benchmarkOfferDone(b *testing.B, waiting, offers int) {
	c, _ := New(Config{Slots: 6, Classes: testClasses()})
	callers := make([]string, 400)
	for i := range callers {
		callers[i] = strconv.Itoa(i)
	}
	now, next, running := epoch, 0, make([]uint64, 0, 64)
	started := func(ch Changes) {
		for _, s := range ch.Starts {
			running = append(running, s.ID)
		}
	}
	offer := func() {
		next++
		now = now.Add(time.Millisecond)
		r := Request{ID: uint64(next), Class: next % 3, Caller: callers[next%len(callers)], Deadline: now.Add(time.Hour)}
		d := c.Offer(r, now)
		started(d.Changes)
		if d.Verdict == Run {
			running = append(running, r.ID)
		}
	}
	for range waiting {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		for range offers {
			offer()
		}
		id := running[0]
		running = append(running[:0], running[1:]...)
		started(c.Done(id, OK, 5*time.Millisecond, now))
	}
}
