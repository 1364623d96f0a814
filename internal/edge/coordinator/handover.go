package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
)

// receivedHandover is the last handover from an earlier coordinator.
type receivedHandover struct {
	expiries   map[string][]ownership.GrantExpiry
	receivedAt time.Duration
}

// remaining returns the grant expiries of a service relative to now.
func (h receivedHandover) remaining(service string, now time.Duration) []ownership.GrantExpiry {
	out := slices.Clone(h.expiries[service])
	for i := range out {
		out[i].Remaining = max(out[i].Remaining-(now-h.receivedAt), 0)
	}
	return out
}

// ReceiveHandover applies the handover of an earlier coordinator. The handover may arrive
// after this coordinator was elected.
func (c *Coordinator) ReceiveHandover(h peers.Handover) {
	receivedAt := clock.Now()
	c.enqueue(func() {
		c.received = receivedHandover{expiries: h.GrantExpiries, receivedAt: receivedAt}
		c.config.Log.Info("told how long grants of the earlier coordinator last", "services", len(h.GrantExpiries), "coordinating", c.term != nil)
		now := clock.Now()
		for service, e := range c.engines {
			e.ApplyGrantExpiries(c.received.remaining(service, now), now)
		}
	})
}

// sendHandover tells possible successors when the current grants expire. It drops all
// engines, so that nothing is granted afterwards.
func (c *Coordinator) sendHandover() {
	now := clock.Now()
	expiries := make(map[string][]ownership.GrantExpiry)
	for service, e := range c.engines {
		expiries[service] = e.GrantExpiries(now)
	}
	c.config.SendHandover(context.Background(), peers.Handover{GrantExpiries: expiries})
	c.engines = make(map[string]*engine)
}
