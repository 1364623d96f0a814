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
	// shared is the state of the request's service; nil if its requests have one priority.
	shared *admission.Service
	// cause is why the last choice or send found no room; admission.Admitted if it did.
	cause admission.Cause
	// target is the last chosen target as it was known before the send.
	target admission.Target
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
	t.admission.shared = d.sharedService(t.req.Service)
	t.admission.shared.RecordArrival(clock.Now(), t.req.Route.Priority)
}

func (t *requestState) admissionRequest(now time.Duration) admission.Request {
	return admission.Request{
		Priority: t.req.Route.Priority, Objective: t.req.Route.Objective, Left: t.req.Deadline - now,
		Held: now - t.req.Arrived, Idempotent: t.req.Route.Idempotent,
	}
}

// admissionTarget returns what admission needs to know of a target. d.mu must be held.
func (d *Dispatcher) admissionTarget(ep *endpoint, now time.Duration) admission.Target {
	average := d.serviceState(ep.record.Service).avgServiceTime
	return admission.Target{
		Slots: ep.record.Slots, Load: ep.estimate.Load(), Limit: &ep.limits,
		Expected: ep.estimate.ExpectedLatency(now, average), ServiceTime: ep.estimate.ServiceTime(average),
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
	target := d.admissionTarget(ep, now)
	if t.admission.shared != nil {
		target.ArrivalShare = d.arrivalShare(ep.record.Service)
	}
	t.admission.target = target
	t.admission.cause = t.admission.shared.Decide(now, t.admissionRequest(now), target)
	mustQueue := ep.sheds && target.Load >= max(target.Slots, 1)
	if mustQueue || ep.estimate.Running >= ep.limit {
		t.admission.cause = admission.Full
	}
	if t.admission.cause != admission.Admitted {
		t.inputs.Load, t.inputs.Slots, t.inputs.ExpectedTime = target.Load, max(target.Slots, 1), target.Expected
		t.inputs.Admission = t.admission.cause.String()
		return nil, TargetsFull
	}
	ep.estimate.Running++
	return ep, ""
}

// fullResetShare is the part of the service time within which a reset means that the target was
// full: it resets then before it begins a request.
const fullResetShare = 0.25

// targetBefore returns the state of a target without the request that has just reserved capacity
// there.
func (d *Dispatcher) targetBefore(ep *endpoint, now time.Duration) admission.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	target := d.admissionTarget(ep, now)
	target.Load--
	return target
}

// recordAdmission records the outcome of a send for later admissions.
func (d *Dispatcher) recordAdmission(t *requestState, s *send, outcome sendOutcome) {
	early := s.took < time.Duration(fullResetShare*float64(s.target.ServiceTime))
	reset := early && errors.Is(s.err, syscall.ECONNRESET)
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case reset, outcome.reason == TargetsFull && s.err == nil && t.admission.shared != nil:
		s.ep.limits.RecordFull(now, s.target.Load, s.ep.record.Slots, reset)
		t.admission.cause = admission.Full
	case outcome.reason == TargetsFull:
		t.admission.cause = admission.Full // no connection is left
	case outcome.kind == served:
		t.admission.shared.RecordResponse(t.req.Route.Priority, s.target, s.took, now-t.req.Arrived)
		d.reportShedding(t, now)
	}
}

// reportShedding logs when less urgent requests of a service begin or cease to yield their
// queue room. d.mu must be held.
func (d *Dispatcher) reportShedding(t *requestState, now time.Duration) {
	service, shared := t.req.Service, t.admission.shared
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
	// retryAfterRoom is for targets that refused a request although they have a free slot.
	retryAfterRoom = 40 * time.Millisecond
	// retryAfterStopping only spreads the callers, as the other daemons can serve them at once.
	retryAfterStopping = 20 * time.Millisecond
)

// retryAfter returns the delay after which a refused request is likely to be served, and records
// the refusal.
func (d *Dispatcher) retryAfter(t *requestState, r Reason) time.Duration {
	lacksRoom := r == TargetsFull || r == RetryBudgetExhausted && t.last.Reason == TargetsFull
	hasRoom := lacksRoom && d.recordNotAdmitted(t, r)
	return retryDelay(r, hasRoom, t.pausedUntil)
}

// retryDelay returns the delay after which a request that was refused for a reason is likely to be
// served; hasRoom is set if the target refused it with a free slot. A caller of a target that asked
// for a pause is told the rest of it. Jitter keeps callers from retrying at the same time.
func retryDelay(r Reason, hasRoom bool, pausedUntil time.Duration) time.Duration {
	delay := retryAfterFull
	switch {
	case hasRoom:
		delay = retryAfterRoom
	case r == NoOwner || r == KeyNotHeld || r == NoTarget:
		delay = retryAfterNoOwner
	case r == Stopping:
		delay = retryAfterStopping
	}
	jitter := time.Duration(rand.Float64() * float64(delay) / 2)
	return max(delay, pausedUntil-clock.Now()) + jitter
}

// recordNotAdmitted records that a request of a shared service was refused for lack of room. It
// returns true if the target refused the request although it is known to have a free slot: targets
// in trouble refuse a part of their requests whatever their load.
func (d *Dispatcher) recordNotAdmitted(t *requestState, r Reason) bool {
	if t.admission.shared == nil {
		return false
	}
	priority := t.req.Route.Priority
	if d.config.ObserveNotAdmitted != nil && r == TargetsFull {
		d.config.ObserveNotAdmitted(t.req.Service, priority, t.admission.cause.String())
	}
	if t.sends > 0 && t.last.Reason == TargetsFull && t.admission.target.Load < t.admission.target.Slots {
		return true
	}
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	t.admission.shared.RecordRefusal(now, priority)
	d.reportShedding(t, now)
	return false
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
