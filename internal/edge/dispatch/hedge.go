package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/hedging"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// HedgeEvent is what happened to a hedge: the second send of a request whose first one had no
// response yet.
type HedgeEvent string

// Values of HedgeEvent.
const (
	HedgeSent       HedgeEvent = "sent"
	HedgeWon        HedgeEvent = "won"        // its response was returned
	HedgeLost       HedgeEvent = "lost"       // the first send's response was returned
	HedgeFailed     HedgeEvent = "failed"     // no response was returned
	HedgeSuppressed HedgeEvent = "suppressed" // not sent
)

// maxHedgedRoutes bounds the routes of a service whose response times are kept.
const maxHedgedRoutes = 64

// hedgeState is the state of hedging for one service. It is guarded by Dispatcher.mu.
type hedgeState struct {
	policy    *hedging.Policy
	latencies map[string]*hedging.Latency // by route
	suspended hedging.Reason              // as last logged
}

// latency returns the response times of a route, and creates them if necessary.
func (h *hedgeState) latency(route string, now time.Duration) *hedging.Latency {
	l := h.latencies[route]
	if l == nil {
		if len(h.latencies) >= maxHedgedRoutes {
			for other := range h.latencies { // any; most are routes of earlier configurations
				delete(h.latencies, other)
				break
			}
		}
		l = hedging.NewLatency(now)
		h.latencies[route] = l
	}
	return l
}

// recordRefusal records that the service refused a request. It may be called on nil.
func (h *hedgeState) recordRefusal(now time.Duration) {
	if h != nil {
		h.policy.RecordRefusal(now)
	}
}

// hedgeState returns the state of hedging for a service, and creates it if necessary. d.mu must be
// held.
func (d *Dispatcher) hedgeState(service string) *hedgeState {
	s := d.serviceState(service)
	if s.hedges == nil {
		s.hedges = &hedgeState{policy: hedging.NewPolicy(d.config.HedgeShare), latencies: make(map[string]*hedging.Latency)}
	}
	return s.hedges
}

// hedge is the second send of a request. It is started by a timer while the request's goroutine
// waits for the first send, and uses the request's state only until it has been started.
type hedge struct {
	mu    sync.Mutex
	ended bool // no second send may start any more
	// second is nil if no second send was started. done is closed at its end.
	second *send
	done   chan struct{}
}

// end prevents a later start, and reports whether a second send was started.
func (h *hedge) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	return h.second != nil
}

// supersede cancels the send because another one has been answered.
func (s *send) supersede() {
	s.superseded.Store(true)
	s.cancel()
}

// sendHedged sends the request to a target and, if the first response takes unusually long, to a
// second target. The first usable response is returned and the other send cancelled. Neither goes
// on after the return.
func (d *Dispatcher) sendHedged(ctx context.Context, t *requestState, ep *endpoint) (*upstream.Response, bool) {
	delay, ok := d.hedgeDelay(t)
	if !ok {
		return d.sendOnce(ctx, t, ep)
	}
	first := d.startSend(ctx, t, ep)
	defer first.cancel()
	h := &hedge{done: make(chan struct{})}
	timer := time.AfterFunc(delay, func() { d.runHedge(ctx, t, h, first) })
	d.runSend(t.req, first)
	timer.Stop()
	isHedged := h.end()
	d.recordResponseTime(t.req, first)
	if !isHedged {
		return d.finishSend(ctx, t, first)
	}
	return d.finishHedged(ctx, t, h, first)
}

// mayHedge reports whether the settings and the route allow a second send beside the first. The
// owner of a key is the only target that may run its requests, so there is no second target for
// them.
func (d *Dispatcher) mayHedge(t *requestState) bool {
	r := t.req.Route
	return d.config.HedgeShare > 0 && r.Idempotent && r.MaxAttempts > 1 && t.sends == 0 && !d.isKeyed(t.req.Service)
}

// hedgeDelay returns how long the request waits for the first response before it is hedged, and
// false if it is not hedged.
func (d *Dispatcher) hedgeDelay(t *requestState) (time.Duration, bool) {
	req := t.req
	if !d.mayHedge(t) {
		return 0, false
	}
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hedgeState(req.Service)
	h.policy.RecordRequest()
	delay, ok := h.latency(req.Route.Name, now).Delay(now, h.policy.Share(), req.Route.Objective, now-req.Arrived)
	return delay, ok && delay < req.Deadline-now-minTimeLeft
}

// runHedge sends the request to a second target, unless the first send has ended or no second one
// is allowed.
func (d *Dispatcher) runHedge(ctx context.Context, t *requestState, h *hedge, first *send) {
	if !d.startHedge(ctx, t, h) {
		return
	}
	defer close(h.done)
	defer h.second.cancel()
	d.runSend(t.req, h.second)
	if d.isServed(h.second) {
		first.supersede()
	}
}

func (d *Dispatcher) startHedge(ctx context.Context, t *requestState, h *hedge) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || ctx.Err() != nil {
		return false
	}
	ep, reason := d.chooseHedge(t)
	if reason != hedging.Allowed {
		d.observeHedge(t.req.Service, HedgeSuppressed, reason)
		return false
	}
	d.observeHedge(t.req.Service, HedgeSent, hedging.Allowed)
	h.second = d.startSend(ctx, t, ep)
	return true
}

