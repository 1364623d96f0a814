// Package failover implements a store client that uses several addresses of one store.
package failover

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Client is a client of one address of the store.
type Client interface {
	topo.Store
	topo.Lister
}

// Store passes each call to one of several clients of the same store. A call that fails
// with topo.ErrUnavailable had no effect, so it is passed to the next client. Any other
// result is final.
type Store struct {
	clients []Client
	current atomic.Uint32 // index of the client to try first
}

// New returns a store that uses the clients. There must be at least one.
func New(clients ...Client) *Store { return &Store{clients: clients} }

// tryEach makes the call with each client in turn until one is available. It starts with
// the client that was available last. If none is, it returns the errors of all.
func tryEach[T any](s *Store, call func(Client) (T, error)) (T, error) {
	first := s.current.Load()
	var result T
	var errs []error
	for i := range s.clients {
		index := (int(first) + i) % len(s.clients)
		r, err := call(s.clients[index])
		if !errors.Is(err, topo.ErrUnavailable) {
			s.current.Store(uint32(index))
			return r, err
		}
		errs = append(errs, err)
	}
	return result, errors.Join(errs...)
}

// Get implements topo.Store.
func (s *Store) Get(ctx context.Context, key string) (topo.Entry, error) {
	return tryEach(s, func(c Client) (topo.Entry, error) { return c.Get(ctx, key) })
}

// List implements topo.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]topo.Entry, error) {
	return tryEach(s, func(c Client) ([]topo.Entry, error) { return c.List(ctx, prefix) })
}

// ListWithRevision implements topo.Lister.
func (s *Store) ListWithRevision(ctx context.Context, prefix string) ([]topo.Entry, int64, error) {
	type listing struct {
		entries []topo.Entry
		rev     int64
	}
	l, err := tryEach(s, func(c Client) (listing, error) {
		entries, rev, err := c.ListWithRevision(ctx, prefix)
		return listing{entries, rev}, err
	})
	return l.entries, l.rev, err
}

// Commit implements topo.Store.
func (s *Store) Commit(ctx context.Context, txn topo.Txn) (topo.TxnResult, error) {
	return tryEach(s, func(c Client) (topo.TxnResult, error) { return c.Commit(ctx, txn) })
}

// GrantLease implements topo.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (topo.LeaseID, error) {
	return tryEach(s, func(c Client) (topo.LeaseID, error) { return c.GrantLease(ctx, ttl) })
}

// KeepAlive implements topo.Store.
func (s *Store) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	_, err := tryEach(s, func(c Client) (struct{}, error) { return struct{}{}, c.KeepAlive(ctx, id) })
	return err
}

// RevokeLease implements topo.Store.
func (s *Store) RevokeLease(ctx context.Context, id topo.LeaseID) error {
	_, err := tryEach(s, func(c Client) (struct{}, error) { return struct{}{}, c.RevokeLease(ctx, id) })
	return err
}

// Watch implements topo.Store.
func (s *Store) Watch(ctx context.Context, prefix string, fromRev int64) (<-chan topo.Event, error) {
	return tryEach(s, func(c Client) (<-chan topo.Event, error) { return c.Watch(ctx, prefix, fromRev) })
}
