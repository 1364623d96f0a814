package coordinator

import (
	"maps"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// restoredElectionWait is how long other daemons leave the election to the coordinator that held the
// lease when the store was restored. It knows all grants, and the others would have to wait longer
// than this before they could grant anything. They do not wait again if the era rises once more
// before there is a coordinator.
const restoredElectionWait = 3 * time.Second

// eraEvidenceWait is how long a daemon that starts waits for the announcements of daemons that have seen
// an earlier era. The others write them again as soon as they see that the era has risen.
const eraEvidenceWait = 2500 * time.Millisecond

// eraState is what a daemon knows about the era of the store.
type eraState struct {
	era int64
	// first is the earliest era in which, as far as this daemon knows, the fleet may have granted keys.
	first int64
	// since is when this daemon first saw the era, and rose is set if it saw an earlier one before.
	since time.Duration
	rose  bool
	known bool
	// held is set if the last view showed a coordinator, and waitSince is when the era rose while one
	// was shown.
	held      bool
	waitSince time.Duration
	// kept is the state of the term that this daemon held when the era rose, or nil.
	kept *keptTerm
}

// keptTerm is the state of a term that ended with an era of the store. The lease was in force until
// then, so no other daemon has granted keys since.
type keptTerm struct {
	era     int64
	engines map[string]*engine
	// until is when a coordinator of a later era may begin to grant.
	until time.Duration
}

// noteEra records the era of a view. A term of an earlier era ends.
func (c *Coordinator) noteEra(v *view.View) {
	if !v.Synced {
		return
	}
	if !c.restored.known && c.config.FirstEra != nil {
		c.restored.first = c.config.FirstEra(v.Era)
	}
	if !c.restored.known || v.Era > c.restored.era {
		c.restored.rose = c.restored.known
		c.restored.era, c.restored.since, c.restored.known = v.Era, clock.Now(), true
		if c.restored.held {
			c.restored.waitSince = c.restored.since
		}
	}
	c.restored.held = v.Coordinator.Exists()
	if c.term != nil && v.Era > topo.EraOf(c.term.rev) {
		c.keepTerm()
	}
}

// clockMargin is how much later than by the store's clock a lease may run out by the coordinator's.
const clockMargin = 20 * time.Millisecond

// keepTerm ends the term because the store is known to be of a later era. The engines are kept if the
// lease has not run out since it was renewed in the earlier era. An engine that still waits for grants
// of earlier coordinators to expire is not: one of these may have kept its own engine, and would grant
// keys by it.
func (c *Coordinator) keepTerm() {
	t, engines := c.term, c.engines
	now := clock.Now()
	inForce := now < t.expires-clockMargin
	c.dropTerm("store era rose")
	maps.DeleteFunc(engines, func(_ string, e *engine) bool { return !e.KnowsGrants(now) })
	if !inForce || len(engines) == 0 {
		return
	}
	c.restored.kept = &keptTerm{era: topo.EraOf(t.rev), engines: engines, until: t.expires + c.config.Grants.LongestGrant()}
	for _, e := range engines {
		e.kept = true
	}
}

// mayCampaign reports whether this daemon may try to win the lease, as far as the era matters, and
// whether it is the one for which the others wait.
func (c *Coordinator) mayCampaign(v *view.View) (may, first bool) {
	if kept := c.restored.kept; kept != nil {
		if clock.Now() < kept.until {
			return v.Era > kept.era, true
		}
		c.restored.kept = nil
	}
	return c.restored.waitSince == 0 || clock.Now() >= c.restored.waitSince+restoredElectionWait, false
}

// takeKept returns the engines of the kept term for a term that was just won.
func (c *Coordinator) takeKept(t *term) map[string]*engine {
	kept := c.restored.kept
	c.restored.kept = nil
	if kept == nil || topo.EraOf(t.rev) <= kept.era || clock.Now() >= kept.until {
		return make(map[string]*engine)
	}
	return kept.engines
}

// resume makes a kept engine write its table again. It returns false if another coordinator has
// written one in this era, and may have granted keys.
func (c *Coordinator) resume(e *engine, v *view.View, service string) bool {
	era := topo.EraOf(c.term.rev)
	e.kept, e.tableRev, e.writeID = false, 0, ""
	if t := v.Tables[service]; t != nil {
		if t.WrittenIn(era) {
			return false
		}
		if topo.EraOf(t.Rev) == era {
			e.tableRev = t.Rev
		}
	}
	e.RewriteAfterLoss(ranges.LowestFence(era))
	c.config.Log.Info("writing the range table again", "service", service, "term", c.term.rev, "table_revision", e.tableRev)
	return true
}

// eraSettled reports whether the fleet has had time to tell a daemon that starts whether the era of the
// store has risen before. That matters for a service without a table only: it may be lost.
func (c *Coordinator) eraSettled(v *view.View, service string, now time.Duration) bool {
	return v.Era == 0 || v.Tables[service] != nil || now >= c.restored.since+eraEvidenceWait
}

// tablesLost reports whether tables may have been lost that were written after the one of the view. That a
// service has no table does not show that it never had one: the copy may be from before its first table.
func (c *Coordinator) tablesLost(v *view.View, service string, era int64) bool {
	t := v.Tables[service]
	switch {
	case era == 0:
		return false
	case t != nil:
		return !t.WrittenIn(era)
	default:
		return c.restored.first < era || c.fleetSawEarlierEra(v)
	}
}

// fleetSawEarlierEra reports whether another daemon has announced that it saw an earlier era.
func (c *Coordinator) fleetSawEarlierEra(v *view.View) bool {
	return c.config.FleetSawEarlierEra != nil && c.config.FleetSawEarlierEra(v)
}

// newOwnership returns the ownership engine for a table of the view, which is empty if there is none.
func (c *Coordinator) newOwnership(v *view.View, service string, table ranges.Table, now time.Duration) *ownership.Engine {
	era := topo.EraOf(c.term.rev)
	until := now
	if c.tablesLost(v, service, era) {
		// Another coordinator had its lease until the era rose, at the latest.
		until = max(c.restored.since+c.config.LeaseTTL+c.config.Grants.LongestGrant(), now)
	}
	if until > now {
		c.config.Log.Warn("range tables may be lost; assigning keys when the grants of earlier coordinators have expired",
			"service", service, "era", era, "wait_ms", (until - now).Milliseconds())
	}
	return ownership.NewAfterLoss(c.config.Grants, table, ranges.LowestFence(era), until, now)
}
