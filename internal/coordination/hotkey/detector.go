// Package hotkey finds keys that carry a large share of a target's load and
// decides which of them get an assignment of their own.
//
// Both parts are pure: they have no clock, socket, goroutine or random source,
// and are not safe for concurrent use.
package hotkey

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// DefaultTracked is the number of keys that a Detector tracks. A key is
	// certainly tracked if its share of the load is above one in this many.
	DefaultTracked = 512
	// keepPerInterval is the part of all counts that survives an interval: load
	// older than a few intervals hardly counts.
	keepPerInterval = 0.5
)

// Detector estimates the load of the hottest keys in bounded memory with the
// space-saving algorithm, whose counts decay with every interval.
//
// It is written here because the one implementation among the module's
// dependencies (perks/topk) has neither decay nor error bounds, and does not
// look for a new minimum when its minimum grows, so that it can evict a hot key.
type Detector struct {
	limit   int
	entries map[uint64]*entry
	least   entryHeap
}

type entry struct {
	hash uint64
	// load is at most error above the true decayed load.
	load, error float64
	never       float64
	place       int
}

// NewDetector returns a Detector that tracks the given number of keys; zero
// means DefaultTracked.
func NewDetector(tracked int) *Detector {
	if tracked <= 0 {
		tracked = DefaultTracked
	}
	return &Detector{limit: tracked, entries: make(map[uint64]*entry, tracked)}
}

// Add records that a request for the key occupied a slot for the time.
func (d *Detector) Add(hash uint64, busy time.Duration, neverRepeat bool) {
	e := d.entries[hash]
	if e == nil {
		e = d.track(hash)
	}
	load := max(busy.Seconds(), 0)
	e.load += load
	if neverRepeat {
		e.never += load
	}
	heap.Fix(&d.least, e.place)
}

// track gives the key an entry: a free one, or that of the least loaded key,
// whose load becomes the error.
func (d *Detector) track(hash uint64) *entry {
	if len(d.least) < d.limit {
		e := &entry{hash: hash}
		heap.Push(&d.least, e)
		d.entries[hash] = e
		return e
	}
	e := d.least[0]
	delete(d.entries, e.hash)
	e.hash, e.error, e.never = hash, e.load, 0
	d.entries[hash] = e
	return e
}

// KeyLoad is the estimated load of a key: the mean number of slots that its
// requests occupy.
type KeyLoad struct {
	Hash uint64
	// Load is at most the true load of the tracked time; Error is how much
	// higher the true load may be.
	Load, Error float64
	// NeverRepeat is the part of Load by never-repeat requests.
	NeverRepeat float64
}

// Close ends an interval of the given length and returns at most n keys, the
// hottest first.
func (d *Detector) Close(interval time.Duration, n int) []KeyLoad {
	loads := d.loads(interval)
	d.decay()
	slices.SortFunc(loads, func(a, b KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Hash, b.Hash))
	})
	return loads[:min(n, len(loads))]
}

// loads turns the decayed sums into means: a steady load sums up to its value
// divided by the part that decays.
func (d *Detector) loads(interval time.Duration) []KeyLoad {
	scale := (1 - keepPerInterval) / interval.Seconds()
	loads := make([]KeyLoad, 0, len(d.least))
	for _, e := range d.least {
		loads = append(loads, KeyLoad{
			Hash: e.hash, Load: (e.load - e.error) * scale, Error: e.error * scale,
			NeverRepeat: e.never * scale,
		})
	}
	return loads
}

// decay keeps the order of the entries and thus the heap.
func (d *Detector) decay() {
	for _, e := range d.least {
		e.load *= keepPerInterval
		e.error *= keepPerInterval
		e.never *= keepPerInterval
	}
}

// entryHeap has the least loaded entry at its head.
type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool { return h[i].load < h[j].load }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.place = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
