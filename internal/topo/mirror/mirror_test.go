package mirror

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// fakeFeed is a feed of an in-memory store that can be made to fail or to compact its
// history.
type fakeFeed struct {
	mu           sync.Mutex
	entries      map[string]topo.Entry
	history      []topo.Entry
	rev          int64
	compactedRev int64
	err          error
	calls        int
}

func (f *fakeFeed) set(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	e := topo.Entry{Key: key, ModRev: f.rev}
	if value != "" {
		e.Value, e.CreateRev = []byte(value), f.rev
	}
	f.entries[key] = e
	if value == "" {
		delete(f.entries, key)
	}
	f.history = append(f.history, e)
}

func (f *fakeFeed) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history, f.compactedRev = nil, f.rev
}

func (f *fakeFeed) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeFeed) Snapshot(context.Context, string) ([]topo.Entry, topo.Progress, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var out []topo.Entry
	for _, e := range f.entries {
		out = append(out, e)
	}
	return out, topo.Progress{Rev: f.rev}, f.err
}

func (f *fakeFeed) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]topo.Event, topo.Progress, error) {
	end := time.Now().Add(wait)
	for {
		f.mu.Lock()
		f.calls++
		events, rev, err := f.since(after), f.rev, f.err
		if after < f.compactedRev && err == nil {
			err = topo.ErrCompacted
		}
		f.mu.Unlock()
		if err != nil || len(events) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return events, topo.Progress{Rev: rev}, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fakeFeed) since(after int64) []topo.Event {
	var out []topo.Event
	for _, e := range f.history {
		if e.ModRev > after {
			out = append(out, topo.Event{Entry: e})
		}
	}
	return out
}

func newFakeFeed() *fakeFeed { return &fakeFeed{entries: make(map[string]topo.Entry), rev: 1} }

// startMirror runs a mirror. The function that it returns gives the entries that result
// from the changes that the mirror has reported.
func startMirror(ctx context.Context, f *fakeFeed) (*Mirror, func() map[string]string) {
	var mu sync.Mutex
	copied := make(map[string]string)
	m := New(f, "", slog.New(slog.DiscardHandler), func(c Change) {
		mu.Lock()
		defer mu.Unlock()
		if c.Snapshot {
			clear(copied)
		}
		for _, e := range c.Entries {
			if e.Exists() {
				copied[e.Key] = string(e.Value)
			} else {
				delete(copied, e.Key)
			}
		}
	})
	go m.Run(ctx)
	return m, func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		out := make(map[string]string, len(copied))
		for k, v := range copied {
			out[k] = v
		}
		return out
	}
}

// checkCopy checks that the copy and the mirror's entries equal those of the store.
func checkCopy(t *testing.T, f *fakeFeed, m *Mirror, got map[string]string) {
	t.Helper()
	all, rev := m.All()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(got) != len(f.entries) {
		t.Errorf("copy has %v, store %v", got, f.entries)
	}
	for k, e := range f.entries {
		if got[k] != string(e.Value) {
			t.Errorf("%s is %q, store has %q", k, got[k], e.Value)
		}
	}
	if len(all) != len(f.entries) || rev != f.rev {
		t.Errorf("All returns %d entries at %d, store has %d at %d", len(all), rev, len(f.entries), f.rev)
	}
}

// Guards against a copy that differs from the store after changes, failures and
// compactions in any order.
func TestCopyMatchesStore(t *testing.T) {
	proptest.Check(t, 3, 100, func(rt *rapid.T) {
		f := newFakeFeed()
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			m, copied := startMirror(ctx, f)
			for i, s := range steps {
				switch s {
				case 0:
					f.fail(topo.ErrUnavailable)
				case 1:
					f.fail(nil)
				case 2:
					f.compact()
				case 3:
					f.set("k"+string(rune('a'+i%5)), "")
				case 4:
					time.Sleep(time.Second)
				default:
					f.set("k"+string(rune('a'+s)), string(rune('A'+i%26)))
				}
			}
			f.fail(nil)
			time.Sleep(3 * time.Second)
			checkCopy(t, f, m, copied())
			cancel()
			time.Sleep(time.Second) // synctest requires all goroutines to exit
		})
	})
}

// Guards against a series of changes in quick succession that takes a call for each.
func TestCoalescingOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }() // synctest requires all goroutines to exit
		f := newFakeFeed()
		var applied atomic.Int64
		m := New(f, "", slog.New(slog.DiscardHandler), func(Change) { applied.Add(1) })
		go m.Run(ctx)
		time.Sleep(time.Second)
		applied.Store(0)
		for i := range 100 {
			f.set("k", string(rune('a'+i%26)))
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		if limit := int64(time.Second/CoalesceDelay) + 1; applied.Load() > limit {
			t.Errorf("%d calls of apply for one second of changes, want at most %d", applied.Load(), limit)
		}
	})
}

