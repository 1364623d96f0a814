package ownership

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

// NewAfterLoss returns an Engine for a table after which other tables may have been written and lost,
// because the store was restored from a copy. Each key may have been granted to any target, so
// nothing is granted before the time until, at which all such grants have expired. The fence of the
// first table is above lowestFence.
func NewAfterLoss(c Config, table ranges.Table, lowestFence uint64, until, now time.Duration) *Engine {
	e := New(c, table, now)
	e.lowestFence, e.idleUntil = lowestFence, until
	e.table.Fence = max(e.table.Fence, lowestFence)
	if until > now {
		for _, h := range e.spans {
			h.phase, h.inherited, h.nextOwner = phaseFree, false, h.span.Owner
		}
	}
	return e
}

// LongestGrant returns how long a grant can last that is being sent.
func (c Config) LongestGrant() time.Duration {
	return c.latestExpiry(0, maxCallTime, c.MaxGrantDuration)
}

// KnowsGrants reports whether the Engine knows all grants that may be in force, which one of NewAfterLoss
// does not before they have expired.
func (e *Engine) KnowsGrants(now time.Duration) bool { return now >= e.idleUntil }

// RewriteAfterLoss makes the Engine write its table again, which the store may have lost, with a fence
// above lowestFence. The Engine knows all grants, and keeps their state. It grants and releases
// nothing until the table is written: only then is it certain that no other coordinator has
// assigned keys meanwhile. The result of a write that is still pending is to be ignored.
func (e *Engine) RewriteAfterLoss(lowestFence uint64) {
	e.lowestFence, e.rewriting = lowestFence, true
	e.pending = nil
	e.pendingHandovers = make(map[keyRange]string)
}

// rewriteTable returns the table that RewriteAfterLoss asks for.
func (e *Engine) rewriteTable(now time.Duration) Actions {
	if e.pending != nil || now < e.nextWriteAt {
		return Actions{}
	}
	t := e.table.Clone()
	t.Fence = max(t.Fence, e.lowestFence)
	e.pending = &t
	return Actions{Table: &t}
}
