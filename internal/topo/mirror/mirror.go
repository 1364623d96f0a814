// Package mirror keeps a local copy of the store's entries with a given prefix.
package mirror

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Timing of the calls to the store.
const (
	// ChangesTimeout is how long one call waits for changes. It bounds the age of the
	// copy, and the time until a connection that no longer delivers is detected.
	ChangesTimeout = 500 * time.Millisecond
	// probeTimeout replaces ChangesTimeout after a failed call, so that a store that
	// works again is soon detected.
	probeTimeout = 50 * time.Millisecond
	// CoalesceDelay is the pause after changes were read from the store, so that a series
	// of changes takes few calls. It is short compared with the two seconds within which
	// a change must be in force.
	CoalesceDelay = 120 * time.Millisecond
	// historySize is the number of changes that are kept for callers of Since.
	historySize = 2048
	// baseRetryDelay is the pause after a failed call. It doubles with each
	// consecutive failure, up to maxRetryDelay: it grows because refused calls are
	// charged for, and is bounded because a copy has to be current three seconds after
	// an outage.
	baseRetryDelay = 150 * time.Millisecond
	maxRetryDelay  = 600 * time.Millisecond
)

// Change is a set of entries that were read in one call.
type Change struct {
	Entries []topo.Entry // Exists returns false for deleted entries
	// Snapshot means that Entries replaces all earlier entries.
	Snapshot bool
	// Era is the era of the store that a snapshot shows.
	Era int64
}

// Mirror copies a store's entries and reports the changes.
type Mirror struct {
	feed   topo.Feed
	prefix string
	log    *slog.Logger
	apply  func(Change)

	mu           sync.Mutex
	entries      map[string]topo.Entry // includes deleted entries until the next snapshot
	history      []historyItem
	compactedRev int64 // changes up to this revision are no longer in the history
	rev          int64
	changed      chan struct{} // closed at the next change
	currentAt    time.Duration // latest time at which the copy is known to be current
	appliedAt    time.Duration // the same of what apply has returned for
	up           bool
	upSince      time.Duration // time of the first successful call after the last failure or rise of the era
}

// historyItem is a key that changed at a revision. It has no value, as callers of
// Since get only the latest one.
type historyItem struct {
	key string
	rev int64
}

// New returns a mirror of the entries with the prefix. Run calls apply, always from the
// same goroutine, with each change.
func New(feed topo.Feed, prefix string, log *slog.Logger, apply func(Change)) *Mirror {
	return &Mirror{
		feed: feed, prefix: prefix, log: log, apply: apply,
		entries: make(map[string]topo.Entry), changed: make(chan struct{}),
	}
}

// Status describes how current the copy is.
type Status struct {
	// Up is false from a failed call until the next successful one.
	Up bool
	// CurrentAt is the latest time at which the copy is known to have matched the
	// store.
	CurrentAt time.Duration
	// AppliedAt is CurrentAt without a change that is still being applied.
	AppliedAt time.Duration
	// UpSince is the time of the first successful call after the last failure.
	UpSince time.Duration
	Rev     int64
}

// Status returns the state of the copy.
func (m *Mirror) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Up: m.up, CurrentAt: m.currentAt, AppliedAt: m.appliedAt, UpSince: m.upSince, Rev: m.rev}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	hasSnapshot := false
	failures := 0
	for ctx.Err() == nil {
		var change Change
		var progress topo.Progress
		var err error
		if hasSnapshot {
			wait := ChangesTimeout
			if failures > 0 {
				wait = probeTimeout
			}
			change, progress, err = m.fetchChanges(ctx, wait)
		} else {
			change, progress, err = m.copy(ctx)
		}
		switch {
		case errors.Is(err, topo.ErrCompacted):
			m.log.Warn("store discarded its history; reading everything again", "revision", m.Status().Rev, "error", err)
			hasSnapshot = false
			continue
		case err != nil:
			m.recordFailure(ctx, err)
			sleep(ctx, retryDelay(failures))
			failures++
			continue
		}
		hasSnapshot, failures = true, 0
		m.recordSuccess(clock.Now() - progress.Age)
		if len(change.Entries) == 0 && !change.Snapshot {
			m.recordApplied()
			continue
		}
		m.apply(change)
		m.recordApplied()
		if !progress.Relayed {
			sleep(ctx, CoalesceDelay)
		}
	}
}

// retryDelay returns the pause after a failed call that followed the given number of
// consecutive failures. The jitter keeps daemons from calling all at once when the
// store becomes available again.
func retryDelay(failures int) time.Duration {
	delay := min(baseRetryDelay<<min(failures, 8), maxRetryDelay)
	return delay - time.Duration(rand.Float64()*float64(delay)/4)
}

