package view

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// endedRetention is how long the incarnations of targets that are gone are remembered. It is far
// above the age of the copies that the store is restored from.
const endedRetention = time.Minute

// restoration is what is known about the store's last return from a copy, after which the store
// shows an earlier state until its writers have written again.
type restoration struct {
	// era is the era of the last snapshot.
	era int64
	// until is the end of the time in which registrations of the copy are not believed against what
	// was known before; 0 if the era has not risen.
	until time.Duration
	// reading is set while the entries of a snapshot are applied.
	reading bool
	// ended holds when incarnations that are gone ended.
	ended map[target.Incarnation]time.Duration
	// doubted holds the registrations of the copy that contradict what was known.
	doubted map[string]topo.Entry
}

func newRestoration() restoration {
	return restoration{ended: make(map[target.Incarnation]time.Duration), doubted: make(map[string]topo.Entry)}
}

// beginEra handles a snapshot. If the era of the store has risen, tables that the copy lacks are
// kept, at the position of a key that does not exist.
func (tr *Tracker) beginEra(c mirror.Change) {
	if tr.synced && c.Era > tr.restored.era {
		tr.restored.until = clock.Now() + reregistrationWindow
		present := make(map[string]bool, len(c.Entries))
		for _, e := range c.Entries {
			present[e.Key] = true
		}
		for service, t := range tr.tables {
			if !present[RangesKey(service)] && topo.EraOf(t.Rev) < c.Era {
				tr.tables[service] = &Table{Table: t.Table}
			}
		}
	}
	clear(tr.restored.doubted)
	tr.restored.era = max(tr.restored.era, c.Era)
}

// doubt reports whether a registration in a snapshot of the copy contradicts what was known: its
// target has ended, or has begun to leave. It then stays as known until the target registers again or
// until the time for that is over.
func (tr *Tracker) doubt(id string, r target.Record, e topo.Entry) bool {
	if !tr.restored.reading || clock.Now() >= tr.restored.until {
		return false
	}
	_, ended := tr.restored.ended[r.Incarnation()]
	known, exists := tr.targets[id]
	older := exists && known.record.Epoch > r.Epoch
	if !ended && !older {
		return false
	}
	tr.restored.doubted[e.Key] = e
	tr.log.Info("target's registration is from before the store was restored; not using it for now", "target", id, "service", r.Service, "revision", e.ModRev)
	return true
}

// keepState returns the record of a snapshot with the state that the same incarnation had before the
// store was restored: a target that has begun to drain is ready again only if it writes that.
func (tr *Tracker) keepState(r target.Record, previous registration, existed bool) target.Record {
	if existed && tr.restored.reading && clock.Now() < tr.restored.until && previous.record.Incarnation() == r.Incarnation() && r.State == target.Ready {
		r.State = previous.record.State
	}
	return r
}

// noteEnded remembers an incarnation that is gone.
func (tr *Tracker) noteEnded(i target.Incarnation) {
	now := clock.Now()
	for old, at := range tr.restored.ended {
		if now-at > endedRetention {
			delete(tr.restored.ended, old)
		}
	}
	tr.restored.ended[i] = now
}

// acceptDoubted applies the doubted registrations that are still in the store when the time for
// writing again is over. It reports whether there were any.
func (tr *Tracker) acceptDoubted(now time.Duration) bool {
	if len(tr.restored.doubted) == 0 || now < tr.restored.until {
		return false
	}
	for _, e := range tr.restored.doubted {
		tr.applyTarget(e)
	}
	clear(tr.restored.doubted)
	return true
}

// applyTableEra applies a stored table that was read in another era than the one in force. A table of
// the copy does not replace one that was written later and lost: daemons go on routing by that one,
// at the position of the stored one, until a coordinator has written a table in the new era.
func (tr *Tracker) applyTableEra(service string, old, stored *Table) {
	if !stored.supersedes(old) {
		tr.log.Warn("range table in the store is older than the one in force; keeping that until one is written", "service", service,
			"revision", stored.Rev, "fence", stored.Fence, "known", old.Fence)
		stored = &Table{Table: old.Table, Rev: stored.Rev}
	}
	tr.tables[service] = stored
}

// supersedes reports whether a table was written no earlier than one that was read in another era.
func (t *Table) supersedes(old *Table) bool {
	return t.Fence > old.Fence || t.Fence == old.Fence && t.WriteID == old.WriteID
}
