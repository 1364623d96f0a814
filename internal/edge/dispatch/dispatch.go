// Package dispatch sends callers' requests to targets.
//
// A request that is not idempotent is retried only if the target's response or the
// state of the connection proves that it has not run.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/coordination/hedging"
	"github.com/jackdawloom/jackdawloom/internal/coordination/probing"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Dispatch timing and limits.
const (
	// ownerWaitLimit is how long a request waits until its key has an owner. A planned
	// move of keys without running requests takes less time.
	ownerWaitLimit = 200 * time.Millisecond
	// ownerChangeDelay is the delay before a request is sent again to an owner that
	// did not hold the key, if the key gets no other owner in the meantime. A release
	// waits for running requests, which usually takes several times as long as one
	// request, so the third and each later delay is twice the previous delay.
	ownerChangeDelay = 160 * time.Millisecond
	// ownerChangeShare limits the delay for an owner change to a fraction of the
	// remaining time.
	ownerChangeShare = 0.5
	// maxOwnerSends limits the sends of a request to owners that do not hold its key.
	maxOwnerSends = 5
	// staleTableSends is the number of sends after which an owner that does not hold the key
	// may mean that the table is out of date. In a planned move a newer table follows the first.
	staleTableSends = 2
	// minTimeLeft is the shortest remaining time with which a request is still sent.
	minTimeLeft = 15 * time.Millisecond
	// responseGrace is how long after the caller's deadline the daemon still waits for
	// a response, because the target itself stops the request at the deadline.
	responseGrace = 40 * time.Millisecond
	// maxSends limits the sends of one request, even if the route allows more.
	maxSends = 6
	// defaultServiceTime is assumed before any service time is measured.
	defaultServiceTime = 100 * time.Millisecond
	// defaultBodyMemory is the default of Config.Bodies, in bytes.
	defaultBodyMemory = 32 << 20
)

// Config configures a Dispatcher.
type Config struct {
	Names *upstream.HeaderNames
	// Name and Domain are those of the daemon.
	Name, Domain string
	RetryBudget  budget.Bound
	// ColdOverage is the factor by which all daemons together may exceed the rate that a cold
	// target tolerates; values below 1 mean 1.
	ColdOverage float64
	Views       *view.Tracker
	// Bodies is the memory for the bodies of responses; nil means defaultBodyMemory.
	Bodies *bodybuf.Budget
	Log    *slog.Logger
	// ObserveSend is called after each send with its outcome and duration.
	ObserveSend func(service, outcome string, took time.Duration)
	// ObserveKey is called for each request with a key to a keyed service.
	ObserveKey func(service string, key uint16)
	// RefreshTable is called when owners of keys repeatedly do not hold them, with the revision
	// of the service's range table. It must not block; nil does nothing.
	RefreshTable func(service string, revision int64)
	// ObserveNotAdmitted is called for each request of a service that routes of different
	// priority share that is refused because its target has no room; nil does nothing.
	ObserveNotAdmitted func(service string, priority int, cause string)
	// ObserveServiceTime is called with each measured service time.
	ObserveServiceTime func(target peers.TargetHash, took time.Duration)
	// ObserveProbe is called after each probe of a target's load; nil does nothing.
	ObserveProbe func(service, outcome string)
	// HedgeShare is the fraction of idempotent requests to services without keys that may be sent
	// to a second target before the first has responded; 0 disables it.
	HedgeShare float64
	// ObserveHedge is called with the event of each hedge, and with the reason if one is not sent.
	// It may be nil.
	ObserveHedge func(service string, event HedgeEvent, reason hedging.Reason)
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	config  Config
	started time.Duration
	window  probing.Window

	mu        sync.Mutex
	endpoints map[target.Incarnation]*endpoint
	services  map[string]*serviceState
	fleet     fleetNames

	stop atomic.Pointer[stopTimes]
}

// serviceState is the state that is kept for each service.
type serviceState struct {
	budget         *budget.Budget
	avgServiceTime time.Duration
	// slotFreed is closed when a send to the service ends. It is nil if no request has
	// started to wait for a slot since the last send ended.
	slotFreed chan struct{}
	probes    probing.Service
	// probed is whether the targets were probed when that was last decided.
	probed    bool
	hedges    *hedgeState // nil until a request can be hedged
	admission serviceAdmission
}

// SetRetryBudget changes the limit of retries. A change resets the retry budgets of all services.
func (d *Dispatcher) SetRetryBudget(b budget.Bound) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b == d.config.RetryBudget {
		return
	}
	d.config.RetryBudget = b
	for _, s := range d.services {
		s.budget = budget.New(b, d.started)
	}
}

