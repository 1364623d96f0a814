// Package watchfeed reads changes of a store that offers watches.
//
// A watch tells single events, and those of one transaction may come apart. So an
// event only tells that something changed; what, is found by reading everything and
// comparing. That is also done at intervals, as a watch may fall silent without
// notice.
package watchfeed

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// verifyEvery is the pause between readings of everything. It bounds the age of
// the copy when the watch is silent, far below the two seconds within which a
// change must be in force.
const verifyEvery = 400 * time.Millisecond

// Store is what a Feed reads.
type Store interface {
	topo.Lister
	Watch(ctx context.Context, prefix string, fromRev int64) (<-chan topo.Event, error)
}

// Feed implements topo.Feed for one prefix and one reader.
type Feed struct {
	store Store

	mu       sync.Mutex
	known    map[string]int64 // revisions of the entries as they were last returned
	rev      int64
	verified time.Duration
	events   <-chan topo.Event
	stop     context.CancelFunc
}

// New returns a feed of the store. It holds a watch until Close.
func New(store Store) *Feed { return &Feed{store: store} }

// Close ends the watch.
func (f *Feed) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.close()
}

func (f *Feed) close() {
	if f.stop != nil {
		f.stop()
	}
	f.events, f.stop = nil, nil
}

// Snapshot implements topo.Feed.
func (f *Feed) Snapshot(ctx context.Context, prefix string) ([]topo.Entry, topo.Progress, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.watch(ctx, prefix); err != nil {
		return nil, topo.Progress{}, err
	}
	asOf := clock.Now()
	entries, rev, err := f.list(ctx, prefix)
	if err != nil {
		return nil, topo.Progress{}, err
	}
	f.known = make(map[string]int64, len(entries))
	for _, e := range entries {
		f.known[e.Key] = e.ModRev
	}
	f.rev, f.verified = rev, asOf
	return entries, f.progress(), nil
}

// watch opens a new watch. It must be opened before everything is read, so that no
// change is missed in between.
func (f *Feed) watch(ctx context.Context, prefix string) error {
	f.close()
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	events, err := f.store.Watch(life, prefix, 0)
	if err != nil {
		stop()
		return err
	}
	f.events, f.stop = events, stop
	return nil
}

// list reads everything. A store that answers from an earlier state than it did
// before is not believed.
func (f *Feed) list(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	entries, rev, err := f.store.ListAt(ctx, prefix)
	if err == nil && rev < f.rev {
		return nil, 0, fmt.Errorf("%w: revision %d after %d", topo.ErrBadReply, rev, f.rev)
	}
	return entries, rev, err
}

func (f *Feed) progress() topo.Progress {
	return topo.Progress{Rev: f.rev, Age: clock.Now() - f.verified}
}

// Changes implements topo.Feed.
func (f *Feed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, topo.Progress, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known == nil || after > f.rev {
		return nil, topo.Progress{}, topo.ErrCompacted
	}
	if f.events == nil {
		if err := f.watch(ctx, prefix); err != nil {
			return nil, topo.Progress{}, err
		}
		f.verified = 0
	}
	wait = min(wait, max(f.verified+verifyEvery-clock.Now(), 0))
	changed, err := f.await(ctx, wait)
	if err != nil {
		return nil, topo.Progress{}, err
	}
	if !changed && clock.Now()-f.verified < verifyEvery {
		return nil, f.progress(), nil
	}
	events, err := f.compare(ctx, prefix)
	if err != nil {
		return nil, topo.Progress{}, err
	}
	return events, f.progress(), nil
}

// await waits for an event of the watch, or its end, and reports whether there was
// one. Further events that have arrived are told by the same reading.
func (f *Feed) await(ctx context.Context, wait time.Duration) (bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case _, open := <-f.events:
		f.drain(open)
		return true, nil
	case <-timer.C:
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (f *Feed) drain(open bool) {
	for open {
		select {
		case _, open = <-f.events:
		default:
			return
		}
	}
	f.close()
}

// note adds an entry that is newer than what is known of its key.
func (f *Feed) note(list []topo.Event, e topo.Event) []topo.Event {
	if e.Entry.ModRev <= f.known[e.Entry.Key] {
		return list
	}
	if e.Entry.Exists() {
		f.known[e.Entry.Key] = e.Entry.ModRev
	} else {
		delete(f.known, e.Entry.Key)
	}
	return append(list, e)
}

// compare reads everything and returns what differs from what is known.
func (f *Feed) compare(ctx context.Context, prefix string) ([]topo.Event, error) {
	asOf := clock.Now()
	entries, rev, err := f.list(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var missed []topo.Event
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		missed = f.note(missed, topo.Event{Entry: e})
	}
	for key := range f.known {
		if !present[key] {
			missed = f.note(missed, topo.Event{Entry: topo.Entry{Key: key, ModRev: rev}})
		}
	}
	slices.SortFunc(missed, func(a, b topo.Event) int { return int(a.Entry.ModRev - b.Entry.ModRev) })
	f.rev, f.verified = rev, asOf
	return missed, nil
}
