// Package ring provides the bounded rings that join the daemon's goroutines. A
// full ring refuses, so that a slow duty never holds up another.
package ring

import (
	"errors"
)

// ErrFull is returned when a ring has no room.
var ErrFull = errors.New("ring is full")

// Queue is a bounded first-in first-out queue for any number of senders and
// receivers.
type Queue[T any] struct {
	ch chan T
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Queue[T] {
	return &Queue[T]{ch: make(chan T, size)}
}

// TryPut adds an item, or returns ErrFull at once.
func (r *Queue[T]) TryPut(item T) error {
	select {
	case r.ch <- item:
		return nil
	default:
		return ErrFull
	}
}

// Items returns the channel that items leave by. It is never closed.
func (r *Queue[T]) Items() <-chan T { return r.ch }
