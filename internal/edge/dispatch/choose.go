package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// choose selects a target for the request's next send and reserves capacity there.
func (d *Dispatcher) choose(ctx context.Context, t *requestState) (*endpoint, *Refusal) {
	if d.outlivesDaemon(t.req, clock.Now()) {
		return nil, &Refusal{Reason: Stopping}
	}
	if t.sends > 0 && (t.last.Reason == KeyNotHeld || t.last.Reason == TargetUnreachable && d.isKeyed(t.req.Service)) {
		d.awaitOwnerChange(ctx, t)
	}
	if t.sends > 0 && t.last.Reason == TargetsFull && d.shedsLoad(t.req.Service) && !d.awaitSlot(ctx, t) {
		return nil, &Refusal{Reason: TargetsFull}
	}
	if t.sends > 1 && t.last.Reason == TargetsFull && d.isKeyed(t.req.Service) {
		// The owner may be full after all, by requests that this daemon does not know of yet.
		wait(ctx, nil, min(refusalBackoff<<(t.sends-2), time.Duration(refusalBackoffShare*float64(t.req.Deadline-clock.Now()))))
	}
	for {
		if ctx.Err() != nil {
			return nil, &Refusal{Reason: CallerDisconnected}
		}
		changed := d.config.Views.Changed()
		v := d.config.Views.Current()
		t.inputs = SelectionInputs{ConfigVersion: v.Config.Version, CopyAge: d.config.Views.Age()}
		now := clock.Now()
		if t.req.Deadline-now < minTimeLeft {
			return nil, &Refusal{Reason: DeadlineExceeded}
		}
		if d.outlivesDaemon(t.req, now) {
			return nil, &Refusal{Reason: Stopping}
		}
		t.admission.cause = admission.Admitted
		ep, reason := d.chooseNow(ctx, t)
		if reason == "" && d.takeColdTurn(ep) {
			return ep, nil
		}
		if reason == "" {
			d.releaseReservation(ep)
			continue
		}
		if reason == TargetsFull && d.awaitSlot(ctx, t) {
			continue
		}
		now = clock.Now()
		end := t.req.Arrived + ownerWaitLimit
		if reason == TargetPaused && t.pausedUntil <= end {
			wait(ctx, changed, t.pausedUntil-now)
			continue
		}
		if reason != NoOwner || now >= end {
			return nil, &Refusal{Reason: t.cold.reason(reason)}
		}
		wait(ctx, changed, end-now)
	}
}

// chooseNow selects a target that can be used now, after probes if they can improve the choice, or
// returns why there is none.
func (d *Dispatcher) chooseNow(ctx context.Context, t *requestState) (*endpoint, Reason) {
	if d.isKeyed(t.req.Service) {
		d.probeOwner(ctx, t)
		return d.chooseOwner(d.config.Views.Current(), t)
	}
	d.probe(ctx, t)
	return d.chooseAny(d.config.Views.Current(), t)
}

const (
	// refusalBackoff is the delay before the third send to an owner that refused as full; it
	// doubles with each further send, up to refusalBackoffShare of the remaining time.
	refusalBackoff      = 15 * time.Millisecond
	refusalBackoffShare = 0.1
)

// awaitOwnerChange waits until the range table names another owner or fence for the
// key, or until the current owner may have received its grant.
func (d *Dispatcher) awaitOwnerChange(ctx context.Context, t *requestState) {
	now := clock.Now()
	delay := min(ownerChangeDelay<<max(t.sends-2, 0), time.Duration(ownerChangeShare*float64(t.req.Deadline-now)))
	end := now + delay
	for left := delay; left > 0 && ctx.Err() == nil; left = end - clock.Now() {
		changed := d.config.Views.Changed()
		table := d.config.Views.Current().Tables[t.req.Service]
		if table != nil && table.Lookup(t.req.Key).Fence != t.fence {
			return
		}
		wait(ctx, changed, left)
	}
}

