package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// Errors returned by Move.
var (
	// ErrNotCoordinator reports that this daemon is not the coordinator, or that its
	// lease may have expired.
	ErrNotCoordinator = errors.New("this daemon does not coordinate")
	// ErrNotMovable reports that the coordinator does not assign keys of the service, or
	// that the target cannot own the keys.
	ErrNotMovable = errors.New("no such service, or the target cannot own keys")
)

// movePinDuration is how long moved keys are excluded from load balancing.
const movePinDuration = 10 * time.Minute

// Move starts moving the keys from..to of a service to a target. Move may be called again
// with the same arguments.
func (c *Coordinator) Move(ctx context.Context, service string, from, to uint16, targetID string) error {
	result := make(chan error, 1)
	c.enqueue(func() { result <- c.move(service, from, to, targetID) })
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
	if e == nil || !e.Move(from, to, targetID, movePinDuration, now) {
		return ErrNotMovable
	}
	c.config.Log.Info("move of keys accepted", "service", service, "from", from, "to", to, "target", targetID)
	return nil
}
