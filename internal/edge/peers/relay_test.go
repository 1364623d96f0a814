package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
)

// scriptedStore answers every call with an error, or with success if it is nil.
type scriptedStore struct {
	topo.Store
	err   error
	calls atomic.Int64
	told  atomic.Pointer[Handover] // the last hand-over to its daemon
}

func (s *scriptedStore) Get(_ context.Context, key string) (topo.Entry, error) {
	s.calls.Add(1)
	return topo.Entry{Key: key, Value: []byte("v"), CreateRev: 3, ModRev: 4, Lease: 5}, s.err
}

func (s *scriptedStore) Commit(context.Context, topo.Txn) (topo.TxnResult, error) {
	s.calls.Add(1)
	return topo.TxnResult{Succeeded: s.err == nil, Rev: 9}, s.err
}

func (s *scriptedStore) KeepAlive(context.Context, topo.LeaseID) error {
	s.calls.Add(1)
	return s.err
}

// relayOf returns a daemon's store and those of two others that it can ask.
func relayOf(t *testing.T, own error, others ...error) (*Relay, *scriptedStore, []*scriptedStore) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	list := []Peer{{Name: "self", Domain: "z", Capacity: 9}}
	var stores []*scriptedStore
	for i, err := range others {
		store := &scriptedStore{err: err}
		server := httptest.NewServer(NewHandler(&FeedHandler{Log: log}, &RelayHandler{Store: store, Log: log}, &HandoverHandler{Accept: func(h Handover) { store.told.Store(&h) }, Log: log}))
		t.Cleanup(server.Close)
		stores = append(stores, store)
		list = append(list, Peer{
			Name: fmt.Sprint("d", i), Domain: fmt.Sprint("z", i), Capacity: float64(8 - i),
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		})
	}
	store := &scriptedStore{err: own}
	return NewRelay("self", store, plainnet.New("", log), NewHubSelector(), func() []Peer { return list }, log), store, stores
}

var ownTxn = topo.Txn{Puts: []topo.Put{{Key: topo.Prefix + "a", Value: []byte("x")}}}

// Guards against a coordinator that loses its lease because the store turns away
// its instance alone: keys of targets lost soon after had no owner for ten seconds.
func TestRelayGoesThroughOthersWhenTurnedAway(t *testing.T) {
	r, own, others := relayOf(t, topo.ErrUnavailable, topo.ErrUnavailable, nil)
	ctx := context.Background()
	if err := r.KeepAlive(ctx, 7); err != nil {
		t.Fatalf("renewal: %v", err)
	}
	if res, err := r.Commit(ctx, ownTxn); err != nil || !res.Succeeded || res.Rev != 9 {
		t.Fatalf("commit: %+v, %v", res, err)
	}
	e, err := r.Get(ctx, topo.Prefix+"a")
	if err != nil || string(e.Value) != "v" || e.CreateRev != 3 || e.ModRev != 4 || e.Lease != 5 {
		t.Fatalf("get: %+v, %v", e, err)
	}
	if n := own.calls.Load(); n != 1 {
		t.Errorf("%d calls to the store that turns the daemon away, want 1", n)
	}
	if n := others[1].calls.Load(); n != 3 {
		t.Errorf("%d calls through the daemon that is served, want 3", n)
	}
}

// Guards against a write that is made twice because its first result is unknown.
func TestRelayDoesNotRepeatUnknownWrites(t *testing.T) {
	r, _, others := relayOf(t, topo.ErrUnknownResult, nil)
	if _, err := r.Commit(context.Background(), ownTxn); !errors.Is(err, topo.ErrUnknownResult) {
		t.Errorf("commit: %v, want ErrUnknownResult", err)
	}
	if n := others[0].calls.Load(); n != 0 {
		t.Errorf("%d calls through another daemon, want none", n)
	}
	if err := r.KeepAlive(context.Background(), 7); err != nil {
		t.Errorf("renewal, which may be repeated: %v", err)
	}
}

// Guards against an error that changes its meaning on the way through another
// daemon, above all a lease that has ended.
func TestRelayKeepsTheMeaningOfErrors(t *testing.T) {
	for _, want := range []error{topo.ErrLeaseNotFound, topo.ErrRefused, topo.ErrUnavailable, topo.ErrUnknownResult} {
		r, _, _ := relayOf(t, topo.ErrUnavailable, want)
		if err := r.KeepAlive(context.Background(), 7); !errors.Is(err, want) {
			t.Errorf("renewal: %v, want %v", err, want)
		}
	}
	r, _, _ := relayOf(t, topo.ErrUnavailable)
	if err := r.KeepAlive(context.Background(), 7); !errors.Is(err, topo.ErrUnavailable) {
		t.Errorf("renewal without another daemon: %v, want ErrUnavailable", err)
	}
}

// Guards against daemons that reach documents of operators and targets through
// another one.
func TestRelayServesOwnDocumentsOnly(t *testing.T) {
	r, _, others := relayOf(t, topo.ErrUnavailable, nil)
	if _, err := r.Get(context.Background(), "config"); err == nil {
		t.Error("another writer's document was read")
	}
	foreign := topo.Txn{Puts: []topo.Put{{Key: "targets/x"}}}
	if _, err := r.Commit(context.Background(), foreign); err == nil {
		t.Error("another writer's document was written")
	}
	if n := others[0].calls.Load(); n != 0 {
		t.Errorf("%d calls reached the store, want none", n)
	}
}

// Guards against successors that are not told, or are told something else, how long
// grants last.
func TestHandOverReachesSuccessors(t *testing.T) {
	r, _, others := relayOf(t, nil, nil, nil, nil)
	ends := []ownership.GrantExpiry{{From: 3, To: 9, Fence: 4, Remaining: time.Second}}
	r.SendHandover(context.Background(), Handover{GrantExpiries: map[string][]ownership.GrantExpiry{"s": ends}})
	for i, o := range others {
		told := o.told.Load()
		if told == nil || !slices.Equal(told.GrantExpiries["s"], ends) {
			t.Errorf("daemon %d was told %+v, want %+v", i, told, ends)
		}
	}
}

// Guards against a store that is down for all and is called five times for one
// renewal: refused calls are charged for.
func TestRelayCallsEachOnceWhileTheStoreIsDown(t *testing.T) {
	r, own, others := relayOf(t, topo.ErrUnavailable, topo.ErrUnavailable, topo.ErrUnavailable)
	for range 2 {
		if err := r.KeepAlive(context.Background(), 7); !errors.Is(err, topo.ErrUnavailable) {
			t.Fatalf("renewal: %v, want ErrUnavailable", err)
		}
	}
	for i, s := range append(others, own) {
		if n := s.calls.Load(); n != 2 {
			t.Errorf("store %d was called %d times for two renewals, want 2", i, n)
		}
	}
}
