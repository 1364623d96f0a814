package memstore

import (
	"context"
	"errors"

	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Watcher reads the events of a range of keys in order of their revisions. It buffers no
// events: if the history is compacted past its position, it fails with ErrCompacted. It is
// not safe for concurrent use; Close must be called exactly once.
type Watcher struct {
	shared  *SharedState
	keys    keyrange.Range
	nextRev int64
	// outages is the number of outages when the watch started; a later one,
	// however short, ends the watch.
	outages int
}

// Watch returns a watcher of r that starts with revision from, or with the next change if
// from is 0.
func (s *SharedState) Watch(r keyrange.Range, from int64) *Watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.OpenWatches++
	if from <= 0 {
		s.doLocked(func(*State) {})
		from = s.state.Rev() + 1
	}
	return &Watcher{shared: s, keys: r, nextRev: from, outages: s.outages}
}

// Rev returns the store's revision.
func (w *Watcher) Rev() (rev int64) {
	w.shared.Do(func(st *State) { rev = st.Rev() })
	return rev
}

// Close removes the watcher from the count of open watches.
func (w *Watcher) Close() {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	w.shared.counters.OpenWatches--
}

// ErrDown is the error of every watch that was open when the store went down.
var ErrDown = errors.New("store is down")

// Batch is a group of events, with the store's revision and compaction revision when it
// was read.
type Batch struct {
	Events     []Event
	Rev        int64
	CompactRev int64
}

// Next waits for the next events. It returns ErrCompacted if they are no longer
// available, ErrDown if the store went down after the watch started, or the context's
// error.
func (w *Watcher) Next(ctx context.Context) (Batch, error) {
	for {
		batch, changed, err := w.poll()
		if err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// poll returns the available events, and a channel that is closed at the next change.
func (w *Watcher) poll() (Batch, <-chan struct{}, error) {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	if w.outages != w.shared.outages {
		return Batch{}, nil, ErrDown
	}
	if w.shared.faults.SilentWatch {
		return Batch{}, w.shared.changed, nil
	}
	events, next, err := w.shared.state.EventsFrom(w.keys, w.nextRev)
	w.nextRev = next
	batch := Batch{Events: events, Rev: w.shared.state.Rev(), CompactRev: w.shared.state.CompactRev()}
	return batch, w.shared.changed, err
}