// Guards against daemons that read a hub's copy and miss a change, or go on waiting
// after a change has arrived.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }() // synctest requires all goroutines to exit
		f := newFakeFeed()
		f.set("a", "1")
		m, _ := startMirror(ctx, f)
		time.Sleep(time.Second)
		_, rev := m.All()
		go func() {
			time.Sleep(300 * time.Millisecond)
			f.set("b", "2")
		}()
		start := time.Now()
		changes, _, err := m.Since(ctx, rev, 5*time.Second)
		if err != nil || !slices.ContainsFunc(changes, func(e topo.Entry) bool { return e.Key == "b" }) {
			t.Errorf("got %v, %v", changes, err)
		}
		if waited := time.Since(start); waited > time.Second {
			t.Errorf("Since returned after %v, although the change came after 300 ms", waited)
		}
		if _, _, err := m.Since(ctx, 0, time.Second); !errors.Is(err, topo.ErrCompacted) {
			t.Errorf("changes since before the snapshot: %v, want ErrCompacted", err)
		}
	})
}

// Guards against a status that reports the store as up while calls to it fail.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }() // synctest requires all goroutines to exit
		f := newFakeFeed()
		m, _ := startMirror(ctx, f)
		time.Sleep(time.Second)
		if !m.Status().Up {
			t.Error("store is not up")
		}
		f.fail(topo.ErrUnavailable)
		time.Sleep(time.Second)
		if m.Status().Up {
			t.Error("store is up though calls fail")
		}
		f.fail(nil)
		time.Sleep(time.Second)
		if !m.Status().Up {
			t.Error("store is not up again")
		}
	})
}

// Guards against retries that are as frequent as calls to a working store while the
// store is down: refused calls are charged for. The first delay must be short enough
// to recover quickly from a brief fault, and the longest must fit into the three
// seconds after an outage within which the copy has to be current.
func TestRetryDelayGrowsWhileStoreIsDown(t *testing.T) {
	if p := retryDelay(0); p > baseRetryDelay {
		t.Errorf("first delay %v, want at most %v", p, baseRetryDelay)
	}
	total := time.Duration(0)
	for n := range 20 {
		p := retryDelay(n)
		if p <= 0 || p > 3*time.Second/2 {
			t.Errorf("delay %v after %d failures", p, n)
		}
		total += p
	}
	// The limit is a third of the rate with a constant delay.
	if calls, limit := 20/total.Seconds(), 1/baseRetryDelay.Seconds()/3; calls > limit {
		t.Errorf("%.1f calls per second over twenty failures, want at most %.1f", calls, limit)
	}
}

// Guards against readers that get every value that a key had, instead of only the
// latest: range tables that changed ten times a second saturated the network links of
// small instances, and daemons were ten seconds behind.
func TestSinceReturnsOnlyLatestValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		f := newFakeFeed()
		m, _ := startMirror(ctx, f)
		time.Sleep(time.Second)
		from := m.Status().Rev
		for i := range 20 {
			f.set("table", fmt.Sprint("value ", i))
			f.set("other", fmt.Sprint("value ", i))
			time.Sleep(50 * time.Millisecond)
		}
		f.set("other", "")
		time.Sleep(time.Second)
		entries, rev, err := m.Since(ctx, from, 0)
		if err != nil || len(entries) != 2 || rev != from+41 {
			t.Fatalf("%d entries at revision %d, %v; want 2 at %d", len(entries), rev, err, from+41)
		}
		for _, e := range entries {
			if e.Key == "table" && string(e.Value) != "value 19" || e.Key == "other" && e.Exists() {
				t.Errorf("got %+v, want the latest value", e)
			}
		}
	})
}

// mirrorAfterTargetLeft returns a feed and a mirror of it that has seen a target register and
// leave. stop ends the mirror, as synctest requires all goroutines to exit.
func mirrorAfterTargetLeft() (f *fakeFeed, m *Mirror, copied func() map[string]string, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f = newFakeFeed()
	f.set("target", "ready")
	f.set("target", "")
	m, copied = startMirror(ctx, f)
	time.Sleep(time.Second)
	return f, m, copied, func() { cancel(); time.Sleep(time.Second) }
}

// bringTargetBack makes the feed answer from the state before the target left. The calling
// function holds the mutex.
func (f *fakeFeed) bringTargetBack() {
	f.rev--
	f.entries["target"] = topo.Entry{Key: "target", Value: []byte("ready"), CreateRev: f.rev, ModRev: f.rev}
}

