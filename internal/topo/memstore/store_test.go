package memstore_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
	"github.com/jackdawloom/jackdawloom/internal/topo/topotest"
)

// Guards against watches and delayed calls that outlive their contexts.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestContract(t *testing.T) {
	topotest.Run(t, func(t *testing.T) topotest.Backend {
		shared := memstore.NewSharedState(memstore.HistoryLimits{})
		t.Cleanup(shared.Close)
		store := memstore.New(shared)
		return topotest.Backend{Store: store, Shared: shared, SetFaults: shared.SetFaults}
	})
}

// Guards against a lease that expires only with the next call: a store without calls must
// end it on time and notify the watches.
func TestLeaseEndsWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := memstore.NewSharedState(memstore.HistoryLimits{})
		defer shared.Close()
		store := memstore.New(shared)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		short := mustGrant(t, store, 1500*time.Millisecond)
		long := mustGrant(t, store, 3*time.Second)
		events, err := store.Watch(ctx, "", 0)
		if err != nil {
			t.Fatal(err)
		}
		txn := topo.Txn{Puts: []topo.Put{{Key: "long", Lease: long}, {Key: "short", Lease: short}}}
		if _, err := store.Commit(ctx, txn); err != nil {
			t.Fatal(err)
		}
		for _, want := range []struct {
			key   string
			after time.Duration
		}{{"long", 0}, {"short", 0}, {"short", 2 * time.Second}, {"long", 3 * time.Second}} {
			e := <-events
			if e.Entry.Key != want.key || e.Entry.Exists() != (want.after == 0) || time.Since(start) != want.after {
				t.Fatalf("event %+v after %v, want %+v", e, time.Since(start), want)
			}
		}
	})
}

func mustGrant(t *testing.T, s topo.Store, ttl time.Duration) topo.LeaseID {
	t.Helper()
	id, err := s.GrantLease(t.Context(), ttl)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// Guards against counters that miss a kind of call or count the events of a watch. The
// comparison with the store's call budget depends on them.
func TestCounters(t *testing.T) {
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	defer shared.Close()
	store := memstore.New(shared)
	ctx, cancel := context.WithCancel(t.Context())
	events, err := store.Watch(ctx, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := store.Commit(ctx, topo.Txn{Puts: []topo.Put{{Key: "k"}}}); err != nil {
			t.Fatal(err)
		}
		<-events
	}
	if _, err := store.Get(ctx, ""); !errors.Is(err, topo.ErrRefused) {
		t.Fatalf("empty key: %v", err)
	}
	if got := shared.Counters(); got.Calls[memstore.CallTxn] != 3 || got.Calls[memstore.CallWatch] != 1 ||
		got.Total != 4 || got.OpenWatches != 1 {
		t.Fatalf("counters %+v", got)
	}
	cancel()
	for range events {
	}
	if got := shared.Counters().OpenWatches; got != 0 {
		t.Fatalf("%d open watches after the end of the only one", got)
	}
}