// wait returns when the channel is closed, the limit has passed or ctx is done.
func wait(ctx context.Context, signal <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-signal:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *Dispatcher) chooseOwner(v *view.View, t *requestState) (*endpoint, Reason) {
	if !t.req.HasKey {
		return nil, NoKey
	}
	table := v.Tables[t.req.Service]
	if table == nil {
		return nil, NoOwner
	}
	t.inputs.TableRev = table.Rev
	span := table.Lookup(t.req.Key)
	t.fence = span.Fence
	record, usable := ownerRecord(v, t.req)
	switch {
	case !usable && record.State == target.Draining && v.AllEvacuated(t.req.Service):
		return nil, NoTarget
	case !usable:
		return nil, NoOwner
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ep := d.endpoint(v, record)
	if ep.replaced {
		return nil, NoOwner
	}
	t.pausedUntil = 0
	if clock.Now() < ep.pausedUntil {
		t.pausedUntil = ep.pausedUntil
		return nil, TargetPaused
	}
	if reason := d.admitToColdOwner(t, ep, len(v.Daemons)); reason != "" {
		return nil, reason
	}
	return d.admit(t, ep)
}

// chooseAny selects a target of a service without keys and counts the request there.
func (d *Dispatcher) chooseAny(v *view.View, t *requestState) (*endpoint, Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ep, reason := d.selectAny(v, t)
	if reason == "" {
		ep.probe.RecordChosen()
	}
	return ep, reason
}

// selectAny selects a target of a service without keys and reserves capacity there. d.mu must be
// held.
func (d *Dispatcher) selectAny(v *view.View, t *requestState) (*endpoint, Reason) {
	eps, inState := d.candidates(v, t, target.Ready)
	t.inputs.ReadyTargets = inState
	if inState == 0 {
		// A target that is leaving still serves for a while.
		eps, inState = d.candidates(v, t, target.Leaving)
	}
	if inState == 0 {
		return nil, NoTarget
	}
	ep := d.pickProbed(v, t, eps)
	if ep == nil {
		ep = pick(eps, clock.Now(), d.serviceState(t.req.Service).avgServiceTime)
	}
	switch {
	case ep != nil:
		return d.admit(t, ep)
	case t.pausedUntil > 0:
		return nil, TargetPaused
	default:
		t.admission.cause = admission.Full
		return nil, TargetsFull
	}
}

// candidates returns the endpoints of the service's targets in a state that may get the
// request, and the number of targets in that state. d.mu must be held.
func (d *Dispatcher) candidates(v *view.View, t *requestState, state target.State) (eps []*endpoint, inState int) {
	records := v.Targets.Service(t.req.Service)
	if part := d.considered(t, records); part != nil {
		if eps, inState = d.candidatesAmong(v, t, state, part); len(eps) > 0 {
			return eps, inState
		}
	}
	return d.candidatesAmong(v, t, state, records)
}

func (d *Dispatcher) candidatesAmong(v *view.View, t *requestState, state target.State, records []target.Record) (eps []*endpoint, inState int) {
	now := clock.Now()
	t.pausedUntil, t.cold.skipped = 0, false
	for _, r := range records {
		if r.State != state {
			continue
		}
		inState++
		ep := d.endpoint(v, r)
		switch {
		case t.triedTargets[r.ID] || ep.replaced || ep.estimate.Running >= ep.limit:
		case now < ep.pausedUntil:
			t.deferUntil(ep.pausedUntil)
		case !d.mayUseCold(v, ep, now):
			t.cold.skipped = true
			t.deferUntil(ep.cold.usableAt(now))
		default:
			eps = append(eps, ep)
		}
	}
	return eps, inState
}

const (
	// sampleSize is the maximum number of targets sampled from the daemon's own failure
	// domain, and also from all other failure domains together. Daemons learn of each
	// other's requests with a delay and would all pick the same target if each daemon
	// compared all targets.
	sampleSize = 3
	// exploreShare is the fraction of requests that also consider targets without an
	// idle connection, so that a daemon discovers better targets than the targets that
	// it is connected to.
	exploreShare = 0.03
)

// pick returns the target for a request, or nil if there is none. It prefers targets
// with a free slot and an idle connection, because connections are charged for: the more
// daemons and targets there are, the less the connections of each pair are used.
func pick(eps []*endpoint, now, avgServiceTime time.Duration) *endpoint {
	if rand.Float64() >= exploreShare {
		var connected []*endpoint
		for _, ep := range eps {
			if ep.estimate.Load() < ep.estimate.Slots && !ep.estimate.Suspect(now) && ep.pool.HasIdleConn() {
				connected = append(connected, ep)
			}
		}
		if ep := pickFromSample(connected, now, avgServiceTime); ep != nil {
			return ep
		}
	}
	return pickFromSample(eps, now, avgServiceTime)
}

// pickFromSample returns the best target of a random sample, or nil if there is none.
func pickFromSample(eps []*endpoint, now, avgServiceTime time.Duration) *endpoint {
	eps = sample(eps)
	estimates := make([]*balance.Estimate, len(eps))
	for i, ep := range eps {
		estimates[i] = &ep.estimate
	}
	if i := balance.Pick(estimates, now, avgServiceTime); i >= 0 {
		return eps[i]
	}
	return nil
}

// sample returns at most sampleSize random targets of the daemon's own failure domain
// and at most as many of other failure domains.
func sample(eps []*endpoint) []*endpoint {
	rand.Shuffle(len(eps), func(i, j int) { eps[i], eps[j] = eps[j], eps[i] })
	local, remote := 0, 0
	out := make([]*endpoint, 0, 2*sampleSize)
	for _, ep := range eps {
		count := &remote
		if ep.estimate.SameDomain {
			count = &local
		}
		if *count++; *count <= sampleSize {
			out = append(out, ep)
		}
	}
	return out
}

func (d *Dispatcher) releaseReservation(ep *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ep.estimate.Running--
}
