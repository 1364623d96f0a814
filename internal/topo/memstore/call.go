package memstore

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// result carries the outcome of a delayed call to the goroutine that waits for it.
type result[T any] struct {
	value T
	err   error
}

// callWithFaults performs one call with its injected faults. A delayed call takes effect
// after the delay even if ctx has ended by then, as it does in a slow remote store.
func callWithFaults[T any](ctx context.Context, s *Store, c Call, fn func() (T, error)) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, unavailableError(ctx.Err())
	}
	faults := s.shared.BeginCall(c)
	if faults.Down != DownNone {
		return zero, downError(c, faults.Down)
	}
	if faults.Drop {
		return zero, lostReplyError(ctx, c, faults)
	}
	value, err := runDelayed(ctx, s, c, faults.Delay, fn)
	if faults.Lose {
		return zero, lostReplyError(ctx, c, faults)
	}
	if faults.Malformed != MalformedNone {
		return zero, badReplyError(c)
	}
	return value, err
}

func runDelayed[T any](ctx context.Context, s *Store, c Call, delay time.Duration, fn func() (T, error)) (T, error) {
	if delay == 0 {
		return fn()
	}
	done := make(chan result[T], 1)
	go func() {
		s.shared.Delay(context.WithoutCancel(ctx), delay)
		value, err := fn()
		done <- result[T]{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, noReplyError(c, ctx.Err())
	}
}

// lostReplyError returns the error of a call whose reply was lost. A hanging call returns
// it only after ctx has ended.
func lostReplyError(ctx context.Context, c Call, f CallFaults) error {
	if f.Hang {
		<-ctx.Done()
		return noReplyError(c, ctx.Err())
	}
	return noReplyError(c, errors.New("connection lost"))
}

func downError(c Call, d Down) error {
	if d == DownRefuse {
		return unavailableError(errors.New("connection refused"))
	}
	return noReplyError(c, errors.New("connection reset"))
}

// noReplyError returns the error of a call without a reply. A write or a lease call may
// have taken effect, so its result is unknown.
func noReplyError(c Call, cause error) error {
	if c.isWrite() || c.isLeaseCall() {
		return errors.Join(topo.ErrUnknownResult, cause)
	}
	return unavailableError(cause)
}

// badReplyError returns the error of a call with a malformed reply. The call has been
// performed, so the result of a write or a lease call is unknown.
func badReplyError(c Call) error {
	if c.isWrite() || c.isLeaseCall() {
		return errors.Join(topo.ErrUnknownResult, topo.ErrBadReply)
	}
	return topo.ErrBadReply
}

func unavailableError(cause error) error {
	return errors.Join(topo.ErrUnavailable, cause)
}
