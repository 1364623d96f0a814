package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/coldstart"
	"github.com/jackdawloom/jackdawloom/internal/coordination/hedging"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Explanation is what a daemon would do with a request to a service now.
type Explanation struct {
	Keyed bool
	// TableRev, Owner, Fence and OwnerState describe the assignment of the request's key.
	// Owner is empty if the key has none, or the request none.
	TableRev   int64
	Owner      string
	Fence      uint64
	OwnerState target.State
	// Refused is why the request would not be sent now: it waits for a moment and is refused then.
	// Empty if it would be sent.
	Refused    Reason
	RetryAfter time.Duration
	// Running and Slots are the requests at the service's targets and their slots.
	Running, Slots int
	// Candidates are the targets that may run the request, the best first.
	Candidates []Candidate
	// HedgeAfter is when a second send would follow; 0 if never.
	HedgeAfter time.Duration
}

// Candidate is a target that may run a request.
type Candidate struct {
	TargetLoad
	Domain string
	State  target.State
	// Expected is the expected response time, including queueing.
	Expected time.Duration
	// ColdLeft and PausedLeft are how long the target still warms up, and wants no requests.
	ColdLeft, PausedLeft time.Duration
	// LeftOut is why the target gets no request now; empty if it may get one.
	LeftOut Reason
}

// Explain returns what would happen to a request that arrived now. It sends
// nothing, reserves nothing and is not counted as a request. Without a key for a keyed service, all its targets are candidates.
func (d *Dispatcher) Explain(r *route.Route, service string, key uint16, hasKey bool, timeout time.Duration) Explanation {
	v := d.config.Views.Current()
	now := clock.Now()
	t := &requestState{
		req:          &Request{Route: r, Service: service, Key: key, HasKey: hasKey, Arrived: now, Deadline: now + timeout},
		triedTargets: make(map[string]bool), window: d.window.ForRequest(),
	}
	d.mu.Lock()
	t.admission.shared = d.sharedService(service)
	d.mu.Unlock()
	out := Explanation{Keyed: d.isKeyed(service)}
	records := v.Targets.Service(service)
	if out.Keyed {
		records = d.explainOwner(v, t, records, &out)
	}
	out.Candidates = d.explainTargets(v, t, records, now)
	d.mu.Lock()
	out.Running, out.Slots = d.serviceLoad(service)
	d.mu.Unlock()
	if !out.Keyed {
		out.HedgeAfter = d.explainHedge(t, now)
	}
	out.Refused = d.explainRefusal(v, t, &out)
	if out.Refused != "" {
		out.RetryAfter = retryDelay(out.Refused, false, t.pausedUntil)
	}
	return out
}

// explainOwner describes the assignment of the request's key, and returns the owner's record if the
// request has a key.
func (d *Dispatcher) explainOwner(v *view.View, t *requestState, records []target.Record, out *Explanation) []target.Record {
	table := v.Tables[t.req.Service]
	if table == nil || !t.req.HasKey {
		return records
	}
	span := table.Lookup(t.req.Key)
	out.TableRev, out.Fence = table.Rev, span.Fence
	owner, known := v.Targets.Get(span.Owner)
	if !span.Owned() || !known || owner.Incarnation() != span.Incarnation() {
		return nil
	}
	out.Owner, out.OwnerState = owner.ID, owner.State
	return []target.Record{owner}
}

// explainTargets describes targets, the usable ones first and by their expected response time.
func (d *Dispatcher) explainTargets(v *view.View, t *requestState, records []target.Record, now time.Duration) []Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	avgServiceTime := d.serviceState(t.req.Service).avgServiceTime
	out := make([]Candidate, 0, len(records))
	for _, r := range records {
		ep := d.endpoint(v, r)
		open, _ := ep.pool.Counts()
		e := &ep.estimate
		out = append(out, Candidate{
			TargetLoad: TargetLoad{
				ID: r.ID, Service: r.Service, Running: e.Running, RunningElsewhere: e.RunningElsewhere, Slots: r.Slots, Connections: open,
				Suspect: e.Suspect(now), ServiceTime: e.ServiceTime(0),
			},
			Domain: r.Domain, State: r.State, Expected: e.ExpectedLatency(now, avgServiceTime),
			ColdLeft: max(e.ColdUntil-now, 0), PausedLeft: max(ep.pausedUntil-now, 0), LeftOut: d.leftOut(v, t, ep, now),
		})
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Or(boolOrder(a.LeftOut != "", b.LeftOut != ""), boolOrder(a.Suspect, b.Suspect), cmp.Compare(a.Expected, b.Expected))
	})
	return out
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// leftOut returns why a target would not get the request, and sets until when if that is known. d.mu
// must be held.
func (d *Dispatcher) leftOut(v *view.View, t *requestState, ep *endpoint, now time.Duration) Reason {
	switch {
	case ep.record.State == target.Draining:
		return NoTarget
	case ep.replaced:
		return TargetReplaced
	case now < ep.pausedUntil:
		t.pausedUntil = ep.pausedUntil
		return TargetPaused
	case ep.coldUntil() > now && !ep.cold.keyed:
		if !d.mayUseCold(v, ep, now) {
			return TargetCold
		}
	case ep.coldUntil() > now:
		// Of a fraction between 0 and 1, chance decides.
		fraction, hasRoom := d.coldOwnerFraction(ep, now, coldstart.Class(t.req.Route.Priority), len(v.Daemons))
		if fraction == 0 || !hasRoom {
			t.pausedUntil = ep.coldRetryAt(now, fraction)
			return TargetCold
		}
	}
	if _, reason := d.admit(t, ep); reason != "" {
		return reason
	}
	ep.estimate.Running-- // the capacity that admit has reserved
	return ""
}

// explainRefusal returns why the request would be refused, or empty.
func (d *Dispatcher) explainRefusal(v *view.View, t *requestState, out *Explanation) Reason {
	ownerPausedUntil := t.pausedUntil
	t.pausedUntil = 0
	switch {
	case d.outlivesDaemon(t.req, clock.Now()):
		return Stopping
	case !out.Keyed:
		return d.explainAny(v, t)
	case !t.req.HasKey:
		return NoKey
	case out.Owner == "" || out.OwnerState == target.Draining:
		return NoOwner
	}
	t.pausedUntil = ownerPausedUntil
	return out.Candidates[0].LeftOut
}

// explainAny returns why no target of a service without keys would be chosen, or empty.
func (d *Dispatcher) explainAny(v *view.View, t *requestState) Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	ep, reason := d.selectAny(v, t)
	if reason == "" {
		ep.estimate.Running-- // the capacity that selectAny has reserved
	}
	return t.cold.reason(reason)
}

// explainHedge returns when the request would be hedged, or 0.
func (d *Dispatcher) explainHedge(t *requestState, now time.Duration) time.Duration {
	if !d.mayHedge(t) {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	latency := d.hedgeState(t.req.Service).latencies[t.req.Route.Name]
	if latency == nil {
		latency = hedging.NewLatency(now)
	}
	delay, ok := latency.Delay(now, d.config.HedgeShare, t.req.Route.Objective, 0)
	if !ok {
		return 0
	}
	return delay
}