// Guards against taking a store that answers from an earlier state for current: it does not
// show what was written since, such as a target that has left or keys that have moved.
func TestEarlierStateIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, m, copied, stop := mirrorAfterTargetLeft()
		defer stop()
		f.mu.Lock()
		rev := f.rev
		f.history = nil
		f.bringTargetBack()
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		if s := m.Status(); s.Up || s.Rev != rev {
			t.Errorf("status %+v, want not up at revision %d", s, rev)
		}
		if len(copied()) != 0 {
			t.Errorf("entries %v are back", copied())
		}
		f.mu.Lock()
		f.rev = rev
		delete(f.entries, "target")
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		if s := m.Status(); !s.Up || len(copied()) != 0 {
			t.Errorf("after the store's return: status %+v, entries %v", s, copied())
		}
	})
}

// Guards against a copy that goes back when everything has to be read again and another daemon
// offers an older copy: a target that has left would be in use again.
func TestOlderSnapshotIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, m, copied, stop := mirrorAfterTargetLeft()
		defer stop()
		f.mu.Lock()
		rev := f.rev
		f.compactedRev = rev + 1
		f.bringTargetBack()
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		if s := m.Status(); s.Up || s.Rev != rev || len(copied()) != 0 {
			t.Errorf("status %+v, entries %v, want not up at revision %d without entries", s, copied(), rev)
		}
	})
}

// Guards against a copy that does not follow a store that came back from a copy itself, with lower
// revisions, and against registrations that count as ended because the store lost them.
func TestMirrorFollowsRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, m, copied, stop := mirrorAfterTargetLeft()
		defer stop()
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		before := f.rev
		f.rev = topo.Position(1, f.rev)
		f.compactedRev = f.rev
		f.bringTargetBack()
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		s := m.Status()
		if !s.Up || topo.EraOf(s.Rev) != 1 || topo.RevOf(s.Rev) >= before || len(copied()) != 1 {
			t.Errorf("status %+v, entries %v, want those of the restored store", s, copied())
		}
		if s.UpSince == 0 || s.CurrentAt-s.UpSince > 3*time.Second {
			t.Errorf("up since %v at %v, want since the restoration", s.UpSince, s.CurrentAt)
		}
		if _, _, err := m.Since(t.Context(), before, 0); !errors.Is(err, topo.ErrCompacted) {
			t.Errorf("changes since a position of the earlier era: %v, want ErrCompacted", err)
		}
	})
}

// Guards against a status that tells that a change is applied while apply still runs.
func TestStatusOfAChangeBeingApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFeed()
		f.set("a", "1")
		ctx, stop := context.WithCancel(t.Context())
		var m *Mirror
		m = New(f, "", slog.New(slog.DiscardHandler), func(Change) {
			if s := m.Status(); s.AppliedAt >= s.CurrentAt {
				t.Errorf("applied up to %v while the copy of %v is being applied", s.AppliedAt, s.CurrentAt)
			}
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		f.set("a", "2")
		time.Sleep(2 * time.Second)
		if s := m.Status(); s.AppliedAt != s.CurrentAt {
			t.Errorf("applied up to %v, want %v", s.AppliedAt, s.CurrentAt)
		}
		stop()
		<-done
	})
}

// pagedFeed is a feed whose snapshot has an entry that changed while its pages were read.
type pagedFeed struct{ *fakeFeed }

func (f pagedFeed) Snapshot(ctx context.Context, prefix string) ([]topo.Entry, topo.Progress, error) {
	first := f.rev
	f.set("x", "new")
	entries, _, err := f.fakeFeed.Snapshot(ctx, prefix)
	return entries, topo.Progress{Rev: first}, err
}

// Guards against a change that a hub read with a later page of a snapshot and never passes on: a
// daemon that was ahead of the first page missed it until the entry changed again.
func TestChangesOfLaterPagesArePassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }() // synctest requires all goroutines to exit
		feed := pagedFeed{newFakeFeed()}
		feed.set("x", "old")
		feed.set("y", "known to the reader")
		ahead := feed.rev
		m := New(feed, "", slog.New(slog.DiscardHandler), func(Change) {})
		go m.Run(ctx)
		time.Sleep(time.Second)
		changes, rev, err := m.Since(ctx, ahead, 0)
		if err != nil || len(changes) != 1 || string(changes[0].Value) != "new" || rev != changes[0].ModRev {
			t.Errorf("changes since %d: %+v at %d, %v, want that of x", ahead, changes, rev, err)
		}
	})
}
