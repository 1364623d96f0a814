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

// reader keeps a copy of the store by a feed.
type reader struct {
	feed *Feed
	copy map[string]string
	rev  int64
}

func open(t interface {
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

// follow takes over the changes of one call.
func (r *reader) follow(wait time.Duration) (topo.Progress, error) {
	events, progress, err := r.feed.Changes(context.Background(), prefix, r.rev, wait)
	if err != nil {
		return progress, err
	}
	for _, e := range events {
		if e.Entry.ModRev <= r.rev {
			return progress, fmt.Errorf("change at revision %d after %d was read", e.Entry.ModRev, r.rev)
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

func put(t interface{ Fatal(...any) }, s *memstore.Store, keys ...string) {
	txn := topo.Txn{}
	for _, k := range keys {
		txn.Puts = append(txn.Puts, topo.Put{Key: prefix + k, Value: []byte(k)})
	}
	if _, err := s.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
}

// Guards against a copy that differs from the store, and against changes of one
// transaction that are told under a revision that was told before: readers that
// follow this one would miss them. A fleet did not learn two of three targets.
func TestCopyFollowsTheStore(t *testing.T) {
	proptest.Check(t, 21, 60, func(t *rapid.T) {
		store, r := open(t)
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
			for range 100 { // the watch may tell of a change a moment later
				if _, err := r.follow(10 * time.Millisecond); err != nil {
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

// Guards against a watch that has fallen silent: changes must be found all the
// same, and the age of the copy must tell how old it may be.
func TestSilentWatchIsNoticed(t *testing.T) {
	store, r := open(t)
	if err := store.Shared().SetFaults(memstore.Faults{SilentWatch: true}); err != nil {
		t.Fatal(err)
	}
	put(t, store, "a")
	start := time.Now()
	for r.copy[prefix+"a"] == "" {
		progress, err := r.follow(50 * time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 2*verifyEvery || progress.Age > 2*verifyEvery {
			t.Fatalf("change not found after %v, by a copy that says it is %v old", took, progress.Age)
		}
	}
}

// Guards against a watch that has ended and is not opened again.
func TestEndedWatchIsOpenedAgain(t *testing.T) {
	store, r := open(t)
	down := memstore.Faults{Down: memstore.DownReset}
	if err := store.Shared().SetFaults(down); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := r.follow(20 * time.Millisecond); err == nil {
			continue // the watch had ended; the next call finds the store down
		} else if !errors.Is(err, topo.ErrUnavailable) {
			t.Fatal(err)
		}
	}
	if err := store.Shared().SetFaults(memstore.Faults{}); err != nil {
		t.Fatal(err)
	}
	put(t, store, "a", "b")
	if _, err := r.follow(time.Second); err != nil || len(r.copy) != 2 {
		t.Fatalf("copy %v after the store's return: %v", r.copy, err)
	}
	start := time.Now()
	time.AfterFunc(50*time.Millisecond, func() { put(t, store, "c") })
	for r.copy[prefix+"c"] == "" {
		if _, err := r.follow(verifyEvery); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > verifyEvery/2 {
		t.Errorf("change told after %v: the watch was not opened again", took)
	}
}

// Guards against a store that answers from an earlier state and is believed.
func TestEarlierStateIsNotBelieved(t *testing.T) {
	store, r := open(t)
	put(t, store, "a")
	for r.copy[prefix+"a"] == "" {
		if _, err := r.follow(50 * time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Shared().SetFaults(memstore.Faults{RollbackTo: 1}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(verifyEvery)
	if _, err := r.follow(0); !errors.Is(err, topo.ErrBadReply) {
		t.Errorf("an earlier state was read: %v, copy %v", err, r.copy)
	}
	if r.copy[prefix+"a"] == "" {
		t.Error("a key was dropped by an earlier state")
	}
}
