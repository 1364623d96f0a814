package memstore

import (
	"sort"

	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Default bounds of the event history. The byte limit holds about 64 values of the
// largest size.
const (
	DefaultHistoryEvents = 10_000
	DefaultHistoryBytes  = 64 << 20
)

// Bounds of one batch of events. A batch holds at least one complete revision.
const (
	batchEvents = 256
	batchBytes  = 1 << 20
)

// HistoryLimits bounds the event history; zero fields take the defaults. When either bound
// is exceeded, the oldest revisions are compacted.
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

// history holds the events since revision compactRev.
type history struct {
	limits     HistoryLimits
	events     []Event
	bytes      int
	compactRev int64
}

// add appends the events of one revision and discards the oldest revisions that exceed
// the limits. The newest revision always stays.
func (h *history) add(events []Event) {
	for _, e := range events {
		h.events = append(h.events, e)
		h.bytes += eventBytes(e)
	}
	for h.overLimits() && h.events[0].KV.ModRev < h.events[len(h.events)-1].KV.ModRev {
		h.compact(h.events[0].KV.ModRev + 1)
	}
}

func (h *history) overLimits() bool {
	return len(h.events) > h.limits.Events || h.bytes > h.limits.Bytes
}

// compact discards all events before rev.
func (h *history) compact(rev int64) {
	n := h.index(rev)
	for _, e := range h.events[:n] {
		h.bytes -= eventBytes(e)
	}
	clear(h.events[:n])
	h.events = h.events[n:]
	h.compactRev = rev
}

// index returns the position of the first event at or after rev.
func (h *history) index(rev int64) int {
	return sort.Search(len(h.events), func(i int) bool { return h.events[i].KV.ModRev >= rev })
}

// batchFrom returns a batch of events in r, starting at revision first, and the revision
// at which the next batch starts; end is the revision after the newest.
func (h *history) batchFrom(r keyrange.Range, first, end int64) ([]Event, int64) {
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
			bytes += eventBytes(e)
		}
	}
	return batch, end
}

// undo reverts all events after revision rev in keys, the newest first.
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

// eventBytes counts the key and the new value; the previous value is shared with an older
// event.
func eventBytes(e Event) int { return len(e.KV.Key) + len(e.KV.Value) }