// copy reads a snapshot and replaces the copy by it. The history starts anew.
func (m *Mirror) copy(ctx context.Context) (Change, topo.Progress, error) {
	entries, progress, err := m.feed.Snapshot(ctx, m.prefix)
	if err != nil {
		return Change{}, topo.Progress{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if progress.Rev < m.rev {
		return Change{}, topo.Progress{}, topo.ErrBadReply
	}
	if m.rev > 0 && topo.EraOf(progress.Rev) > topo.EraOf(m.rev) {
		// What was written since the copy may be missing until it is written again, as after an outage.
		m.upSince = clock.Now()
		m.log.Warn("store era rose", "era", topo.EraOf(progress.Rev), "revision", progress.Rev, "known", m.rev)
	}
	m.rev, m.compactedRev = progress.Rev, progress.Rev
	m.history = nil
	m.entries = make(map[string]topo.Entry, len(entries))
	for _, e := range entries {
		m.entries[e.Key] = e
	}
	m.notifyReaders()
	return Change{Entries: entries, Snapshot: true, Era: topo.EraOf(progress.Rev)}, progress, nil
}

// fetchChanges reads the changes since the revision of the copy and applies them to it.
func (m *Mirror) fetchChanges(ctx context.Context, wait time.Duration) (Change, topo.Progress, error) {
	events, progress, err := m.feed.Changes(ctx, m.prefix, m.Status().Rev, wait)
	if err != nil {
		return Change{}, topo.Progress{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if progress.Rev < m.rev {
		return Change{}, topo.Progress{}, fmt.Errorf("%w: revision %d is below %d", topo.ErrBadReply, progress.Rev, m.rev)
	}
	var change Change
	relevant := false
	for _, e := range events {
		known := m.entries[e.Entry.Key].ModRev
		if e.Entry.ModRev < known || e.Entry.ModRev <= m.rev {
			continue
		}
		// A snapshot of several pages may already have the change. Readers that are ahead of its first
		// page need it nevertheless.
		m.appendHistory(e.Entry)
		relevant = true
		if e.Entry.ModRev > known {
			m.entries[e.Entry.Key] = e.Entry
			change.Entries = append(change.Entries, e.Entry)
		}
	}
	m.rev = progress.Rev
	if relevant {
		m.notifyReaders()
	}
	return change, progress, nil
}

// appendHistory adds a change to the history and drops the oldest ones above
// historySize.
func (m *Mirror) appendHistory(e topo.Entry) {
	m.history = append(m.history, historyItem{e.Key, e.ModRev})
	if excess := len(m.history) - historySize; excess > 0 {
		m.compactedRev = m.history[excess-1].rev
		m.history = append([]historyItem(nil), m.history[excess:]...)
	}
}

// notifyReaders wakes the callers of Since. m.mu must be held.
func (m *Mirror) notifyReaders() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// All returns all existing entries and the revision of the copy.
func (m *Mirror) All() ([]topo.Entry, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]topo.Entry, 0, len(m.entries))
	for _, e := range m.entries {
		if e.Exists() {
			out = append(out, e)
		}
	}
	return out, m.rev
}

// Since returns the keys that changed after a revision, with their latest values, and
// the revision of the copy. It waits up to wait for the first change. The error is
// topo.ErrCompacted if the changes are no longer in the history.
func (m *Mirror) Since(ctx context.Context, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, rev, changed, err := m.changesSince(after)
		if err != nil || len(changes) > 0 {
			return changes, rev, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (m *Mirror) changesSince(after int64) ([]topo.Entry, int64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.compactedRev {
		return nil, 0, nil, topo.ErrCompacted
	}
	var out []topo.Entry
	for _, c := range m.history {
		// A key that changed again later is returned once, with its latest value.
		if e := m.entries[c.key]; c.rev > after && e.ModRev == c.rev {
			out = append(out, e)
		}
	}
	return out, m.rev, m.changed, nil
}

// recordSuccess records that the copy matched the store at the given time.
func (m *Mirror) recordSuccess(currentAt time.Duration) {
	m.mu.Lock()
	reconnected := !m.up
	m.up, m.currentAt = true, currentAt
	if reconnected {
		m.upSince = clock.Now()
	}
	rev := m.rev
	m.mu.Unlock()
	if reconnected {
		m.log.Info("store reached", "revision", rev)
	}
}

// recordApplied records that all changes that the copy contains have been applied.
func (m *Mirror) recordApplied() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appliedAt = m.currentAt
}

// recordFailure records a failed call, and logs it if the call before it succeeded.
func (m *Mirror) recordFailure(ctx context.Context, err error) {
	m.mu.Lock()
	wasUp := m.up
	m.up = false
	age := clock.Now() - m.currentAt
	m.mu.Unlock()
	if wasUp && ctx.Err() == nil {
		m.log.Warn("store not reached", "error", err, "last_answer_ms", age.Milliseconds())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
