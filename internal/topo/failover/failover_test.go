package failover

import (
	"context"
	"errors"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

var putTxn = topo.Txn{Puts: []topo.Put{{Key: "k", Value: []byte("v")}}}

func newClient(t *testing.T, faults memstore.Faults) (*memstore.Store, *memstore.SharedState) {
	t.Helper()
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	t.Cleanup(shared.Close)
	if err := shared.SetFaults(faults); err != nil {
		t.Fatal(err)
	}
	return memstore.New(shared), shared
}

// Guards against calls that fail because one address is down, although another works.
func TestUnavailableAddressIsSkipped(t *testing.T) {
	down, _ := newClient(t, memstore.Faults{Down: memstore.DownRefuse})
	up, shared := newClient(t, memstore.Faults{})
	s := New(down, up)
	if _, err := s.Commit(context.Background(), putTxn); err != nil {
		t.Fatal(err)
	}
	if n := shared.Counters(); n.Calls[memstore.CallTxn] != 1 {
		t.Errorf("calls at the second address: %+v", n)
	}
	if _, err := New(down).Get(context.Background(), "k"); !errors.Is(err, topo.ErrUnavailable) {
		t.Errorf("error with all addresses down: %v", err)
	}
}

// Guards against a write that is made twice because the reply to it was lost.
func TestUnknownResultIsNotRetried(t *testing.T) {
	lossy, _ := newClient(t, memstore.Faults{LoseWriteAnswers: memstore.AllCalls})
	other, shared := newClient(t, memstore.Faults{})
	if _, err := New(lossy, other).Commit(context.Background(), putTxn); !errors.Is(err, topo.ErrUnknownResult) {
		t.Errorf("error of a write whose reply was lost: %v", err)
	}
	if n := shared.Counters(); n.Calls[memstore.CallTxn] != 0 {
		t.Error("the write was made again at the next address")
	}
}
