package memstore

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// result is the result of an in-process call.
type result[T any] struct {
	value T
	err   error
}

// run performs one call with its injected faults. A delayed call takes effect
// after the delay even if ctx has ended by then, as in a slow remote store.
func run[T any](ctx context.Context, s *Store, c Call, fn func() (T, error)) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, unavailable(ctx.Err())
	}
	faults := s.shared.BeginCall(c)
	if faults.Down != DownNone {
		return zero, downError(c, faults.Down)
	}
	if faults.Drop {
		return zero, lost(ctx, c, faults)
	}
	value, err := delayed(ctx, s, c, faults.Delay, fn)
	if faults.Lose {
		return zero, lost(ctx, c, faults)
	}
	if faults.Malformed != MalformedNone {
		return zero, badReply(c)
	}
	return value, err
}

func delayed[T any](ctx context.Context, s *Store, c Call, delay time.Duration, fn func() (T, error)) (T, error) {
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
		return zero, noAnswer(c, ctx.Err())
	}
}

// lost returns the error of a call without an answer, for a hanging one after
// ctx has ended.
func lost(ctx context.Context, c Call, f CallFaults) error {
	if f.Hang {
		<-ctx.Done()
		return noAnswer(c, ctx.Err())
	}
	return noAnswer(c, errors.New("connection lost"))
}

func downError(c Call, d Down) error {
	if d == DownRefuse {
		return unavailable(errors.New("connection refused"))
	}
	return noAnswer(c, errors.New("connection reset"))
}

// noAnswer returns the error of a call that may have taken effect.
func noAnswer(c Call, cause error) error {
	if c.writes() || c.ofLease() {
		return errors.Join(topo.ErrUnknownResult, cause)
	}
	return unavailable(cause)
}

func badReply(c Call) error {
	if c.writes() || c.ofLease() {
		return errors.Join(topo.ErrUnknownResult, topo.ErrBadReply)
	}
	return topo.ErrBadReply
}

func unavailable(cause error) error {
	return errors.Join(topo.ErrUnavailable, cause)
}
