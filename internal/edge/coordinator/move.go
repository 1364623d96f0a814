package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// Errors of Move.
var (
	// ErrNotCoordinator reports a daemon that does not assign keys now.
	ErrNotCoordinator = errors.New("this daemon does not coordinate")
	// ErrNotMovable reports a service or target that cannot take the keys.
	ErrNotMovable = errors.New("no such service, or the target cannot own keys")
)

// moveKeep is how long moved keys stay against the balance of load.
const moveKeep = 10 * time.Minute

// Move starts moving keys of a service to a target. It may be repeated.
func (c *Coordinator) Move(ctx context.Context, service string, from, to uint16, targetID string) error {
	result := make(chan error, 1)
	c.put(func() { result <- c.move(service, from, to, targetID) })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Coordinator) move(service string, from, to uint16, targetID string) error {
	now := clock.Now()
	if c.term == nil || !c.confirmed(now) {
		return ErrNotCoordinator
	}
	e := c.engines[service]
	if e == nil || !e.Move(from, to, targetID, moveKeep, now) {
		return ErrNotMovable
	}
	c.config.Log.Info("move asked for", "service", service, "from", from, "to", to, "target", targetID)
	return nil
}
