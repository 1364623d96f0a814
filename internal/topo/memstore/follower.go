package memstore

import (
	"context"
	"errors"

	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Watcher reads the events of a range of keys in order. It holds no events of
// its own: one that falls behind the history gets ErrCompacted. It is not safe
// for concurrent use; Close must be called once.
type Watcher struct {
	s    *SharedState
	r    keyrange.Range
	next int64
	// outages is the number of outages at the start; a later one, however
	// short, ends the watch.
	outages int
}

// Watch returns a follower of r that starts with revision from, or with the
// next change if from is 0.
func (s *SharedState) Watch(r keyrange.Range, from int64) *Watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.OpenWatches++
	if from <= 0 {
		s.do(func(*State) {})
		from = s.state.Rev() + 1
	}
	return &Watcher{s: s, r: r, next: from, outages: s.outages}
}

// Rev returns the store's revision.
func (f *Watcher) Rev() (rev int64) {
	f.s.Do(func(st *State) { rev = st.Rev() })
	return rev
}

// Close ends the follower's count as an open watch.
func (f *Watcher) Close() {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	f.s.counters.OpenWatches--
}

// ErrDown ends all watches of a store that is down.
var ErrDown = errors.New("store is down")

// Batch is a group of events with the store's revision and compaction revision
// at the time of reading.
type Batch struct {
	Events     []Event
	Rev        int64
	CompactRev int64
}

// Next waits for the next events. It returns ErrCompacted if they are no longer
// available, ErrDown if the store has been down, or the context's error.
func (f *Watcher) Next(ctx context.Context) (Batch, error) {
	for {
		batch, changed, err := f.poll()
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

// poll returns the available events and a channel that is closed at the next
// change.
func (f *Watcher) poll() (Batch, <-chan struct{}, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if f.outages != f.s.outages {
		return Batch{}, nil, ErrDown
	}
	if f.s.faults.SilentWatch {
		return Batch{}, f.s.changed, nil
	}
	events, next, err := f.s.state.EventsFrom(f.r, f.next)
	f.next = next
	batch := Batch{Events: events, Rev: f.s.state.Rev(), CompactRev: f.s.state.CompactRev()}
	return batch, f.s.changed, err
}
