package topotest

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Times for calls that get no reply in time. longDelay is longer than any test runs, so the
// result does not depend on the speed of the machine.
const (
	shortTimeout = 50 * time.Millisecond
	longDelay    = time.Hour
)

// Guards against a write that is repeated, or reported as failed, when its reply was lost.
// Reading the key must show whether the write took effect.
func testLostReply(f *fixture) {
	rev := f.put("k", "0", 0)
	f.injectFaults(memstore.Faults{LoseWriteAnswers: 1})
	f.wantUnknown(f.ctx, "applied")
	rev++
	f.wantRev("k", "applied", rev)

	f.injectFaults(memstore.Faults{DropWrites: 1})
	f.wantUnknown(f.ctx, "dropped")
	f.wantRev("k", "applied", rev)

	f.injectFaults(memstore.Faults{LoseWriteAnswers: 1, HangLost: true})
	ctx, cancel := context.WithCancel(f.ctx)
	events := f.watch(f.ctx, "k", 0)
	go func() {
		<-events
		cancel()
	}()
	f.wantUnknown(ctx, "waiting")
	f.wantRev("k", "waiting", rev+1)

	if left := f.Shared.Faults(); left.LoseWriteAnswers != 0 || left.DropWrites != 0 {
		f.Fatalf("faults left: %+v", left)
	}
	f.injectFaults(memstore.Faults{LoseLeaseAnswers: memstore.AllCalls})
	if _, err := f.Store.GrantLease(f.ctx, time.Hour); !errors.Is(err, topo.ErrUnknownResult) {
		f.Fatalf("lease: %v, want ErrUnknownResult", err)
	}
	f.put("k", "writes are not affected", 0)
}

func (f *fixture) wantUnknown(ctx context.Context, value string) {
	f.Helper()
	_, err := f.Store.Commit(ctx, putTxn("k", value, 0))
	if !errors.Is(err, topo.ErrUnknownResult) {
		f.Fatalf("write of %s: %v, want ErrUnknownResult", value, err)
	}
}

func (f *fixture) wantRev(key, value string, rev int64) {
	f.Helper()
	if e := f.wantValue(key, value); e.ModRev != rev {
		f.Fatalf("%s has revision %d, want %d", key, e.ModRev, rev)
	}
}

// Guards against treating a write whose caller gave up as one that had no effect: a slow
// store applies it later. A deadline must also end a read.
func testLateWrite(f *fixture) {
	events := f.watch(f.ctx, "k", 0)
	f.injectFaults(memstore.Faults{DelayMs: longDelay.Milliseconds()})
	ctx, cancel := context.WithCancel(f.ctx)
	go func() {
		f.waitForCall(memstore.CallTxn)
		cancel()
	}()
	f.wantUnknown(ctx, "late")

	ctx, cancel = context.WithTimeout(f.ctx, shortTimeout)
	defer cancel()
	_, err := f.Store.Get(ctx, "k")
	if !errors.Is(err, topo.ErrUnavailable) || !errors.Is(err, context.DeadlineExceeded) {
		f.Fatalf("read: %v, want ErrUnavailable and DeadlineExceeded", err)
	}
	f.Shared.Do(func(s *memstore.State) {
		if len(s.Range(keyrange.One("k"))) > 0 {
			f.Error("the write was applied when the caller gave up, not after the delay")
		}
	})
	f.injectFaults(memstore.Faults{})
	if e := f.nextEvent(events); string(e.Value) != "late" {
		f.Fatalf("event %+v, want the late write", e)
	}
}

