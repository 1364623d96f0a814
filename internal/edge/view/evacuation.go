package view

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

const (
	// defaultEvacuationTime is used until SetEvacuationTime is called.
	defaultEvacuationTime = 5 * time.Second
	// evacuationMargin is subtracted from the evacuation time, so that requests that are under
	// way at its end still arrive in time.
	evacuationMargin = 500 * time.Millisecond
	// maxEvacuations bounds the evacuated failure domains, far above the number of domains.
	maxEvacuations = 256
	// unknownSince is used for requests whose age is not known: it is longer ago than any evacuation
	// time, also one that is set later.
	unknownSince = time.Duration(math.MinInt64 / 4)
)

// evacuations holds the failure domains whose evacuation the operators request in the store.
// Until its end, nothing is sent to the targets of such a domain, except that owners of keys
// serve them until they have moved, at most for the evacuation time.
type evacuations struct {
	limit    time.Duration
	byDomain map[string]evacuation
	// following is true once a copy of the store has been applied, and currentAt a time at which
	// the copy matched the store, before the change that is being applied.
	following bool
	currentAt time.Duration
	// publishedAt is the time of the last view, whose states depend on the time.
	publishedAt time.Duration
}

// evacuation is the evacuation of one failure domain.
type evacuation struct {
	// since is the earliest time at which it may have been requested.
	since time.Duration
	// learnedAt is when this daemon learned of the request.
	learnedAt time.Duration
	// missingSince is when a snapshot of the store did not contain the request; 0 if the last
	// one did.
	missingSince time.Duration
}

func newEvacuations() evacuations {
	return evacuations{limit: defaultEvacuationTime, byDomain: make(map[string]evacuation)}
}

// drainedAt returns when the owners of keys in an evacuated domain get no more requests.
func (ev *evacuations) drainedAt(since time.Duration) time.Duration {
	return since + max(ev.limit-evacuationMargin, ev.limit/2)
}

// drained reports whether the time of an evacuation has ended since the last view.
func (ev *evacuations) drained(now time.Duration) bool {
	for _, e := range ev.byDomain {
		if end := ev.drainedAt(e.since); ev.publishedAt < end && end <= now {
			return true
		}
	}
	return false
}

// apply returns the record with the state that follows from the evacuation of its domain.
func (ev *evacuations) apply(r target.Record, keyed bool, now time.Duration) target.Record {
	e, evacuated := ev.byDomain[r.Domain]
	switch {
	case !evacuated || r.State == target.Draining:
	case keyed && now < ev.drainedAt(e.since):
		r.State = target.Leaving
	default:
		r.State = target.Draining
	}
	return r
}

// domains returns the evacuated domains, or nil if there are none.
func (ev *evacuations) domains() map[string]bool {
	if len(ev.byDomain) == 0 {
		return nil
	}
	out := make(map[string]bool, len(ev.byDomain))
	for domain := range ev.byDomain {
		out[domain] = true
	}
	return out
}

// SetEvacuationTime changes the time within which the targets of an evacuated failure domain
// must get no more requests.
func (tr *Tracker) SetEvacuationTime(d time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.evacuations.limit = d
}

// applyEvacuation applies a change of the entry that requests the evacuation of a domain.
func (tr *Tracker) applyEvacuation(domain string, e topo.Entry) {
	previous, known := tr.evacuations.byDomain[domain]
	switch {
	case !e.Exists():
		tr.endEvacuation(domain, "request removed")
	case known:
		previous.missingSince = 0
		tr.evacuations.byDomain[domain] = previous
	case len(tr.evacuations.byDomain) >= maxEvacuations:
		tr.log.Warn("too many failure domains evacuated; ignoring the request for another", "domain", domain, "revision", e.ModRev)
	default:
		now := clock.Now()
		since := tr.evacuations.currentAt
		if !tr.evacuations.following {
			since = unknownSince
		}
		tr.evacuations.byDomain[domain] = evacuation{since: since, learnedAt: now}
		end := max(tr.evacuations.drainedAt(since)-now, 0)
		tr.log.Info("failure domain evacuated", "domain", domain, "revision", e.ModRev, "until_last_send_ms", end.Milliseconds())
		time.AfterFunc(end, tr.Expire)
	}
}

func (tr *Tracker) endEvacuation(domain, reason string) {
	if _, known := tr.evacuations.byDomain[domain]; !known {
		return
	}
	delete(tr.evacuations.byDomain, domain)
	tr.markDomainCold(domain)
	tr.log.Info("evacuation of failure domain ended", "domain", domain, "reason", reason)
}

// markMissingEvacuations records which evacuations a snapshot of the store does not contain. The
// store may have lost its latest changes, which the operators then write again, so these
// evacuations end only after reregistrationWindow.
func (tr *Tracker) markMissingEvacuations(entries []topo.Entry) {
	present := make(map[string]bool)
	for _, e := range entries {
		if domain, ok := tr.docs.EvacuatedDomain(e.Key); ok {
			present[domain] = true
		}
	}
	for domain, e := range tr.evacuations.byDomain {
		if !present[domain] && e.missingSince == 0 {
			e.missingSince = clock.Now()
			tr.evacuations.byDomain[domain] = e
		}
	}
}

// endMissingEvacuations ends the evacuations whose request has been missing in the store for
// reregistrationWindow, and reports whether there were any.
func (tr *Tracker) endMissingEvacuations(now time.Duration) bool {
	ended := false
	for domain, e := range tr.evacuations.byDomain {
		if e.missingSince > 0 && tr.status().Up && now >= max(e.missingSince, tr.status().UpSince)+reregistrationWindow {
			tr.endEvacuation(domain, "request missing in the store")
			ended = true
		}
	}
	return ended
}

// Evacuation is the evacuation of a failure domain as this daemon knows it.
type Evacuation struct {
	Domain string
	// LearnedAt is when the daemon learned of the request; it may have been made earlier.
	LearnedAt time.Duration
	// DrainedAt is when the owners of keys in the domain get no more requests from the daemon.
	DrainedAt time.Duration
	// Missing states that the store does not contain the request any more.
	Missing bool
}

// Evacuations returns the evacuations in force, ordered by domain.
func (tr *Tracker) Evacuations() []Evacuation {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	out := make([]Evacuation, 0, len(tr.evacuations.byDomain))
	for _, domain := range slices.Sorted(maps.Keys(tr.evacuations.byDomain)) {
		e := tr.evacuations.byDomain[domain]
		out = append(out, Evacuation{
			Domain: domain, LearnedAt: e.learnedAt, DrainedAt: tr.evacuations.drainedAt(e.since), Missing: e.missingSince > 0,
		})
	}
	return out
}

// KeysIn returns the number of keys of all services whose owners are in failure domains.
func (v *View) KeysIn(domains map[string]bool) int {
	n := 0
	for _, table := range v.Tables {
		for _, s := range table.Spans {
			if r, known := v.Targets.Get(s.Owner); known && domains[r.Domain] {
				n += s.Len()
			}
		}
	}
	return n
}

// AllEvacuated reports whether a service has targets and all of them are in evacuated failure
// domains.
func (v *View) AllEvacuated(service string) bool {
	if len(v.EvacuatedDomains) == 0 {
		return false
	}
	records := v.Targets.Service(service)
	for _, r := range records {
		if !v.EvacuatedDomains[r.Domain] {
			return false
		}
	}
	return len(records) > 0
}
