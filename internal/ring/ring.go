// Package ring provides the bounded rings that join the daemon's goroutines. A
// full ring refuses, so that a slow duty can never hold up another without the
// sender knowing.
package ring

import (
	"context"
	"errors"
	"sync/atomic"
)

// ErrFull is returned when a ring has no room.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in first-out queue for any number of senders and
// receivers.
type Ring[T any] struct {
	ch      chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size)}
}

// TryPut adds an item, or returns ErrFull at once.
func (r *Ring[T]) TryPut(item T) error {
	select {
	case r.ch <- item:
		return nil
	default:
		r.refused.Add(1)
		return ErrFull
	}
}

// Put adds an item and waits for room until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.ch <- item:
		return nil
	case <-ctx.Done():
		r.refused.Add(1)
		return ctx.Err()
	}
}

// Out returns the channel that items leave by. It is never closed.
func (r *Ring[T]) Out() <-chan T { return r.ch }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Refused returns how many items found no room.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
