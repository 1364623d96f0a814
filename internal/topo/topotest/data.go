package topotest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Guards against a transaction that is applied although a condition does not hold, that is
// applied in part, or that reports a wrong revision. Two coordinators would then both
// believe that their table was written.
func testCompareAndSwap(f *fixture) {
	create := topo.Txn{
		Compares: []topo.Compare{{Key: "a", Field: topo.CompareCreateRev, Rev: 0}},
		Puts:     []topo.Put{{Key: "a", Value: []byte("1")}, {Key: "b", Value: nil}},
	}
	first, err := f.Store.Commit(f.ctx, create)
	f.must(err)
	a, b := f.wantValue("a", "1"), f.wantValue("b", "")
	if !first.Succeeded || a.CreateRev != first.Rev || b.ModRev != first.Rev {
		f.Fatalf("commit %+v wrote %+v and %+v", first, a, b)
	}
	repeated, err := f.Store.Commit(f.ctx, create)
	f.must(err)
	if repeated.Succeeded || repeated.Rev != first.Rev {
		f.Fatalf("second creation: %+v, want failure at revision %d", repeated, first.Rev)
	}
	update := topo.Txn{
		Compares: []topo.Compare{
			{Key: "a", Field: topo.CompareModRev, Rev: a.ModRev},
			{Key: "b", Field: topo.CompareModRev, Rev: b.ModRev + 1},
		},
		Puts: []topo.Put{{Key: "a", Value: []byte("2")}},
	}
	res, err := f.Store.Commit(f.ctx, update)
	f.must(err)
	if res.Succeeded {
		f.Fatal("commit succeeded although one of two conditions was wrong")
	}
	update.Compares[1].Rev = b.ModRev
	update.Deletes = []string{"b"}
	res, err = f.Store.Commit(f.ctx, update)
	f.must(err)
	f.wantMissing("b")
	if a = f.wantValue("a", "2"); a.ModRev != first.Rev+1 || a.CreateRev != first.Rev || res.Rev != a.ModRev {
		f.Fatalf("after %+v: %+v", res, a)
	}
	_, err = f.Store.Commit(f.ctx, topo.Txn{Puts: []topo.Put{{Key: "a"}}, Deletes: []string{"a"}})
	if !errors.Is(err, topo.ErrRefused) {
		f.Fatalf("put and delete of one key: %v, want ErrRefused", err)
	}
}

// Guards against a prefix that selects neighboring keys, and against an unsorted list.
func testList(f *fixture) {
	for _, key := range []string{"p/b", "p0", "p/a", "p", "\xff\xff2", "\xff", "p/a/x", "p\xff", "q"} {
		f.put(key, key, 0)
	}
	want := map[string][]string{
		"p/":    {"p/a", "p/a/x", "p/b"},
		"\xff":  {"\xff", "\xff\xff2"},
		"p\xff": {"p\xff"},
		"none":  nil,
		"":      {"p", "p/a", "p/a/x", "p/b", "p0", "p\xff", "q", "\xff", "\xff\xff2"},
	}
	for prefix, keys := range want {
		list, err := f.Store.List(f.ctx, prefix)
		f.must(err)
		var got []string
		for _, e := range list {
			if string(e.Value) != e.Key || e.ModRev == 0 {
				f.Errorf("entry %+v", e)
			}
			got = append(got, e.Key)
		}
		if !slices.Equal(got, keys) {
			f.Errorf("list of %q: %q, want %q", prefix, got, keys)
		}
	}
}

// Guards against values within the limit that are truncated or refused, and against a larger
// value that is written or that is not reported as refused without effect.
func testValueSize(f *fixture) {
	largest := bytes.Repeat([]byte{0xfe}, topo.MaxValueBytes)
	f.put("large", string(largest), 0)
	if e := f.get("large"); !bytes.Equal(e.Value, largest) {
		f.Fatalf("wrote a value of %d bytes, read %d bytes", len(largest), len(e.Value))
	}
	_, err := f.Store.Commit(f.ctx, putTxn("large", string(largest)+"x", 0))
	if !errors.Is(err, topo.ErrRefused) || errors.Is(err, topo.ErrUnknownResult) {
		f.Fatalf("oversized value: %v, want ErrRefused", err)
	}
	if e := f.get("large"); len(e.Value) != len(largest) {
		f.Fatal("refused value was written")
	}
}

// Guards against changes that a watch misses, repeats or reorders while several writers are
// active and the reader is slow.
func testWatchOrder(f *fixture) {
	const writers, writes = 4, 30
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	events := f.watch(ctx, "w/", 0)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range writes {
				txn := putTxn(fmt.Sprintf("w/%d", w), strconv.Itoa(i), 0)
				txn.Puts = append(txn.Puts, topo.Put{Key: "other"})
				if _, err := f.Store.Commit(ctx, txn); err != nil {
					f.Error(err)
				}
			}
		})
	}
	wg.Wait()
	seen := f.collectEvents(events, writers*writes)
	f.put("w/0", "x", 0)
	if e := f.nextEvent(events); string(e.Value) != "x" {
		f.Fatalf("event %+v after the last change", e)
	}
	replayed := f.collectEvents(f.watch(ctx, "w/", seen[0].ModRev), writers*writes)
	for i := range seen {
		if seen[i].ModRev != replayed[i].ModRev || !bytes.Equal(seen[i].Value, replayed[i].Value) {
			f.Fatalf("event %d is %+v when replayed, %+v at first", i, replayed[i], seen[i])
		}
	}
}

