package memstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Store is an in-process implementation of topo.Store and topo.Lister. Faults injected
// into its SharedState appear as the errors that the client of a remote store would
// return.
type Store struct {
	shared *SharedState
}

var (
	_ topo.Store  = (*Store)(nil)
	_ topo.Lister = (*Store)(nil)
)

// New returns a store on top of shared.
func New(shared *SharedState) *Store { return &Store{shared: shared} }

// Shared returns the state that the store serves.
func (s *Store) Shared() *SharedState { return s.shared }

// Get implements topo.Store.
func (s *Store) Get(ctx context.Context, key string) (topo.Entry, error) {
	list, _, err := s.read(ctx, keyrange.One(key))
	if err != nil {
		return topo.Entry{}, err
	}
	if len(list) == 0 {
		return topo.Entry{Key: key}, nil
	}
	return list[0], nil
}

// List implements topo.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]topo.Entry, error) {
	list, _, err := s.read(ctx, keyrange.Prefix(prefix))
	return list, err
}

// ListWithRevision implements topo.Lister.
func (s *Store) ListWithRevision(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	return s.read(ctx, keyrange.Prefix(prefix))
}

func (s *Store) read(ctx context.Context, r keyrange.Range) ([]topo.Entry, int64, error) {
	if r.Key == "" {
		return nil, 0, refusedError(ErrEmptyKey)
	}
	var rev int64
	list, err := callWithFaults(ctx, s, CallRange, func() (list []topo.Entry, err error) {
		s.shared.Read(func(st *State) {
			rev = st.Rev()
			for _, kv := range st.Range(r) {
				list = append(list, toEntry(kv))
			}
		})
		return list, nil
	})
	if err != nil {
		return nil, 0, err
	}
	return list, rev, nil
}

// Commit implements topo.Store.
func (s *Store) Commit(ctx context.Context, txn topo.Txn) (topo.TxnResult, error) {
	return callWithFaults(ctx, s, CallTxn, func() (res topo.TxnResult, err error) {
		s.shared.Do(func(st *State) {
			var r TxnResult
			r, err = st.Commit(txnFromTopo(txn))
			res = topo.TxnResult{Succeeded: r.Succeeded, Rev: st.Rev()}
		})
		if err != nil {
			return topo.TxnResult{}, refusedError(err)
		}
		return res, nil
	})
}

// GrantLease implements topo.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (topo.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	return callWithFaults(ctx, s, CallGrant, func() (id topo.LeaseID, err error) {
		s.shared.Do(func(st *State) { id, err = st.Grant(0, seconds) })
		return id, refusedError(err)
	})
}

// KeepAlive implements topo.Store.
func (s *Store) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	_, err := callWithFaults(ctx, s, CallKeepAlive, func() (ttl int64, err error) {
		s.shared.Do(func(st *State) { ttl, err = st.KeepAlive(id) })
		return ttl, refusedError(err)
	})
	return err
}

// RevokeLease implements topo.Store.
func (s *Store) RevokeLease(ctx context.Context, id topo.LeaseID) error {
	_, err := callWithFaults(ctx, s, CallRevoke, func() (_ struct{}, err error) {
		s.shared.Do(func(st *State) { err = st.Revoke(id) })
		return struct{}{}, refusedError(err)
	})
	return err
}

// Watch implements topo.Store. The watch delivers every change after Watch has returned,
// or every change since fromRev if that is not 0. The channel is closed when ctx ends, when
// the store goes down, or if the next revision to deliver has been compacted.
func (s *Store) Watch(ctx context.Context, prefix string, fromRev int64) (<-chan topo.Event, error) {
	return callWithFaults(ctx, s, CallWatch, func() (<-chan topo.Event, error) {
		events := make(chan topo.Event)
		watcher := s.shared.Watch(keyrange.Prefix(prefix), fromRev)
		go deliver(ctx, watcher, events)
		return events, nil
	})
}

// deliver sends the watcher's events until the watcher fails or ctx ends.
func deliver(ctx context.Context, w *Watcher, events chan<- topo.Event) {
	defer close(events)
	defer w.Close()
	for {
		batch, err := w.Next(ctx)
		if err != nil {
			return
		}
		for _, e := range batch.Events {
			select {
			case events <- topo.Event{Entry: toEntry(e.KV)}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// refusedError wraps the error of an invalid request in topo.ErrRefused. ErrLeaseNotFound
// is returned unchanged.
func refusedError(err error) error {
	if err == nil || errors.Is(err, topo.ErrLeaseNotFound) {
		return err
	}
	return fmt.Errorf("%w: %w", topo.ErrRefused, err)
}

func toEntry(kv KV) topo.Entry {
	return topo.Entry{
		Key:       kv.Key,
		Value:     append([]byte(nil), kv.Value...),
		CreateRev: kv.CreateRev,
		ModRev:    kv.ModRev,
		Lease:     kv.Lease,
	}
}

func txnFromTopo(t topo.Txn) Txn {
	var out Txn
	for _, c := range t.Compares {
		out.Compares = append(out.Compares, compareFromTopo(c))
	}
	for _, p := range t.Puts {
		out.Success = append(out.Success, Op{Put: &Put{Key: p.Key, Value: p.Value, Lease: p.Lease}})
	}
	for _, key := range t.Deletes {
		r := keyrange.One(key)
		out.Success = append(out.Success, Op{Delete: &r})
	}
	return out
}

func compareFromTopo(c topo.Compare) Compare {
	target := TargetCreateRev
	if c.Field == topo.CompareModRev {
		target = TargetModRev
	}
	return Compare{Key: c.Key, Target: target, Number: c.Rev}
}