// New returns a Dispatcher that has no connections yet.
func New(c Config) *Dispatcher {
	if c.Bodies == nil {
		c.Bodies = bodybuf.NewBudget(defaultBodyMemory)
	}
	return &Dispatcher{
		config: c, started: clock.Now(), window: probing.NewWindow(), endpoints: make(map[target.Incarnation]*endpoint), services: make(map[string]*serviceState),
	}
}

// requestState is the state of one request across its sends.
type requestState struct {
	req            *Request
	sends          int
	triedTargets   map[string]bool // targets that the request was sent to
	mayHaveRun     bool
	failedResponse *upstream.Response // the last failure response of a target
	last           Refusal
	// lastUncertain describes the last send after which the request may have run.
	lastUncertain Refusal
	inputs        SelectionInputs
	fence         uint64 // fence of the key's owner at the last choice
	window        probing.Window
	// pausedUntil is when the first target that asked for a pause can be used again, of
	// those that the last choice left out; 0 if there was none.
	pausedUntil time.Duration
	cold        coldChoice
	admission   admissionState
}

// Do sends the request until a target's response can be returned or no further send
// is allowed. It returns either a response or a refusal.
func (d *Dispatcher) Do(ctx context.Context, req *Request) (*upstream.Response, *Refusal) {
	d.countRequest(req.Service)
	if req.HasKey && d.isKeyed(req.Service) {
		d.config.ObserveKey(req.Service, req.Key)
	}
	t := &requestState{req: req, triedTargets: make(map[string]bool), window: d.window.ForRequest()}
	d.recordArrival(t)
	for {
		ep, refusal := d.choose(ctx, t)
		if refusal != nil {
			return d.finish(t, refusal)
		}
		if t.sends > 0 && !d.takeRetryBudget(req.Service) {
			d.releaseReservation(ep)
			return d.finish(t, &Refusal{Reason: RetryBudgetExhausted, Target: ep.id})
		}
		resp, retry := d.sendHedged(ctx, t, ep)
		if resp != nil {
			t.failedResponse.Release()
			return resp, nil
		}
		if !retry {
			return d.finish(t, nil)
		}
	}
}

// finish returns the final result of a request without a successful send: the last
// failure response of a target, or a refusal. If a send may have run the request, the
// refusal gives the reason of that send.
func (d *Dispatcher) finish(t *requestState, r *Refusal) (*upstream.Response, *Refusal) {
	if t.failedResponse != nil {
		d.logFailurePassedOn(t, r)
		return t.failedResponse, nil
	}
	switch {
	case t.mayHaveRun:
		r = &t.lastUncertain
	case r == nil:
		r = &t.last
	}
	d.suspendHedges(t, r.Reason)
	r.MayHaveRun = t.mayHaveRun
	r.Sends = t.sends
	r.Inputs = t.inputs
	if !r.MayHaveRun && r.RetryAfter == 0 {
		r.RetryAfter = d.retryAfter(t, r.Reason)
	}
	return nil, r
}

// logFailurePassedOn logs that the caller receives a target's failure response, and
// why the request was not sent again; r is nil if no further send was allowed.
func (d *Dispatcher) logFailurePassedOn(t *requestState, r *Refusal) {
	cause := "no further send allowed"
	if r != nil {
		cause = string(r.Reason)
	}
	d.config.Log.Info("target's failure passed on", "request", t.req.ID, "service", t.req.Service, "target", t.lastUncertain.Target,
		"status", t.failedResponse.Status, "sends", t.sends, "may_have_run", true, "not_sent_again", cause)
}

func (d *Dispatcher) isKeyed(name string) bool {
	c := d.config.Views.Current().Config
	return c != nil && c.Services[name].Keyed
}

// shedsLoad reports whether the service's targets refuse requests beyond their slots.
func (d *Dispatcher) shedsLoad(name string) bool {
	c := d.config.Views.Current().Config
	return c != nil && c.Services[name].ShedsLoad
}

func (d *Dispatcher) countRequest(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.serviceState(name)
	s.budget.RecordRequest(clock.Now())
	s.probes.RecordRequest()
}

func (d *Dispatcher) takeRetryBudget(name string) bool {
	daemons := len(d.config.Views.Current().Daemons)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serviceState(name).budget.Take(clock.Now(), daemons)
}

// serviceState returns the state of a service, and creates it if necessary. d.mu must
// be held.
func (d *Dispatcher) serviceState(name string) *serviceState {
	s := d.services[name]
	if s == nil {
		s = &serviceState{budget: budget.New(d.config.RetryBudget, d.started), avgServiceTime: defaultServiceTime}
		d.services[name] = s
	}
	return s
}