// waitForCall waits until the store has received a call of kind c.
func (f *fixture) waitForCall(c memstore.Call) {
	for f.ctx.Err() == nil && f.Shared.Counters().Calls[c] == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against an outage that is reported as another error, and against a refused
// connection that is reported as an unknown result, after which the caller would read the
// key back although the write had no effect.
func testDown(f *fixture) {
	f.put("k", "0", 0)
	unknown := map[memstore.Down]bool{memstore.DownRefuse: false, memstore.DownReset: true}
	for _, down := range []memstore.Down{memstore.DownRefuse, memstore.DownReset} {
		events := f.watch(f.ctx, "k", 0)
		f.injectFaults(memstore.Faults{Down: down})
		_, err := f.Store.Commit(f.ctx, putTxn("k", string(down), 0))
		if errors.Is(err, topo.ErrUnknownResult) != unknown[down] || errors.Is(err, topo.ErrUnavailable) == unknown[down] {
			f.Errorf("%s: write: %v", down, err)
		}
		if _, err := f.Store.Get(f.ctx, "k"); !errors.Is(err, topo.ErrUnavailable) {
			f.Errorf("%s: read: %v", down, err)
		}
		if _, err := f.Store.Watch(f.ctx, "k", 0); !errors.Is(err, topo.ErrUnavailable) {
			f.Errorf("%s: watch: %v", down, err)
		}
		if _, _, err := f.Store.ListWithRevision(f.ctx, "k"); !errors.Is(err, topo.ErrUnavailable) {
			f.Errorf("%s: listing: %v", down, err)
		}
		f.injectFaults(memstore.Faults{})
		f.wantValue("k", "0")
		f.wantClosed(events)
	}
}

// Guards against a RollbackTo fault without effect, with which the tests of rolled-back
// replies would test nothing: reads must return the old state while comparisons use the
// current one.
func testRollback(f *fixture) {
	old := f.put("k", "old", 0)
	current := f.put("k", "new", 0)
	f.put("later", "x", 0)
	f.injectFaults(memstore.Faults{RollbackTo: old})
	if e := f.wantValue("k", "old"); e.ModRev != old {
		f.Fatalf("rolled-back entry %+v", e)
	}
	f.wantMissing("later")
	txn := putTxn("k", "newer", 0)
	txn.Compares = []topo.Compare{{Key: "k", Field: topo.CompareModRev, Rev: old}}
	res, err := f.Store.Commit(f.ctx, txn)
	f.must(err)
	if res.Succeeded {
		f.Fatal("comparison with a rolled-back revision succeeded")
	}
	txn.Compares[0].Rev = current
	res, err = f.Store.Commit(f.ctx, txn)
	f.must(err)
	if !res.Succeeded {
		f.Fatal("comparison with the current revision failed")
	}
	f.wantValue("k", "old")
	f.injectFaults(memstore.Faults{})
	f.wantValue("k", "newer")
	if err := f.SetFaults(memstore.Faults{RollbackTo: res.Rev + 1}); err == nil {
		f.Fatal("rollback to a future revision was accepted")
	}
}

// Guards against malformed replies that are taken for results. A write with such a reply
// took effect, so its result must be reported as unknown.
func testMalformedReply(f *fixture) {
	kinds := []memstore.MalformedReply{
		memstore.MalformedGarbage, memstore.MalformedEmpty, memstore.MalformedTypes,
		memstore.MalformedTruncated, memstore.MalformedEndless,
	}
	for _, kind := range kinds {
		f.injectFaults(memstore.Faults{Nonsense: kind})
		if _, err := f.Store.Get(f.ctx, "k"); !errors.Is(err, topo.ErrBadReply) {
			f.Errorf("%s: read: %v", kind, err)
		}
		if _, _, err := f.Store.ListWithRevision(f.ctx, "k"); !errors.Is(err, topo.ErrBadReply) {
			f.Errorf("%s: listing: %v", kind, err)
		}
		if _, err := f.Store.Watch(f.ctx, "k", 0); !errors.Is(err, topo.ErrBadReply) {
			f.Errorf("%s: watch: %v", kind, err)
		}
		_, grantErr := f.Store.GrantLease(f.ctx, time.Hour)
		for _, err := range []error{grantErr, f.Store.KeepAlive(f.ctx, 1), f.Store.RevokeLease(f.ctx, 1)} {
			if !errors.Is(err, topo.ErrUnknownResult) {
				f.Errorf("%s: lease call: %v", kind, err)
			}
		}
		_, err := f.Store.Commit(f.ctx, putTxn("k", string(kind), 0))
		if !errors.Is(err, topo.ErrUnknownResult) || !errors.Is(err, topo.ErrBadReply) {
			f.Errorf("%s: write: %v", kind, err)
		}
		f.injectFaults(memstore.Faults{})
		f.wantValue("k", string(kind))
	}
}