// collectEvents reads n events. It requires that their revisions increase and that the
// values of each key count up from 0.
func (f *fixture) collectEvents(events <-chan topo.Event, n int) []topo.Entry {
	f.Helper()
	counts := map[string]int{}
	var list []topo.Entry
	for i := range n {
		e := f.nextEvent(events)
		if i > 0 && e.ModRev <= list[i-1].ModRev {
			f.Fatalf("event %+v after revision %d", e, list[i-1].ModRev)
		}
		if string(e.Value) != strconv.Itoa(counts[e.Key]) {
			f.Fatalf("event %+v, want value %d", e, counts[e.Key])
		}
		counts[e.Key]++
		list = append(list, e)
	}
	return list
}

// Guards against a watch that stays open although it cannot deliver events: after its
// context has ended, and when its start revision has been compacted.
func testWatchEnds(f *fixture) {
	ctx, cancel := context.WithCancel(f.ctx)
	events := f.watch(ctx, "", 0)
	cancel()
	f.wantClosed(events)

	first := f.put("a", "1", 0)
	last := f.put("a", "2", 0)
	f.Shared.Do(func(s *memstore.State) { f.must(s.Compact(last)) })
	f.wantClosed(f.watch(f.ctx, "a", first))
	ctx, cancel = context.WithCancel(f.ctx)
	defer cancel()
	if e := f.nextEvent(f.watch(ctx, "a", last)); string(e.Value) != "2" {
		f.Fatalf("event %+v, want the one at the compacted revision", e)
	}
}

// Guards against a SilentWatch fault that has no effect on open watches. The compaction
// shows that it has one: the events to deliver are compacted while the watch is silent, so
// it must end without having delivered any.
func testWatchSilent(f *fixture) {
	events := f.watch(f.ctx, "a", 0)
	f.injectFaults(memstore.Faults{SilentWatch: true})
	f.put("a", "1", 0)
	last := f.put("a", "2", 0)
	f.wantValue("a", "2")
	f.Shared.Do(func(s *memstore.State) { f.must(s.Compact(last)) })
	f.injectFaults(memstore.Faults{})
	f.wantClosed(events)
}

// Guards against leases that expire too early or too late, or whose expiry does not delete
// their keys.
func testLeaseExpiry(f *fixture) {
	id, err := f.Store.GrantLease(f.ctx, 99_500*time.Millisecond)
	f.must(err)
	f.put("l/1", "x", id)
	f.put("l/2", "x", id)
	f.put("l/2", "kept", 0)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	events := f.watch(ctx, "l/", 0)

	f.Shared.AdvanceClock(60 * time.Second)
	f.must(f.Store.KeepAlive(f.ctx, id))
	f.Shared.AdvanceClock(60 * time.Second)
	if e := f.wantValue("l/1", "x"); e.Lease != id {
		f.Fatalf("lease of %+v, want %d", e, id)
	}
	f.Shared.AdvanceClock(40 * time.Second)
	if e := f.nextEvent(events); e.Key != "l/1" || e.Exists() || e.ModRev == 0 {
		f.Fatalf("event %+v, want the deletion of l/1", e)
	}
	f.wantMissing("l/1")
	f.wantValue("l/2", "kept")
	if err := f.Store.KeepAlive(f.ctx, id); !errors.Is(err, topo.ErrLeaseNotFound) {
		f.Fatalf("renewal of an expired lease: %v", err)
	}
}

// Guards against calls with an ended lease that succeed or have an effect, and against a
// lease that still exists after its revocation.
func testLeaseCalls(f *fixture) {
	id, err := f.Store.GrantLease(f.ctx, time.Hour)
	f.must(err)
	f.put("l", "x", id)
	f.must(f.Store.RevokeLease(f.ctx, id))
	f.wantMissing("l")
	if err := f.Store.RevokeLease(f.ctx, id); !errors.Is(err, topo.ErrLeaseNotFound) {
		f.Errorf("second revocation: %v", err)
	}
	txn := putTxn("m", "x", 0)
	txn.Puts = append(txn.Puts, topo.Put{Key: "l", Lease: id})
	if _, err := f.Store.Commit(f.ctx, txn); !errors.Is(err, topo.ErrLeaseNotFound) {
		f.Errorf("put with a revoked lease: %v", err)
	}
	f.wantMissing("m")
	if _, err := f.Store.GrantLease(f.ctx, 0); !errors.Is(err, topo.ErrRefused) {
		f.Errorf("lease without a TTL: %v", err)
	}

	id, err = f.Store.GrantLease(f.ctx, time.Hour)
	f.must(err)
	f.put("l", "x", id)
	f.injectFaults(memstore.Faults{ExpireLeases: true})
	f.wantMissing("l")
	if err := f.Store.KeepAlive(f.ctx, id); !errors.Is(err, topo.ErrLeaseNotFound) {
		f.Errorf("renewal of a lease ended by ExpireLeases: %v", err)
	}
}
