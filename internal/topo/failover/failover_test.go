package failover

import (
	"context"
	"errors"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

var put = topo.Txn{Puts: []topo.Put{{Key: "k", Value: []byte("v")}}}

func client(t *testing.T, f memstore.Faults) (*memstore.Store, *memstore.SharedState) {
	t.Helper()
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	t.Cleanup(shared.Close)
	if err := shared.SetFaults(f); err != nil {
		t.Fatal(err)
	}
	return memstore.New(shared), shared
}

// Guards against an address that is down hiding one that works.
func TestNextAddressIsUsed(t *testing.T) {
	down, _ := client(t, memstore.Faults{Down: memstore.DownRefuse})
	up, shared := client(t, memstore.Faults{})
	s := New(down, up)
	if _, err := s.Commit(context.Background(), put); err != nil {
		t.Fatal(err)
	}
	if n := shared.Counters(); n.Calls[memstore.CallTxn] != 1 {
		t.Errorf("calls at the second address: %+v", n)
	}
	if _, err := New(down).Get(context.Background(), "k"); !errors.Is(err, topo.ErrUnavailable) {
		t.Errorf("error with no address left: %v", err)
	}
}

// Guards against a write that is made twice because its answer was lost.
func TestUnknownResultIsFinal(t *testing.T) {
	loses, _ := client(t, memstore.Faults{LoseWriteAnswers: memstore.AllCalls})
	other, shared := client(t, memstore.Faults{})
	if _, err := New(loses, other).Commit(context.Background(), put); !errors.Is(err, topo.ErrUnknownResult) {
		t.Errorf("error of a write whose answer was lost: %v", err)
	}
	if n := shared.Counters(); n.Calls[memstore.CallTxn] != 0 {
		t.Error("the write was made again at the next address")
	}
}
