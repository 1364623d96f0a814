package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// serviceAdmission is what admission needs to know of one service.
type serviceAdmission struct {
	// shared is nil while all routes to the service have the same priority.
	shared *admission.Service
	// config is the configuration that shared was made from.
	config *route.Config
}

// admissionState is the state of one request in admission.
type admissionState struct {
	// refusedAt is the target that had no room at the last choice; nil if there was none.
	refusedAt *endpoint
	decision  admission.Decision
	target    admission.Target // as it was when the request was admitted there
	// waiter is the request's place among those that are held for waitsAt; nil if it is not held.
	waiter  *admission.Waiter
	waitsAt *endpoint
}

// sharedService returns the state of a service that routes of different priority share, or
// nil. d.mu must be held.
func (d *Dispatcher) sharedService(name string) *admission.Service {
	a := &d.serviceState(name).admission
	config := d.config.Views.Current().Config
	if config == a.config || config == nil {
		return a.shared
	}
	a.config = config
	var classes []admission.Class
	for _, c := range config.Classes(name) {
		classes = append(classes, admission.Class(c))
	}
	switch {
	case a.shared == nil || len(classes) < 2:
		a.shared = admission.NewService(classes)
	case !a.shared.HasClasses(classes):
		a.shared.SetClasses(classes)
	}
	return a.shared
}

// recordArrival records the arrival of a request at a service that routes of different
// priority share.
func (d *Dispatcher) recordArrival(t *requestState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sharedService(t.req.Service).RecordArrival(clock.Now(), t.req.Route.Priority)
}

func (t *requestState) admissionRequest(now time.Duration) admission.Request {
	return admission.Request{
		Priority: t.req.Route.Priority, Objective: t.req.Route.Objective, Left: t.req.Deadline - now,
		Held: now - t.req.Arrived, Idempotent: t.req.Route.Idempotent, Chance: rand.Float64(),
	}
}

// admissionTarget returns what admission needs to know of a target. d.mu must be held.
func (d *Dispatcher) admissionTarget(t *requestState, ep *endpoint, now time.Duration) admission.Target {
	average := d.serviceState(ep.record.Service).avgServiceTime
	waiter := t.admission.waiter
	if t.admission.waitsAt != ep {
		waiter = nil
	}
	return admission.Target{
		Slots: ep.record.Slots, Load: ep.estimate.Load(), Expected: ep.estimate.ExpectedLatency(now, average), ServiceTime: ep.estimate.ServiceTime(average),
		Ahead: ep.waiters.Ahead(waiter, t.req.Route.Priority), Limit: &ep.limits,
		ArrivalShare: d.arrivalShare(ep.record.Service),
	}
}

// arrivalShare returns admission.Target.ArrivalShare of the service's targets. Daemons get
// about equal parts of the requests.
func (d *Dispatcher) arrivalShare(service string) float64 {
	v := d.config.Views.Current()
	return float64(max(len(v.Daemons), 1)) / float64(max(len(v.Targets.Service(service)), 1))
}

// admit reserves capacity at the target if the request is likely to complete in time.
// d.mu must be held.
func (d *Dispatcher) admit(t *requestState, ep *endpoint) (*endpoint, Reason) {
	now := clock.Now()
	target := d.admissionTarget(t, ep, now)
	decision := d.sharedService(ep.record.Service).Decide(now, t.admissionRequest(now), target)
	mustQueue := ep.sheds && target.Load >= max(target.Slots, 1)
	if decision.Cause != admission.Admitted || mustQueue || ep.estimate.Running >= ep.limit {
		t.inputs.Load, t.inputs.Slots, t.inputs.ExpectedTime = target.Load, max(target.Slots, 1), target.Expected
		t.admission.refusedAt, t.admission.decision = ep, decision
		t.inputs.Admission = decision.Cause.String()
		return nil, TargetsFull
	}
	ep.estimate.Running++
	t.admission.target = target
	return ep, ""
}

// Bounds of one wait for room at a target. Requests of other daemons that have ended are not
// signalled, and daemons that looked at the same times would all send at once.
const (
	minRoomPoll = 5 * time.Millisecond
	maxRoomPoll = 20 * time.Millisecond
)

// awaitRoom holds a request whose target is expected to have room soon, in the order of
// priority, and returns true if a target is to be chosen again.
func (d *Dispatcher) awaitRoom(ctx context.Context, t *requestState) bool {
	ep, decision := t.admission.refusedAt, t.admission.decision
	if ep == nil || !decision.Hold || ctx.Err() != nil {
		return false
	}
	if !d.joinWaiters(t, ep) {
		return false
	}
	limit := minRoomPoll + time.Duration(rand.Float64()*float64(maxRoomPoll-minRoomPoll))
	wait(ctx, nil, min(limit, max(decision.Fits, minRoomPoll)))
	return true
}