// chooseHedge selects the target of a hedge and reserves capacity there, or returns why no hedge
// is sent.
func (d *Dispatcher) chooseHedge(t *requestState) (*endpoint, hedging.Reason) {
	if d.stop.Load() != nil {
		return nil, hedging.Stopping
	}
	v := d.config.Views.Current()
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.hedgeState(t.req.Service)
	running, slots := d.serviceLoad(t.req.Service)
	reason := state.policy.Check(now, running, slots)
	d.logSuspension(t.req.Service, state, running, slots)
	if reason != hedging.Allowed {
		return nil, reason
	}
	s := d.serviceState(t.req.Service)
	pausedUntil := t.pausedUntil
	eps, _ := d.candidates(v, t, target.Ready)
	t.pausedUntil = pausedUntil
	// The fastest target counts here, also without an idle connection: the work of a request that
	// is slow by itself is repeated.
	ep := pickFromSample(hedgeTargets(eps, now, t.req.Deadline-minTimeLeft, s.avgServiceTime), now, s.avgServiceTime)
	if ep == nil {
		return nil, hedging.NoTarget
	}
	if !s.budget.TakeUnreserved(now, len(v.Daemons), hedging.BudgetReserve) {
		return nil, hedging.NoBudget
	}
	state.policy.Take()
	ep.estimate.Running++
	return ep, hedging.Allowed
}

// hedgeTargets returns the targets that have a free slot and have neither started nor failed
// recently, and that are expected to respond by the end.
func hedgeTargets(eps []*endpoint, now, end, avgServiceTime time.Duration) []*endpoint {
	var out []*endpoint
	for _, ep := range eps {
		e := &ep.estimate
		if e.Load() < e.Slots && now >= e.ColdUntil && !e.Suspect(now) && now+e.ExpectedLatency(now, avgServiceTime) <= end {
			out = append(out, ep)
		}
	}
	return out
}

// serviceLoad returns the running requests at the targets of a service, and the targets' slots.
// d.mu must be held.
func (d *Dispatcher) serviceLoad(service string) (running, slots int) {
	for _, r := range d.config.Views.Current().Targets.Service(service) {
		if ep := d.endpoints[r.Incarnation()]; ep != nil && r.State == target.Ready {
			running += ep.estimate.Load()
			slots += ep.estimate.Slots
		}
	}
	return running, slots
}

// finishHedged records the results of both sends of a hedged request.
func (d *Dispatcher) finishHedged(ctx context.Context, t *requestState, h *hedge, first *send) (*upstream.Response, bool) {
	second := h.second
	switch {
	case d.isServed(first):
		second.supersede()
		<-h.done
		d.observeHedge(t.req.Service, HedgeLost, hedging.Allowed)
		d.discardSend(t, second)
		return d.finishSend(ctx, t, first)
	case first.cancelled:
		<-h.done
		d.observeHedge(t.req.Service, HedgeWon, hedging.Allowed)
		d.discardSend(t, first)
		return d.finishSend(ctx, t, second)
	}
	_, _ = d.finishSend(ctx, t, first) // no response: it was not served
	<-h.done
	if d.isServed(second) {
		d.observeHedge(t.req.Service, HedgeWon, hedging.Allowed)
	} else {
		d.observeHedge(t.req.Service, HedgeFailed, hedging.Allowed)
	}
	return d.finishSend(ctx, t, second)
}

func (d *Dispatcher) isServed(s *send) bool { return d.classify(s.ep, s.resp, s.err).kind == served }

// discardSend records a send whose result is not needed. If it was cancelled, it counts neither as
// a failure of its target nor as its response time.
func (d *Dispatcher) discardSend(t *requestState, s *send) {
	outcome := d.classify(s.ep, s.resp, s.err)
	if s.cancelled {
		outcome = sendOutcome{kind: superseded}
	}
	report, reported := d.responseReport(s.resp, outcome)
	d.recordOutcome(s.ep, outcome, s.took, s.target.Load, report.Slowdown)
	d.recordResponseReport(s.ep, report, reported, outcome)
	d.recordSignals(t, s.ep, s.resp, outcome)
	d.config.ObserveSend(t.req.Service, outcome.String(), s.took)
	s.resp.Release()
}

// recordResponseTime records the response time of a first send, or the time after which it was
// cancelled because of its hedge.
func (d *Dispatcher) recordResponseTime(req *Request, s *send) {
	if !s.cancelled && !d.isServed(s) {
		return
	}
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hedgeState(req.Service).latency(req.Route.Name, now).Record(now, s.took)
}

// suspendHedges suspends hedges for a while if callers of the service are refused for lack of room.
func (d *Dispatcher) suspendHedges(t *requestState, r Reason) {
	if d.config.HedgeShare <= 0 || r != TargetsFull && r != TargetPaused {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serviceState(t.req.Service).hedges.recordRefusal(clock.Now())
}

// logSuspension logs that hedges are suspended, or no longer. d.mu must be held.
func (d *Dispatcher) logSuspension(service string, h *hedgeState, running, slots int) {
	reason := h.policy.Suspended()
	if reason == h.suspended {
		return
	}
	h.suspended = reason
	if reason == hedging.Allowed {
		d.config.Log.Info("hedging resumed", "service", service, "load", running, "slots", slots)
		return
	}
	d.config.Log.Info("hedging suspended", "service", service, "reason", string(reason), "load", running, "slots", slots)
}

func (d *Dispatcher) observeHedge(service string, event HedgeEvent, reason hedging.Reason) {
	if d.config.ObserveHedge != nil {
		d.config.ObserveHedge(service, event, reason)
	}
}
