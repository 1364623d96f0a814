package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
)

// told is the last hand-over of an earlier coordinator.
type told struct {
	ends map[string][]ownership.GrantExpiry
	at   time.Duration
}

// left returns the ends of a service as they are at a time.
func (t told) left(service string, now time.Duration) []ownership.GrantExpiry {
	out := slices.Clone(t.ends[service])
	for i := range out {
		out[i].Remaining = max(out[i].Remaining-(now-t.at), 0)
	}
	return out
}

// ReceiveHandover notes what an earlier coordinator tells, which may arrive after this one
// was elected.
func (c *Coordinator) ReceiveHandover(h peers.Handover) {
	at := clock.Now()
	c.put(func() {
		c.told = told{ends: h.GrantExpiries, at: at}
		c.config.Log.Info("told how long grants of the earlier coordinator last", "services", len(h.GrantExpiries), "coordinating", c.term != nil)
		now := clock.Now()
		for service, e := range c.engines {
			e.ApplyGrantExpiries(c.told.left(service, now), now)
		}
	})
}

// handOver tells successors of the grants, after which nothing more is granted.
func (c *Coordinator) handOver() {
	now := clock.Now()
	ends := make(map[string][]ownership.GrantExpiry)
	for service, e := range c.engines {
		ends[service] = e.GrantExpiries(now)
	}
	c.config.SendHandover(context.Background(), peers.Handover{GrantExpiries: ends})
	c.engines = make(map[string]*engine)
}
