// Package ring provides the bounded queues between the daemon's goroutines. Adding to a
// full queue fails at once, so that a slow consumer never blocks a producer.
package ring

import (
	"errors"
)

// ErrFull is returned when a queue has no room.
var ErrFull = errors.New("queue is full")

// Queue is a bounded first-in first-out queue for any number of senders and
// receivers.
type Queue[T any] struct {
	ch chan T
}

// New returns a queue that holds up to size items.
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

// Items returns the channel from which items are received. It is never closed.
func (r *Queue[T]) Items() <-chan T { return r.ch }
