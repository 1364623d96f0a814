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

// scriptedStore returns err from every call; the calls succeed if err is nil.
type scriptedStore struct {
	topo.Store
	err      error
	calls    atomic.Int64
	handover atomic.Pointer[Handover] // the last handover that the store's daemon received
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

// newTestRelay returns a relay, its own store, and the stores of the other daemons through
// which it can make calls. The arguments are the errors that the stores return.
func newTestRelay(t *testing.T, own error, others ...error) (*Relay, *scriptedStore, []*scriptedStore) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	list := []Peer{{Name: "self", Domain: "z", Capacity: 9}}
	var stores []*scriptedStore
	for i, err := range others {
		store := &scriptedStore{err: err}
		server := httptest.NewServer(NewHandler(&FeedHandler{Log: log}, &RelayHandler{Store: store, Log: log}, &HandoverHandler{Accept: func(h Handover) { store.handover.Store(&h) }, Log: log}, &TableHandler{Log: log}))
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

// Guards against a coordinator that loses its lease because the store does not serve the
// coordinator's instance, although it serves all others. The keys of targets that were lost
// soon after the lease had no owner for 10 s.
func TestRelayUsesPeersWhenNotServed(t *testing.T) {
	r, own, others := newTestRelay(t, topo.ErrUnavailable, topo.ErrUnavailable, nil)
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
		t.Errorf("%d calls to the store that does not serve the daemon, want 1", n)
	}
	if n := others[1].calls.Load(); n != 3 {
		t.Errorf("%d calls through the daemon that the store serves, want 3", n)
	}
}

// Guards against repeating a write whose result is unknown.
func TestRelayDoesNotRepeatUnknownWrites(t *testing.T) {
	r, _, others := newTestRelay(t, topo.ErrUnknownResult, nil)
	if _, err := r.Commit(context.Background(), ownTxn); !errors.Is(err, topo.ErrUnknownResult) {
		t.Errorf("commit: %v, want ErrUnknownResult", err)
	}
	if n := others[0].calls.Load(); n != 0 {
		t.Errorf("%d calls through another daemon, want none", n)
	}
	if err := r.KeepAlive(context.Background(), 7); err != nil {
		t.Errorf("renewal after an unknown result: %v", err)
	}
}

// Guards against an error that changes its meaning when it is relayed, above all the error
// that reports an expired lease.
func TestRelayKeepsTheMeaningOfErrors(t *testing.T) {
	for _, want := range []error{topo.ErrLeaseNotFound, topo.ErrRefused, topo.ErrUnavailable, topo.ErrUnknownResult} {
		r, _, _ := newTestRelay(t, topo.ErrUnavailable, want)
		if err := r.KeepAlive(context.Background(), 7); !errors.Is(err, want) {
			t.Errorf("renewal: %v, want %v", err, want)
		}
	}
	r, _, _ := newTestRelay(t, topo.ErrUnavailable)
	if err := r.KeepAlive(context.Background(), 7); !errors.Is(err, topo.ErrUnavailable) {
		t.Errorf("renewal without another daemon: %v, want ErrUnavailable", err)
	}
}

// Guards against daemons that access documents of operators and targets through another
// daemon.
func TestRelayServesOwnDocumentsOnly(t *testing.T) {
	r, _, others := newTestRelay(t, topo.ErrUnavailable, nil)
	if _, err := r.Get(context.Background(), "config"); err == nil {
		t.Error("document of another writer was read")
	}
	foreign := topo.Txn{Puts: []topo.Put{{Key: "targets/x"}}}
	if _, err := r.Commit(context.Background(), foreign); err == nil {
		t.Error("document of another writer was written")
	}
	if n := others[0].calls.Load(); n != 0 {
		t.Errorf("%d calls reached the store, want none", n)
	}
}

// Guards against successors that receive no handover, or other grant expiries than were
// sent.
func TestHandoverReachesSuccessors(t *testing.T) {
	r, _, others := newTestRelay(t, nil, nil, nil, nil)
	expiries := []ownership.GrantExpiry{{From: 3, To: 9, Fence: 4, Remaining: time.Second}}
	r.SendHandover(context.Background(), Handover{GrantExpiries: map[string][]ownership.GrantExpiry{"s": expiries}})
	for i, o := range others {
		got := o.handover.Load()
		if got == nil || !slices.Equal(got.GrantExpiries["s"], expiries) {
			t.Errorf("daemon %d received handover %+v, want %+v", i, got, expiries)
		}
	}
}

// Guards against five store calls for one renewal while the store is down for all daemons;
// failed calls are charged for as well.
func TestRelayCallsEachOnceWhileTheStoreIsDown(t *testing.T) {
	r, own, others := newTestRelay(t, topo.ErrUnavailable, topo.ErrUnavailable, topo.ErrUnavailable)
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
