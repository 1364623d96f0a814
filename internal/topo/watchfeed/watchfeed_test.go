package watchfeed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

const prefix = "p/"

// reader keeps a copy of the store that it updates from a feed.
type reader struct {
	feed *Feed
	copy map[string]string
	rev  int64
}

func openReader(t interface {
	Fatal(...any)
	Cleanup(func())
}) (*memstore.Store, *reader) {
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	t.Cleanup(shared.Close)
	store := memstore.New(shared)
	r := &reader{feed: New(store), copy: make(map[string]string)}
	t.Cleanup(r.feed.Close)
	entries, progress, err := r.feed.Snapshot(context.Background(), prefix)
	if err != nil || len(entries) > 0 {
		t.Fatal("snapshot of an empty store: ", entries, err)
	}
	r.rev = progress.Rev
	return store, r
}

// applyChanges calls Changes once and applies the changes to the copy.
func (r *reader) applyChanges(wait time.Duration) (topo.Progress, error) {
	events, progress, err := r.feed.Changes(context.Background(), prefix, r.rev, wait)
	if err != nil {
		return progress, err
	}
	for _, e := range events {
		if e.Entry.ModRev <= r.rev {
			return progress, fmt.Errorf("change at revision %d, but revision %d was already read", e.Entry.ModRev, r.rev)
		}
		if e.Entry.Exists() {
			r.copy[e.Entry.Key] = string(e.Entry.Value)
		} else {
			delete(r.copy, e.Entry.Key)
		}
	}
	r.rev = progress.Rev
	return progress, nil
}

func commitPuts(t interface{ Fatal(...any) }, s *memstore.Store, keys ...string) {
	txn := topo.Txn{}
	for _, k := range keys {
		txn.Puts = append(txn.Puts, topo.Put{Key: prefix + k, Value: []byte(k)})
	}
	if _, err := s.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

// Guards against a copy that differs from the store, and against changes of one
// transaction that are returned with a revision that was returned before: readers that
// continue from that revision miss them. A fleet missed two of three targets in this
// way.
func TestCopyMatchesStore(t *testing.T) {
	proptest.Check(t, 21, 60, func(t *rapid.T) {
		store, r := openReader(t)
		want := make(map[string]string)
		names := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			txn := topo.Txn{}
			for _, n := range names {
				switch rapid.IntRange(0, 3).Draw(t, n) {
				case 0:
					value := rapid.StringN(0, 3, 5).Draw(t, "value")
					txn.Puts = append(txn.Puts, topo.Put{Key: prefix + n, Value: []byte(value)})
					want[prefix+n] = value
				case 1:
					txn.Deletes = append(txn.Deletes, prefix+n)
					delete(want, prefix+n)
				}
			}
			if _, err := store.Commit(context.Background(), txn); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "read") {
				continue
			}
			for range 100 { // the watch may deliver the event with a delay
				if _, err := r.applyChanges(10 * time.Millisecond); err != nil {
					t.Fatal(err)
				}
				if maps.Equal(r.copy, want) {
					break
				}
			}
			if !maps.Equal(r.copy, want) {
				t.Fatalf("copy %v, want %v", r.copy, want)
			}
		}
	})
}

// Guards against a watch that stops delivering events: changes must still be found,
// and the age of the copy must stay bounded.
func TestChangesAreFoundDespiteSilentWatch(t *testing.T) {
	store, r := openReader(t)
	if err := store.Shared().SetFaults(memstore.Faults{SilentWatch: true}); err != nil {
		t.Fatal(err)
	}
	commitPuts(t, store, "a")
	start := time.Now()
	for r.copy[prefix+"a"] == "" {
		progress, err := r.applyChanges(50 * time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if elapsed := time.Since(start); elapsed > 2*fullReadInterval || progress.Age > 2*fullReadInterval {
			t.Fatalf("change not found after %v, reported age of the copy %v", elapsed, progress.Age)
		}
	}
}

// Guards against a watch that is not reopened after it has ended.
func TestEndedWatchIsReopened(t *testing.T) {
	store, r := openReader(t)
	down := memstore.Faults{Down: memstore.DownReset}
	if err := store.Shared().SetFaults(down); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := r.applyChanges(20 * time.Millisecond); err == nil {
			continue // the end of the watch was read; the next call fails
		} else if !errors.Is(err, topo.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	if err := store.Shared().SetFaults(memstore.Faults{}); err != nil {
		t.Fatal(err)
	}
	commitPuts(t, store, "a", "b")
	if _, err := r.applyChanges(time.Second); err != nil || len(r.copy) != 2 {
		t.Fatalf("copy %v after the store became available again: %v", r.copy, err)
	}
	start := time.Now()
	time.AfterFunc(50*time.Millisecond, func() { commitPuts(t, store, "c") })
	for r.copy[prefix+"c"] == "" {
		if _, err := r.applyChanges(fullReadInterval); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > fullReadInterval/2 {
		t.Errorf("change returned after %v: the watch was not reopened", elapsed)
	}
}

// Guards against accepting a reply from an earlier state of the store.
func TestEarlierRevisionIsRejected(t *testing.T) {
	store, r := openReader(t)
	commitPuts(t, store, "a")
	for r.copy[prefix+"a"] == "" {
		if _, err := r.applyChanges(50 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Shared().SetFaults(memstore.Faults{RollbackTo: 1}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(fullReadInterval)
	if _, err := r.applyChanges(0); !errors.Is(err, topo.ErrBadReply) {
		t.Errorf("reply from an earlier state: %v, want ErrBadReply; copy %v", err, r.copy)
	}
	if r.copy[prefix+"a"] == "" {
		t.Error("a reply from an earlier state removed a key from the copy")
	}
}
