package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// confirmed reports whether the lease certainly still runs. While the store is down
// leases may stand still there, so that the lease may be confirmed again later. As
// nobody else can have coordinated until then, what is known of grants still holds.
func (c *Coordinator) confirmed(now time.Duration) bool {
	valid := c.term.valid(now)
	switch {
	case !valid && !c.term.dormant:
		c.config.Log.Warn("coordinator's lease may have run out; assigning nothing", "term", c.term.rev)
	case valid && c.term.dormant:
		c.config.Log.Info("coordinator's lease confirmed again", "term", c.term.rev)
	}
	c.term.dormant = !valid
	return valid
}

// renew keeps the lease without waiting for the store. Grants become as long as
// possible while that fails, so that keys stay served through an outage.
func (c *Coordinator) renew(ctx context.Context, now time.Duration) {
	if c.keeping && now-c.keptAt > c.election.slowKeep() && !c.term.dormant {
		// The answer may come too late to extend grants before the lease is over.
		c.extend(true, now)
	}
	if c.keeping || now < c.keepAt {
		return
	}
	c.keeping, c.keptAt = true, now
	t := c.term
	keep := c.election.keep
	if t.dormant {
		keep = c.election.confirm
	}
	go func() {
		until, err := keep(ctx, t)
		c.put(func() { c.renewed(t, until, err) })
	}()
}

func (c *Coordinator) renewed(t *term, until time.Duration, err error) {
	c.keeping = false
	if c.term != t {
		return
	}
	now := clock.Now()
	switch {
	case errors.Is(err, topo.ErrLeaseNotFound):
		c.lost("store ended it")
		return
	case err != nil && t.dormant:
		c.keepAt = now + c.election.keepEvery()
		return
	case err != nil:
		c.keepAt = now + c.election.keepEvery()/4
		c.config.Log.Warn("coordinator's lease not renewed; extending grants", "term", t.rev, "left_ms", (t.until - now).Milliseconds(), "error", err)
	default:
		t.until = max(t.until, until)
		c.keepAt = now + c.election.keepEvery()
	}
	c.extend(err != nil, now)
}

// extend makes all grants as long as targets accept, or ends that.
func (c *Coordinator) extend(on bool, now time.Duration) {
	for _, e := range c.engines {
		e.ExtendGrants(on, now)
	}
}

func (c *Coordinator) lost(why string) {
	c.config.Log.Warn("coordinator's lease lost", "term", c.term.rev, "reason", why)
	c.term = nil
	c.engines = make(map[string]*engine)
}

func (c *Coordinator) resign() {
	if c.term == nil {
		return
	}
	c.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	c.election.end(ctx, c.term.lease)
	c.config.Log.Info("coordinator's lease given back", "term", c.term.rev)
	c.term = nil
}