// joinWaiters gives the request a place among those that are held for the target, and
// returns false if too many are. A request that any of several targets can run has no place.
func (d *Dispatcher) joinWaiters(t *requestState, ep *endpoint) bool {
	if !d.isKeyed(t.req.Service) || t.admission.waiter != nil && t.admission.waitsAt == ep {
		return true
	}
	d.stopWaiting(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	t.admission.waiter, t.admission.waitsAt = ep.waiters.Join(t.req.Route.Priority, ep.record.Slots), ep
	return t.admission.waiter != nil
}

// stopWaiting ends the wait of a request for room.
func (d *Dispatcher) stopWaiting(t *requestState) {
	if t.admission.waiter == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t.admission.waitsAt.waiters.Leave(t.admission.waiter)
	t.admission.waiter = nil
}

// recordAdmission records the outcome of a send for later admissions.
func (d *Dispatcher) recordAdmission(t *requestState, ep *endpoint, outcome sendOutcome, took time.Duration, err error) {
	reset := errors.Is(err, syscall.ECONNRESET)
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case reset, outcome.reason == TargetsFull && err == nil:
		ep.limits.RecordFull(now, t.admission.target.Load, ep.record.Slots, reset)
		t.admission.refusedAt, t.admission.decision = ep, admission.Decision{Cause: admission.Full}
	case outcome.kind == served:
		d.sharedService(t.req.Service).RecordResponse(now, t.req.Route.Priority, t.admission.target, took, now-t.req.Arrived)
		d.reportShedding(t.req.Service, now)
	}
}

// reportShedding logs when less urgent requests of a service begin or cease to yield their
// queue room. d.mu must be held.
func (d *Dispatcher) reportShedding(service string, now time.Duration) {
	shared := d.sharedService(service)
	shedding, changed := shared.UpdateShedding(now)
	switch {
	case !changed:
	case shedding:
		d.config.Log.Info("less urgent requests are shed", "service", service, "level", shared.Level(now))
	default:
		d.config.Log.Info("less urgent requests are admitted again", "service", service, "level", shared.Level(now))
	}
}

// Minimum delays after which refused callers are asked to retry.
const (
	retryAfterNoOwner = 250 * time.Millisecond
	retryAfterFull    = 150 * time.Millisecond
	// retryAfterStopping only spreads the callers, as the other daemons can serve them at once.
	retryAfterStopping = 20 * time.Millisecond
)

// retryAfter returns the delay after which a refused request is likely to be served. A
// caller of a target that asked for a pause is told the rest of it. Jitter keeps callers from
// retrying at the same time.
func (d *Dispatcher) retryAfter(t *requestState, r Reason) time.Duration {
	delay := retryAfterFull
	switch r {
	case TargetsFull:
		if after := d.returnAfter(t); after > 0 {
			return after
		}
	case NoOwner, KeyNotHeld, NoTarget:
		delay = retryAfterNoOwner
	case Stopping:
		delay = retryAfterStopping
	}
	jitter := time.Duration(rand.Float64() * float64(delay) / 2)
	return max(delay, t.pausedUntil-clock.Now()) + jitter
}

// returnAfter records the refusal of a request for which its target had no room. For a shared
// service it returns the delay after which the request is likely to be served, otherwise 0.
func (d *Dispatcher) returnAfter(t *requestState) time.Duration {
	ep, decision := t.admission.refusedAt, t.admission.decision
	if ep == nil {
		return 0
	}
	priority := t.req.Route.Priority
	if d.config.ObserveNotAdmitted != nil {
		d.config.ObserveNotAdmitted(t.req.Service, priority, decision.Cause.String())
	}
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	shared := d.sharedService(t.req.Service)
	if shared == nil {
		return 0
	}
	shared.RecordRefusal(now, priority)
	d.reportShedding(t.req.Service, now)
	target := d.admissionTarget(t, ep, now)
	// This daemon's part of the requests at the target is its part of the room there.
	place := target.ServiceTime * time.Duration(max(target.Load, 1)) / time.Duration(max(target.Slots, 1)*max(ep.estimate.Running, 1))
	return ep.promises.ReturnAfter(now, t.admissionRequest(now), target, decision.Fits, place, rand.Float64())
}

// slotPollInterval limits one wait for a slot, because slots freed by the requests of other
// daemons are not signalled.
const slotPollInterval = 10 * time.Millisecond

// awaitSlot waits for a slot at targets that shed load instead of queueing, and returns
// true if a target is to be chosen again. It returns false without waiting if the targets
// queue requests, ctx is done, or the request would not complete in time.
func (d *Dispatcher) awaitSlot(ctx context.Context, t *requestState) bool {
	d.mu.Lock()
	s := d.serviceState(t.req.Service)
	if s.slotFreed == nil {
		s.slotFreed = make(chan struct{})
	}
	freed, avgServiceTime := s.slotFreed, s.avgServiceTime
	d.mu.Unlock()
	now := clock.Now()
	if !d.shedsLoad(t.req.Service) || now+avgServiceTime > t.req.Arrived+slotWaitLimit(t.req) || ctx.Err() != nil {
		return false
	}
	wait(ctx, freed, slotPollInterval)
	return true
}

// slotWaitLimit returns how long after its arrival a request that waits for a slot
// must be expected to complete.
func slotWaitLimit(r *Request) time.Duration {
	return time.Duration(admission.TimeShare(r.Route.Priority) * float64(r.Deadline-r.Arrived))
}
