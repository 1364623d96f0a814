// Package budget limits how many requests a daemon sends a second time, so that
// all daemons together stay within a bound per service.
package budget

import "time"

// slots is the number of parts into which the window is divided.
const slots = 20

// safety is the part of the bound that is used. Daemons join and leave without
// the others knowing at once, and requests are counted where they arrive.
const safety = 0.8

// Bound is what all daemons together may send beyond the first arrival of each
// request in any window.
type Bound struct {
	Ratio  float64 // per request
	Slack  float64 // besides, per service
	Window time.Duration
}

// Budget counts for one service. It is not safe for concurrent use.
type Budget struct {
	bound    Bound
	started  time.Duration
	requests window
	repeats  window
}

type window struct {
	counts [slots]int
	last   int64
}

func (w *window) advance(part int64) {
	if part-w.last >= slots {
		w.counts = [slots]int{}
		w.last = part
		return
	}
	for w.last < part {
		w.last++
		w.counts[w.last%slots] = 0
	}
}

func (w *window) add(part int64) {
	w.advance(part)
	w.counts[part%slots]++
}

func (w *window) sum(part int64) int {
	w.advance(part)
	total := 0
	for _, c := range w.counts {
		total += c
	}
	return total
}

// New returns the budget of a daemon that started at a time. What its earlier run
// repeated is not known, so the slack becomes available over the first window.
func New(b Bound, started time.Duration) *Budget { return &Budget{bound: b, started: started} }

func (b *Budget) part(now time.Duration) int64 { return int64(now / (b.bound.Window / (slots - 1))) }

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.add(b.part(now)) }

// Remaining returns how many repeats this daemon may send at present, if the fleet
// has the given number of daemons. A daemon that knows of none has no slack.
func (b *Budget) Remaining(now time.Duration, daemons int) float64 {
	part := b.part(now)
	allowed := b.bound.Ratio * float64(b.requests.sum(part))
	if daemons > 0 {
		age := min(float64(now-b.started)/float64(b.bound.Window), 1)
		allowed += b.bound.Slack / float64(daemons) * age
	}
	return allowed*safety - float64(b.repeats.sum(part))
}

// Take uses the budget for one repeat, and reports whether there was any left.
func (b *Budget) Take(now time.Duration, daemons int) bool {
	if b.Remaining(now, daemons) < 1 {
		return false
	}
	b.repeats.add(b.part(now))
	return true
}
