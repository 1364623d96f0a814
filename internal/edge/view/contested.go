package view

import (
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

const (
	// serviceChangeDelay is how long an incarnation must state another service than before until
	// that is believed. It is several times the interval in which targets write their entries, so a
	// target whose entry was overwritten has contradicted by then.
	serviceChangeDelay = 5 * time.Second
	// serviceRetention is how long the service of an incarnation is remembered that states none.
	serviceRetention = time.Minute
)

// statedService is the service that the entries of an incarnation have stated.
type statedService struct {
	service         string
	firstAt, lastAt time.Duration
	// other is another service that the later entries state, since otherSince; "" if the last one
	// has stated the service.
	other      string
	otherSince time.Duration
}

// restatedEntry is the latest entry of a target's key, which states another service than before.
type restatedEntry struct {
	entry       topo.Entry
	incarnation target.Incarnation
}

// established reports whether the service was stated for longer than another writer's entry stays in
// the store.
func (s statedService) established() bool { return s.lastAt-s.firstAt >= reregistrationWindow }

// checkService returns an error if an incarnation states another service than before. A target does
// not change its service while it runs, so one of the entries is from another writer.
func (tr *Tracker) checkService(r target.Record) error {
	now := clock.Now()
	incarnation := r.Incarnation()
	s, known := tr.services[incarnation]
	switch {
	case !known || now-s.lastAt > serviceRetention:
		tr.forgetServices(now)
		s = statedService{service: r.Service, firstAt: now}
	case s.service == r.Service:
		s.other = ""
	case s.other != r.Service:
		s.other, s.otherSince = r.Service, now
		tr.services[incarnation] = s
		return fmt.Errorf("states service %s, the entries before it stated %s", r.Service, s.service)
	case now-s.otherSince < serviceChangeDelay:
		return fmt.Errorf("states service %s for %v, the entries before it stated %s", r.Service, now-s.otherSince, s.service)
	default:
		s = statedService{service: r.Service, firstAt: s.otherSince}
	}
	s.lastAt = now
	tr.services[incarnation] = s
	return nil
}

func (tr *Tracker) forgetServices(now time.Duration) {
	for i, s := range tr.services {
		if now-s.lastAt > serviceRetention {
			delete(tr.services, i)
		}
	}
}

// believeStanding applies again the entries that state another service than before, once they have
// stood in the store for serviceChangeDelay. It reports whether there were any.
func (tr *Tracker) believeStanding(now time.Duration) bool {
	changed := false
	for key, c := range tr.restated {
		if now-tr.services[c.incarnation].otherSince >= serviceChangeDelay {
			tr.applyTarget(c.entry)
			delete(tr.restated, key)
			changed = true
		}
	}
	return changed
}

// applyContested handles an entry under a target's key that is not one of the target. It names no
// target. The target's last registration holds for the time that it has to write its entry again, so
// that another writer takes no target out of service. A registration that may itself be from another
// writer, as it was not repeated, does not hold.
func (tr *Tracker) applyContested(id string, e topo.Entry, cause error) {
	previous, existed := tr.targets[id]
	if !existed || !tr.services[previous.record.Incarnation()].established() {
		tr.log.Warn("target's registration could not be decoded; not using the target", "key", e.Key, "revision", e.ModRev, "error", cause)
		delete(tr.targets, id)
		return
	}
	tr.log.Warn("target's key has an entry that is not the target's; keeping its last registration for now", "key", e.Key,
		"service", previous.record.Service, "revision", e.ModRev, "error", cause)
	if previous.contestedAt == 0 {
		previous.contestedAt = clock.Now()
		tr.targets[id] = previous
	}
}

// dropContested removes the targets that have not written their entries again within
// reregistrationWindow. While the store is unreachable, they cannot.
func (tr *Tracker) dropContested(now time.Duration) bool {
	status := tr.status()
	dropped := false
	for id, r := range tr.targets {
		if r.contestedAt == 0 || !status.Up || now < max(r.contestedAt, status.UpSince)+reregistrationWindow {
			continue
		}
		delete(tr.targets, id)
		dropped = true
		tr.log.Info("target gone", "target", id, "service", r.record.Service, "contested_ms", (now - r.contestedAt).Milliseconds(),
			"reason", "another writer's entry is under its key")
	}
	return dropped
}
