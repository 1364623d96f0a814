// Package budget implements a retry budget: it limits a daemon's retries so that all
// daemons together stay within a bound per service.
package budget

import "time"

// windowParts is the number of counters of a sliding window.
const windowParts = 20

// safetyFactor is the fraction of the bound that is used. The margin is needed because
// daemons learn late that others have joined or left, and because each daemon counts
// only the requests that it receives.
const safetyFactor = 0.8

// Bound limits the retries that all daemons together may send in any window: Ratio times
// the number of requests, plus Slack.
type Bound struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries per service
	Window time.Duration
}

// Budget is one daemon's retry budget for one service. It is not safe for concurrent use.
type Budget struct {
	bound    Bound
	started  time.Duration
	requests window
	retries  window
}

// window counts events in a sliding window of windowParts parts. Parts are numbered from
// time 0; last is the newest part of the window.
type window struct {
	counts [windowParts]int
	last   int64
}

func (w *window) advance(part int64) {
	if part-w.last >= windowParts {
		w.counts = [windowParts]int{}
		w.last = part
		return
	}
	for w.last < part {
		w.last++
		w.counts[w.last%windowParts] = 0
	}
}

func (w *window) add(part int64) {
	w.advance(part)
	w.counts[part%windowParts]++
}

func (w *window) sum(part int64) int {
	w.advance(part)
	total := 0
	for _, c := range w.counts {
		total += c
	}
	return total
}

// New returns the budget of a daemon that started at the given time. The retries of the
// daemon's earlier run are unknown, so the slack grows linearly over the first window.
func New(b Bound, started time.Duration) *Budget { return &Budget{bound: b, started: started} }

func (b *Budget) part(now time.Duration) int64 {
	return int64(now / (b.bound.Window / (windowParts - 1)))
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.add(b.part(now)) }

// Remaining returns how many retries this daemon may send now. daemons is the number of
// daemons in the fleet, which share the slack; if it is 0, there is no slack.
func (b *Budget) Remaining(now time.Duration, daemons int) float64 {
	return b.allowed(now, daemons) - float64(b.retries.sum(b.part(now)))
}

// allowed returns how many retries this daemon may send in the window that ends now.
func (b *Budget) allowed(now time.Duration, daemons int) float64 {
	allowed := b.bound.Ratio * float64(b.requests.sum(b.part(now)))
	if daemons > 0 {
		age := min(float64(now-b.started)/float64(b.bound.Window), 1)
		allowed += b.bound.Slack / float64(daemons) * age
	}
	return allowed * safetyFactor
}

// Take consumes budget for one retry. It returns false if less than one retry remains.
func (b *Budget) Take(now time.Duration, daemons int) bool {
	return b.TakeUnreserved(now, daemons, 0)
}

// TakeUnreserved consumes budget for one send. It returns false if less than the reserve, a
// fraction of the whole budget, would remain for retries.
func (b *Budget) TakeUnreserved(now time.Duration, daemons int, reserve float64) bool {
	if b.Remaining(now, daemons)-reserve*b.allowed(now, daemons) < 1 {
		return false
	}
	b.retries.add(b.part(now))
	return true
}
