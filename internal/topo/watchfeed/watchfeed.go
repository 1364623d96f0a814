// Package watchfeed implements topo.Feed for a store that offers watches.
//
// A watch delivers single events, and the events of one transaction may arrive
// separately. An event therefore only signals that something changed; the changes are
// found by reading all entries and comparing their revisions with the known ones. This
// is also done at intervals, because a watch may stop delivering without an error.
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

// fullReadInterval is the interval at which all entries are read if no event arrives.
// It bounds the age of the copy when the watch delivers nothing, and is far below the
// two seconds within which a change must be in force.
const fullReadInterval = 400 * time.Millisecond

// Store is the part of a store that a Feed needs.
type Store interface {
	topo.Lister
	Watch(ctx context.Context, prefix string, fromRev int64) (<-chan topo.Event, error)
}

// Feed implements topo.Feed for one prefix and one reader.
type Feed struct {
	store Store

	mu          sync.Mutex
	knownRevs   map[string]int64 // last returned modification revision of each key
	rev         int64
	readAt      time.Duration // start of the last read of all entries; 0 forces the next
	events      <-chan topo.Event
	cancelWatch context.CancelFunc
}

// New returns a feed of the store. Once it has been used, it holds a watch open until
// Close.
func New(store Store) *Feed { return &Feed{store: store} }

// Close ends the watch.
func (f *Feed) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.close()
}

func (f *Feed) close() {
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
	f.events, f.cancelWatch = nil, nil
}

// Snapshot implements topo.Feed.
func (f *Feed) Snapshot(ctx context.Context, prefix string) ([]topo.Entry, topo.Progress, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.openWatch(ctx, prefix); err != nil {
		return nil, topo.Progress{}, err
	}
	asOf := clock.Now()
	entries, rev, err := f.readAll(ctx, prefix)
	if err != nil {
		return nil, topo.Progress{}, err
	}
	f.knownRevs = make(map[string]int64, len(entries))
	for _, e := range entries {
		f.knownRevs[e.Key] = e.ModRev
	}
	f.rev, f.readAt = rev, asOf
	return entries, f.progress(), nil
}

// openWatch replaces the watch by a new one. The watch must be open before all entries
// are read, so that no change in between is missed.
func (f *Feed) openWatch(ctx context.Context, prefix string) error {
	f.close()
	watchCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	events, err := f.store.Watch(watchCtx, prefix, 0)
	if err != nil {
		cancel()
		return err
	}
	f.events, f.cancelWatch = events, cancel
	return nil
}

// readAll reads all entries. It returns topo.ErrBadReply if the store's revision is
// lower than one that it returned before.
func (f *Feed) readAll(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	entries, rev, err := f.store.ListWithRevision(ctx, prefix)
	if err == nil && rev < f.rev {
		return nil, 0, fmt.Errorf("%w: entries of revision %d, although revision %d was seen before", topo.ErrBadReply, rev, f.rev)
	}
	return entries, rev, err
}

func (f *Feed) progress() topo.Progress {
	return topo.Progress{Rev: f.rev, Age: clock.Now() - f.readAt}
}

// Changes implements topo.Feed.
func (f *Feed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, topo.Progress, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.knownRevs == nil || after > f.rev {
		return nil, topo.Progress{}, topo.ErrCompacted
	}
	if f.events == nil {
		if err := f.openWatch(ctx, prefix); err != nil {
			return nil, topo.Progress{}, err
		}
		f.readAt = 0
	}
	wait = min(wait, max(f.readAt+fullReadInterval-clock.Now(), 0))
	received, err := f.waitForEvent(ctx, wait)
	if err != nil {
		return nil, topo.Progress{}, err
	}
	if !received && clock.Now()-f.readAt < fullReadInterval {
		return nil, f.progress(), nil
	}
	events, err := f.readChanges(ctx, prefix)
	if err != nil {
		return nil, topo.Progress{}, err
	}
	return events, f.progress(), nil
}

// waitForEvent waits for an event or the end of the watch, and reports whether either
// came in time. It discards further events that have arrived, as one read of all
// entries covers them too.
func (f *Feed) waitForEvent(ctx context.Context, wait time.Duration) (bool, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case _, ok := <-f.events:
		f.drainEvents(ok)
		return true, nil
	case <-timer.C:
		return false, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// drainEvents discards the events that have arrived and closes the watch if its channel
// is closed; ok is false if that is already known.
func (f *Feed) drainEvents(ok bool) {
	for ok {
		select {
		case _, ok = <-f.events:
		default:
			return
		}
	}
	f.close()
}

// appendIfNewer appends an event whose revision is above the known one of its key, and
// updates the known revision.
func (f *Feed) appendIfNewer(events []topo.Event, e topo.Event) []topo.Event {
	if e.Entry.ModRev <= f.knownRevs[e.Entry.Key] {
		return events
	}
	if e.Entry.Exists() {
		f.knownRevs[e.Entry.Key] = e.Entry.ModRev
	} else {
		delete(f.knownRevs, e.Entry.Key)
	}
	return append(events, e)
}

// readChanges reads all entries and returns those that changed since the last read,
// ordered by revision. A deleted key gets the store's revision, as the revision of its
// deletion is unknown.
func (f *Feed) readChanges(ctx context.Context, prefix string) ([]topo.Event, error) {
	asOf := clock.Now()
	entries, rev, err := f.readAll(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var changes []topo.Event
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
		changes = f.appendIfNewer(changes, topo.Event{Entry: e})
	}
	for key := range f.knownRevs {
		if !present[key] {
			changes = f.appendIfNewer(changes, topo.Event{Entry: topo.Entry{Key: key, ModRev: rev}})
		}
	}
	slices.SortFunc(changes, func(a, b topo.Event) int { return int(a.Entry.ModRev - b.Entry.ModRev) })
	f.rev, f.readAt = rev, asOf
	return changes, nil
}
