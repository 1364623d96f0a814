package view

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// coldExtension is the least time by which a report must extend the known cold time of a target
// to be recorded. Every response of a cold target may carry such a report.
const coldExtension = 100 * time.Millisecond

// withColdTime returns the record of a registration with the time for which the target is cold.
// What the registration says counts from when it was received, and only once: an unchanged
// registration that is read again, with a snapshot, says nothing new.
func withColdTime(r target.Record, rev int64, previous registration, existed bool) target.Record {
	if !existed || previous.record.Incarnation() != r.Incarnation() {
		previous = registration{}
	}
	r.ColdSince, r.ColdUntil = previous.record.ColdSince, previous.record.ColdUntil
	if previous.rev != rev {
		r.SetCold(clock.Now(), r.WarmupRemaining)
	}
	return r
}

// MarkCold records that a registered incarnation of a target is cold for the remaining time, and
// publishes a view if that is new. The target said so in a response to this daemon.
func (tr *Tracker) MarkCold(i target.Incarnation, remaining time.Duration, source string) {
	if r, known := tr.Current().Targets.Get(i.ID); known && clock.Now()+remaining < r.ColdUntil+coldExtension {
		return // without the lock, as most reports say nothing new
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.markCold(i, remaining, source) {
		r := tr.targets[i.ID]
		r.record.ColdReported = true
		tr.targets[i.ID] = r
		tr.publish()
	}
}

// markCold is MarkCold with tr.mu held. It reports whether the state has changed.
func (tr *Tracker) markCold(i target.Incarnation, remaining time.Duration, source string) bool {
	r, registered := tr.targets[i.ID]
	now := clock.Now()
	until := now + remaining
	if !registered || r.record.Incarnation() != i || until < r.record.ColdUntil+coldExtension {
		return false
	}
	if r.record.ColdUntil <= now {
		tr.log.Info("target is cold", "target", i.ID, "service", r.record.Service, "cold_ms", remaining.Milliseconds(), "source", source)
	}
	r.record.SetCold(now, remaining)
	tr.targets[i.ID] = r
	return true
}

// markDomainCold assumes that the targets of a failure domain are cold, because they had no
// requests for some time. Their next registrations tell whether they are.
func (tr *Tracker) markDomainCold(domain string) {
	if tr.config == nil {
		return
	}
	for _, r := range tr.targets {
		if s := tr.config.Services[r.record.Service]; r.record.Domain == domain && s.ColdRate > 0 && s.ColdStart > 0 {
			tr.markCold(r.record.Incarnation(), s.ColdStart, "evacuation ended")
		}
	}
}
