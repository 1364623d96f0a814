package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// confirmed reports whether the lease is certain to be in force. A store may suspend the
// expiry of leases while the store is down, so an unconfirmed lease may be confirmed again
// later. If the lease is confirmed again, there was no other coordinator in the meantime,
// so the recorded state of the grants remains correct.
func (c *Coordinator) confirmed(now time.Duration) bool {
	valid := c.term.valid(now)
	switch {
	case !valid && !c.term.unconfirmed:
		c.config.Log.Warn("coordinator's lease may have run out; assigning nothing", "term", c.term.rev)
	case valid && c.term.unconfirmed:
		c.config.Log.Info("coordinator's lease confirmed again", "term", c.term.rev)
	}
	c.term.unconfirmed = !valid
	return valid
}

// renew renews the lease without waiting for the store. While renewals fail, grants get
// the maximum duration, so that keys stay served through an outage.
func (c *Coordinator) renew(ctx context.Context, now time.Duration) {
	if c.renewing && now-c.renewalSentAt > c.election.slowRenewal() && !c.term.unconfirmed {
		// The response may arrive too late to extend grants before the lease expires.
		c.extendGrants(true, now)
	}
	if c.renewing || now < c.nextRenewal {
		return
	}
	c.renewing, c.renewalSentAt = true, now
	t := c.term
	renew := c.election.renew
	if t.unconfirmed {
		renew = c.election.confirm
	}
	go func() {
		expires, err := renew(ctx, t)
		c.enqueue(func() { c.handleRenewal(t, expires, err) })
	}()
}

func (c *Coordinator) handleRenewal(t *term, expires time.Duration, err error) {
	c.renewing = false
	if c.term != t {
		return
	}
	now := clock.Now()
	switch {
	case errors.Is(err, topo.ErrEarlierEra):
		c.keepTerm()
		return
	case errors.Is(err, topo.ErrLeaseNotFound):
		c.dropTerm("store ended it")
		return
	case err != nil && t.unconfirmed:
		c.nextRenewal = now + c.election.renewInterval()
		return
	case err != nil:
		c.nextRenewal = now + c.election.renewInterval()/4
		c.config.Log.Warn("coordinator's lease not renewed; extending grants", "term", t.rev, "left_ms", (t.expires - now).Milliseconds(), "error", err)
	default:
		t.expires = max(t.expires, expires)
		c.nextRenewal = now + c.election.renewInterval()
	}
	c.extendGrants(err != nil, now)
}

// extendGrants switches the grants of all services to the maximum duration or back.
func (c *Coordinator) extendGrants(enabled bool, now time.Duration) {
	for _, e := range c.engines {
		e.ExtendGrants(enabled, now)
	}
}

func (c *Coordinator) dropTerm(reason string) {
	c.config.Log.Warn("coordinator's lease lost", "term", c.term.rev, "reason", reason)
	c.term = nil
	c.engines = make(map[string]*engine)
}

func (c *Coordinator) resign() {
	if c.term == nil {
		return
	}
	c.sendHandover()
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	c.election.revoke(ctx, c.term.lease)
	c.config.Log.Info("coordinator's lease given back", "term", c.term.rev)
	c.term = nil
}
