package view

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

const (
	// defaultDrainTime is used until SetDrainTime is called.
	defaultDrainTime = 2 * time.Second
	// drainMargin is subtracted from the drain time, so that requests that are under way at
	// its end still arrive in time.
	drainMargin = 500 * time.Millisecond
	// leavingHintTime is how long a target that is leaving is told to other daemons. Within
	// this time several hints reach each daemon, of which some may be lost.
	leavingHintTime = 3 * time.Second
)

// leavingTargets holds the incarnations that said in a response that they are leaving. Their
// registrations may still say that they are ready.
type leavingTargets struct {
	drainTime time.Duration
	since     map[target.Incarnation]time.Duration
	hashes    map[uint64]bool // hashes of the incarnations in since
	// publishedAt is the time of the last view, whose states depend on the time.
	publishedAt time.Duration
}

func newLeavingTargets() leavingTargets {
	return leavingTargets{drainTime: defaultDrainTime, since: make(map[target.Incarnation]time.Duration), hashes: make(map[uint64]bool)}
}

// drainedAt returns when a target that is leaving gets no more requests.
func (l *leavingTargets) drainedAt(since time.Duration) time.Duration {
	return since + max(l.drainTime-drainMargin, l.drainTime/2)
}

// apply returns the record with the state that follows from what the target said. The target
// keeps serving its keys until they have moved, at most for the drain time.
func (l *leavingTargets) apply(r target.Record, now time.Duration) target.Record {
	l.publishedAt = now
	since, leaving := l.since[r.Incarnation()]
	switch {
	case !leaving || r.State == target.Draining:
	case now < l.drainedAt(since):
		r.State = target.Leaving
	default:
		r.State = target.Draining
	}
	return r
}

// drained reports whether the drain time of a target has ended since the last view.
func (l *leavingTargets) drained(now time.Duration) bool {
	for _, since := range l.since {
		if end := l.drainedAt(since); l.publishedAt < end && end <= now {
			return true
		}
	}
	return false
}

// SetDrainTime changes the time for which targets that are leaving keep serving their keys.
func (tr *Tracker) SetDrainTime(d time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.leaving.drainTime = d
}

// MarkLeaving records that a registered incarnation of a target is leaving, and publishes a
// view if that is new. It stays recorded until another incarnation registers or the
// registration ends.
func (tr *Tracker) MarkLeaving(i target.Incarnation, source string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.markLeaving(i, source)
}

// MarkLeavingHash is MarkLeaving for an incarnation that a hint names by its hash.
func (tr *Tracker) MarkLeavingHash(hash uint64, source string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.leaving.hashes[hash] {
		return
	}
	for _, r := range tr.targets {
		if i := r.record.Incarnation(); i.Hash() == hash {
			tr.markLeaving(i, source)
			return
		}
	}
}

// markLeaving is MarkLeaving with tr.mu held.
func (tr *Tracker) markLeaving(i target.Incarnation, source string) {
	r, registered := tr.targets[i.ID]
	if _, known := tr.leaving.since[i]; known || !registered || r.record.Incarnation() != i {
		return
	}
	now := clock.Now()
	tr.leaving.since[i], tr.leaving.hashes[i.Hash()] = now, true
	tr.forgetEndedIncarnations()
	tr.log.Info("target is leaving", "target", i.ID, "service", r.record.Service, "source", source)
	tr.publish()
	time.AfterFunc(tr.leaving.drainedAt(now)-now, tr.Expire)
}

// forgetEndedIncarnations drops the incarnations that are no longer registered.
func (tr *Tracker) forgetEndedIncarnations() {
	for i := range tr.leaving.since {
		if r, registered := tr.targets[i.ID]; !registered || r.record.Incarnation() != i {
			delete(tr.leaving.since, i)
			delete(tr.leaving.hashes, i.Hash())
		}
	}
}

// RecentlyLeaving returns the hashes of the incarnations that became known as leaving within
// leavingHintTime.
func (tr *Tracker) RecentlyLeaving() []uint64 {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := clock.Now()
	var out []uint64
	for i, since := range tr.leaving.since {
		if now-since < leavingHintTime {
			out = append(out, i.Hash())
		}
	}
	return out
}
