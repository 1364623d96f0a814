package memstore

import (
	"sort"

	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Default bounds of the event history. The bytes bound holds about 64 of the
// largest values.
const (
	DefaultHistoryEvents = 10_000
	DefaultHistoryBytes  = 64 << 20
)

// Bounds of one batch of events. A batch holds at least one complete revision.
const (
	batchEvents = 256
	batchBytes  = 1 << 20
)

// HistoryLimits bounds the event history; zero fields take the defaults. The
// oldest revisions are compacted beyond either bound.
type HistoryLimits struct {
	Events int
	Bytes  int
}

func (l HistoryLimits) withDefaults() HistoryLimits {
	if l.Events <= 0 {
		l.Events = DefaultHistoryEvents
	}
	if l.Bytes <= 0 {
		l.Bytes = DefaultHistoryBytes
	}
	return l
}

// history holds the events of the revisions from compactRev on.
type history struct {
	limits     HistoryLimits
	events     []Event
	bytes      int
	compactRev int64
}

// add appends the events of one revision and discards the oldest revisions
// beyond the limits.
func (h *history) add(events []Event) {
	for _, e := range events {
		h.events = append(h.events, e)
		h.bytes += size(e)
	}
	for h.over() && h.events[0].KV.ModRev < h.events[len(h.events)-1].KV.ModRev {
		h.compact(h.events[0].KV.ModRev + 1)
	}
}

func (h *history) over() bool {
	return len(h.events) > h.limits.Events || h.bytes > h.limits.Bytes
}

// compact discards all events before rev.
func (h *history) compact(rev int64) {
	n := h.index(rev)
	for _, e := range h.events[:n] {
		h.bytes -= size(e)
	}
	clear(h.events[:n])
	h.events = h.events[n:]
	h.compactRev = rev
}

// index returns the position of the first event at or after rev.
func (h *history) index(rev int64) int {
	return sort.Search(len(h.events), func(i int) bool { return h.events[i].KV.ModRev >= rev })
}

// from returns a batch of events in r from revision first on, and the revision
// after the last one considered; end is the revision after the newest.
func (h *history) from(r keyrange.Range, first, end int64) ([]Event, int64) {
	var batch []Event
	bytes := 0
	rev := first
	for _, e := range h.events[h.index(first):] {
		full := len(batch) >= batchEvents || bytes >= batchBytes
		if full && e.KV.ModRev != rev {
			return batch, e.KV.ModRev
		}
		rev = e.KV.ModRev
		if r.Contains(e.KV.Key) {
			batch = append(batch, e)
			bytes += size(e)
		}
	}
	return batch, end
}

// undo reverts all events after revision rev in keys.
func (h *history) undo(keys map[string]KV, rev int64) {
	later := h.events[h.index(rev+1):]
	for i := len(later) - 1; i >= 0; i-- {
		e := later[i]
		if e.Prev == nil {
			delete(keys, e.KV.Key)
			continue
		}
		keys[e.KV.Key] = *e.Prev
	}
}

// size counts the key and the new value; the previous value is shared with an
// older event.
func size(e Event) int { return len(e.KV.Key) + len(e.KV.Value) }
