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

// fakeFeed is a store whose history can be cut and which can fail.
type fakeFeed struct {
	mu      sync.Mutex
	entries map[string]topo.Entry
	history []topo.Entry
	rev     int64
	oldest  int64
	err     error
	calls   int
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
	f.history, f.oldest = nil, f.rev
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
		if after < f.oldest && err == nil {
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

// start runs a mirror and returns it with what it passed on.
func start(ctx context.Context, f *fakeFeed) (*Mirror, func() map[string]string) {
	var mu sync.Mutex
	seen := make(map[string]string)
	m := New(f, "", slog.New(slog.DiscardHandler), func(c Change) {
		mu.Lock()
		defer mu.Unlock()
		if c.Snapshot {
			clear(seen)
		}
		for _, e := range c.Entries {
			if e.Exists() {
				seen[e.Key] = string(e.Value)
			} else {
				delete(seen, e.Key)
			}
		}
	})
	go m.Run(ctx)
	return m, func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		out := make(map[string]string, len(seen))
		for k, v := range seen {
			out[k] = v
		}
		return out
	}
}

// compare fails unless the copy is that of the store.
func compare(t *testing.T, f *fakeFeed, m *Mirror, got map[string]string) {
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
// lost history in any order.
func TestCopyFollowsStore(t *testing.T) {
	proptest.Check(t, 3, 100, func(rt *rapid.T) {
		f := newFakeFeed()
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			m, seen := start(ctx, f)
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
			compare(t, f, m, seen())
			cancel()
			time.Sleep(time.Second) // the bubble ends with its goroutines
		})
	})
}

// Guards against a series of changes that takes a call each.
func TestCoalescesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }() // the bubble ends with its goroutines
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
		if most := int64(time.Second/Coalesce) + 1; applied.Load() > most {
			t.Errorf("%d calls for a second of changes, want at most %d", applied.Load(), most)
		}
	})
}

// Guards against daemons that read a hub's copy and miss a change, or wait after
// it has come.
func TestSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }() // the bubble ends with its goroutines
		f := newFakeFeed()
		f.set("a", "1")
		m, _ := start(ctx, f)
		time.Sleep(time.Second)
		_, rev := m.All()
		go func() {
			time.Sleep(300 * time.Millisecond)
			f.set("b", "2")
		}()
		begin := time.Now()
		changes, _, err := m.Since(ctx, rev, 5*time.Second)
		if err != nil || !slices.ContainsFunc(changes, func(e topo.Entry) bool { return e.Key == "b" }) {
			t.Errorf("got %v, %v", changes, err)
		}
		if waited := time.Since(begin); waited > time.Second {
			t.Errorf("waited %v for a change after 300 ms", waited)
		}
		if _, _, err := m.Since(ctx, 0, time.Second); !errors.Is(err, topo.ErrCompacted) {
			t.Errorf("changes before the copy: %v, want ErrCompacted", err)
		}
	})
}

// Guards against a store that is taken for reached while calls fail.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }() // the bubble ends with its goroutines
		f := newFakeFeed()
		m, _ := start(ctx, f)
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

// Guards against calls to a store that is down at the rate of one that answers:
// refused calls are charged for. A short fault must still be over soon, and the
// longest pause must leave room in the three seconds after an outage.
func TestPausesGrowWhileTheStoreIsDown(t *testing.T) {
	if p := retryPause(0); p > retryDelay {
		t.Errorf("first pause %v, want at most %v", p, retryDelay)
	}
	total := time.Duration(0)
	for n := range 20 {
		p := retryPause(n)
		if p <= 0 || p > 3*time.Second/2 {
			t.Errorf("pause %v after %d failures", p, n)
		}
		total += p
	}
	// A third of the rate without growing pauses.
	if calls, most := 20/total.Seconds(), 1/retryDelay.Seconds()/3; calls > most {
		t.Errorf("%.1f calls a second over twenty failures, want at most %.1f", calls, most)
	}
}

// Guards against readers that get every value that a key had: tables of ranges that
// changed ten times a second filled the links of small instances, and daemons were
// ten seconds behind.
func TestSinceReturnsTheNewestValueOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); time.Sleep(time.Second) }()
		f := newFakeFeed()
		m, _ := start(ctx, f)
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
				t.Errorf("got %+v, want the newest value", e)
			}
		}
	})
}
