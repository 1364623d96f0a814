// Package topotest is the contract test of topo.Store and topo.Lister. Every
// implementation runs it against a store into which it can inject faults.
package topotest

import (
	"context"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// testTimeout bounds every wait for an expected event; it is reached only if a test fails.
const testTimeout = 20 * time.Second

// Backend is a new, empty store under test. Shared is the state that it serves.
type Backend struct {
	Store interface {
		topo.Store
		topo.Lister
	}
	Shared    *memstore.SharedState
	SetFaults func(memstore.Faults) error
}

// Run runs the contract test. open returns a new, empty store for each subtest and
// registers its cleanup with t.Cleanup.
func Run(t *testing.T, open func(t *testing.T) Backend) {
	subtests := []struct {
		name string
		test func(*fixture)
	}{
		{"CompareAndSwap", testCompareAndSwap},
		{"List", testList},
		{"LeaseExpiry", testLeaseExpiry},
		{"LeaseCalls", testLeaseCalls},
		{"WatchOrder", testWatchOrder},
		{"WatchEnds", testWatchEnds},
		{"WatchSilent", testWatchSilent},
		{"LostReply", testLostReply},
		{"LateWrite", testLateWrite},
		{"Down", testDown},
		{"Rollback", testRollback},
		{"MalformedReply", testMalformedReply},
		{"ValueSize", testValueSize},
	}
	for _, p := range subtests {
		t.Run(p.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			t.Cleanup(cancel)
			p.test(&fixture{T: t, Backend: open(t), ctx: ctx})
		})
	}
}

// fixture is a store under test with helpers that fail the test.
type fixture struct {
	*testing.T
	Backend
	ctx context.Context
}

func (f *fixture) must(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

func (f *fixture) injectFaults(faults memstore.Faults) {
	f.Helper()
	f.must(f.SetFaults(faults))
}

func (f *fixture) get(key string) topo.Entry {
	f.Helper()
	e, err := f.Store.Get(f.ctx, key)
	f.must(err)
	return e
}

func (f *fixture) wantValue(key, value string) topo.Entry {
	f.Helper()
	e := f.get(key)
	if !e.Exists() || string(e.Value) != value || e.Key != key {
		f.Fatalf("%s is %+v, want value %q", key, e, value)
	}
	return e
}

func (f *fixture) wantMissing(key string) {
	f.Helper()
	if e := f.get(key); e.Exists() {
		f.Fatalf("%s is %+v, want no entry", key, e)
	}
}

func (f *fixture) put(key, value string, lease topo.LeaseID) int64 {
	f.Helper()
	res, err := f.Store.Commit(f.ctx, putTxn(key, value, lease))
	f.must(err)
	if !res.Succeeded {
		f.Fatalf("unconditional put of %s: %+v", key, res)
	}
	return res.Rev
}

func putTxn(key, value string, lease topo.LeaseID) topo.Txn {
	return topo.Txn{Puts: []topo.Put{{Key: key, Value: []byte(value), Lease: lease}}}
}

func (f *fixture) watch(ctx context.Context, prefix string, from int64) <-chan topo.Event {
	f.Helper()
	events, err := f.Store.Watch(ctx, prefix, from)
	f.must(err)
	return events
}

func (f *fixture) nextEvent(events <-chan topo.Event) topo.Entry {
	f.Helper()
	select {
	case e, ok := <-events:
		if !ok {
			f.Fatal("watch ended, want an event")
		}
		return e.Entry
	case <-f.ctx.Done():
		f.Fatal("no event before the test timeout")
	}
	return topo.Entry{}
}

// wantClosed requires that the watch ends without delivering another event.
func (f *fixture) wantClosed(events <-chan topo.Event) {
	f.Helper()
	select {
	case e, ok := <-events:
		if ok {
			f.Fatalf("event %+v, want the end of the watch", e)
		}
	case <-f.ctx.Done():
		f.Fatal("watch did not end before the test timeout")
	}
}
