// Package mirror keeps a copy of the store's entries below some prefix.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Times of following the store.
const (
	// Wait is how long one call waits for changes. It bounds the age of the copy,
	// and how long a connection that has fallen silent goes unnoticed.
	Wait = 500 * time.Millisecond
	// probeWait is the same after a failure, so that the store's return is soon
	// noticed.
	probeWait = 50 * time.Millisecond
	// Coalesce is the pause after changes, so that a series of them takes few
	// calls. It is small against the two seconds within which a change must be
	// in force.
	Coalesce = 120 * time.Millisecond
	// historySize is the number of changes that other readers can go on from.
	historySize = 2048
	// retryDelay is the pause after a failed call. It doubles with each failure in
	// a row up to retryMost: refused calls are charged for, and a copy has to be
	// current three seconds after an outage.
	retryDelay = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
)

// Change is a set of entries that changed together.
type Change struct {
	Entries []topo.Entry // deleted ones do not exist
	// Snapshot marks a new copy of everything, in place of what was known.
	Snapshot bool
}

// Mirror follows a store and passes on what changes.
type Mirror struct {
	feed   topo.Feed
	prefix string
	log    *slog.Logger
	apply  func(Change)

	mu      sync.Mutex
	entries map[string]topo.Entry // deleted ones stay as such until the next copy
	history []change
	oldest  int64 // revision up to which changes are no longer in the history
	rev     int64
	changed chan struct{} // closed at the next change
	heard   time.Duration // time that the copy was certainly current
	up      bool
	regains time.Duration // time of the first answer after the last failure
}

// change is a key that changed at a revision. Readers get the newest value only.
type change struct {
	key string
	rev int64
}

// New returns a mirror that calls apply, from one goroutine, with each change.
func New(feed topo.Feed, prefix string, log *slog.Logger, apply func(Change)) *Mirror {
	return &Mirror{
		feed: feed, prefix: prefix, log: log, apply: apply,
		entries: make(map[string]topo.Entry), changed: make(chan struct{}),
	}
}

// Status tells how current the copy is.
type Status struct {
	// Up is false from a failed call until the next answer.
	Up bool
	// CurrentAt is a time at which the copy was current.
	CurrentAt time.Duration
	// UpSince is when the store was reached again after the last failure.
	UpSince time.Duration
	Rev     int64
}

// Status returns the state of the copy.
func (m *Mirror) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Status{Up: m.up, CurrentAt: m.heard, UpSince: m.regains, Rev: m.rev}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	complete := false
	failures := 0
	for ctx.Err() == nil {
		var change Change
		var age time.Duration
		var err error
		if complete {
			wait := Wait
			if failures > 0 {
				wait = probeWait
			}
			change, age, err = m.follow(ctx, wait)
		} else {
			change, age, err = m.copy(ctx)
		}
		switch {
		case errors.Is(err, topo.ErrCompacted):
			m.log.Warn("store discarded its history; reading everything again", "revision", m.Status().Rev)
			complete = false
			continue
		case err != nil:
			m.failed(ctx, err)
			sleep(ctx, retryPause(failures))
			failures++
			continue
		}
		complete, failures = true, 0
		m.answered(clock.Now() - age)
		if len(change.Entries) > 0 || change.Snapshot {
			m.apply(change)
			sleep(ctx, Coalesce)
		}
	}
}

// retryPause is the pause after a failed call that followed others in a row. The
// spread keeps daemons from calling at once when the store returns.
func retryPause(before int) time.Duration {
	pause := min(retryDelay<<min(before, 8), retryMost)
	return pause - time.Duration(rand.Float64()*float64(pause)/4)
}

func (m *Mirror) copy(ctx context.Context) (Change, time.Duration, error) {
	entries, progress, err := m.feed.Snapshot(ctx, m.prefix)
	if err != nil {
		return Change{}, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if progress.Rev < m.rev {
		return Change{}, 0, topo.ErrBadReply
	}
	m.rev, m.oldest = progress.Rev, progress.Rev
	m.history = nil
	m.entries = make(map[string]topo.Entry, len(entries))
	for _, e := range entries {
		m.entries[e.Key] = e
	}
	m.wake()
	return Change{Entries: entries, Snapshot: true}, progress.Age, nil
}

func (m *Mirror) follow(ctx context.Context, wait time.Duration) (Change, time.Duration, error) {
	events, progress, err := m.feed.Changes(ctx, m.prefix, m.Status().Rev, wait)
	if err != nil {
		return Change{}, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var change Change
	for _, e := range events {
		if e.Entry.ModRev <= m.entries[e.Entry.Key].ModRev {
			continue
		}
		m.entries[e.Entry.Key] = e.Entry
		m.record(e.Entry)
		change.Entries = append(change.Entries, e.Entry)
	}
	m.rev = max(m.rev, progress.Rev)
	if len(change.Entries) > 0 {
		m.wake()
	}
	return change, progress.Age, nil
}

// record adds a change to the history.
func (m *Mirror) record(e topo.Entry) {
	m.history = append(m.history, change{e.Key, e.ModRev})
	if over := len(m.history) - historySize; over > 0 {
		m.oldest = m.history[over-1].rev
		m.history = append([]change(nil), m.history[over:]...)
	}
}

func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// All returns all entries and the revision of the copy.
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

// Since returns the keys that changed after a revision with their newest values,
// and the revision of the copy. It waits up to wait for the first change. The error is topo.ErrCompacted if the
// changes are no longer known.
func (m *Mirror) Since(ctx context.Context, after int64, wait time.Duration) ([]topo.Entry, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, rev, changed, err := m.since(after)
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

func (m *Mirror) since(after int64) ([]topo.Entry, int64, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.oldest {
		return nil, 0, nil, topo.ErrCompacted
	}
	var out []topo.Entry
	for _, c := range m.history {
		// A key that changed again later comes with its newest value only.
		if e := m.entries[c.key]; c.rev > after && e.ModRev == c.rev {
			out = append(out, e)
		}
	}
	return out, m.rev, m.changed, nil
}

func (m *Mirror) answered(asOf time.Duration) {
	m.mu.Lock()
	regained := !m.up
	m.up, m.heard = true, asOf
	if regained {
		m.regains = clock.Now()
	}
	rev := m.rev
	m.mu.Unlock()
	if regained {
		m.log.Info("store reached", "revision", rev)
	}
}

func (m *Mirror) failed(ctx context.Context, err error) {
	m.mu.Lock()
	lost := m.up
	m.up = false
	age := clock.Now() - m.heard
	m.mu.Unlock()
	if lost && ctx.Err() == nil {
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
