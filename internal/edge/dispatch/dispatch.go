// Package dispatch sends callers' requests to targets.
//
// A request that must not run twice is sent again only if the target said, or
// the connection proves, that it has not run.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Times and limits of dispatching.
const (
	// ownerWait is how long a request waits for its key's owner to be named.
	// A planned move of keys without running requests takes less.
	ownerWait = 200 * time.Millisecond
	// moveDelay is the pause before a request is sent again to an owner that did
	// not hold the key, if the key gets no other owner meanwhile. Releases wait for
	// running requests, which usually takes several times as long as one request, so
	// the pause doubles from the third on.
	moveDelay = 160 * time.Millisecond
	// moveShare is the part of the time left that such a pause takes at most.
	moveShare = 0.5
	// ownerSends bounds the sends of a request to owners that do not hold its key.
	ownerSends = 5
	// leastLeft is the time that a request must have left to be sent.
	leastLeft = 15 * time.Millisecond
	// answerSlack is how much longer than the caller's time an answer is waited
	// for, since the target stops by itself at that time.
	answerSlack = 40 * time.Millisecond
	// maxSends bounds the sends of one request, whatever the route allows.
	maxSends = 6
	// usualService is the service time that is assumed before any is measured.
	usualService = 100 * time.Millisecond
)

// Request is a caller's request.
type Request struct {
	ID, Method, URI, Host string
	Header                http.Header
	Body                  []byte
	Route                 *route.Route
	Service               string
	Key                   uint16
	HasKey                bool
	// Arrived and Deadline bound the time that the caller is kept waiting.
	Arrived, Deadline time.Duration
}

// Reason says why a request got no answer of a target.
type Reason string

// Reasons.
const (
	NoTarget             Reason = "no target registered"
	NoOwner              Reason = "key has no owner"
	NoKey                Reason = "key missing"
	TargetsFull          Reason = "targets full"
	DeadlineExceeded     Reason = "time is up"
	TargetUnreachable    Reason = "target not reached"
	TargetReplaced       Reason = "address has another target"
	RetryBudgetExhausted Reason = "retry budget used up"
	KeyNotHeld           Reason = "owner does not hold the key"
	ConnectionLost       Reason = "connection ended without an answer"
	InvalidResponse      Reason = "answer not usable"
	CallerDisconnected   Reason = "caller left"
	NoConfig             Reason = "no configuration known"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		NoTarget, NoOwner, NoKey, TargetsFull, DeadlineExceeded, TargetUnreachable, TargetReplaced, RetryBudgetExhausted, KeyNotHeld, ConnectionLost, InvalidResponse,
		CallerDisconnected, NoConfig,
	}
}

// SelectionInputs are what the last choice of a target went by.
type SelectionInputs struct {
	ConfigVersion uint64
	// TableRev is the store's revision of the range table; 0 without keys.
	TableRev int64
	// CopyAge is the age of the copy of the store.
	CopyAge time.Duration
	// ReadyTargets is the number of targets that a request without a key could go to.
	ReadyTargets int
	// Load and Slots are those of the target that was too busy, and Expected is
	// how long the request would have taken there.
	Load, Slots  int
	ExpectedTime time.Duration
}

// Refusal is the end of a request without an answer of a target.
type Refusal struct {
	Reason Reason
	Inputs SelectionInputs
	// MayHaveRun is false if the request certainly did not run and never will.
	MayHaveRun bool
	RetryAfter time.Duration
	Sends      int
	Target     string
	Cause      error
}

// Config holds what a Dispatcher needs.
type Config struct {
	Names       *upstream.HeaderNames
	Domain      string
	RetryBudget budget.Bound
	Views       *view.Tracker
	Log         *slog.Logger
	// ObserveSend is told of each send with its outcome.
	ObserveSend func(service, outcome string, took time.Duration)
	// ObserveKey is told of each request to a keyed service.
	ObserveKey func(service string, key uint16)
	// ObserveServiceTime is told of each measured service time.
	ObserveServiceTime func(target peers.TargetHash, took time.Duration)
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	config  Config
	started time.Duration

	mu       sync.Mutex
	targets  map[target.Incarnation]*endpoint
	services map[string]*service
}

// service is what is learned about the requests of a service.
type service struct {
	budget *budget.Budget
	usual  time.Duration
	// freed is closed when a request of the service ends, if somebody waits.
	freed chan struct{}
}

// SetRetryBudget changes the bound of repeats.
func (d *Dispatcher) SetRetryBudget(b budget.Bound) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b == d.config.RetryBudget {
		return
	}
	d.config.RetryBudget = b
	clear(d.services)
}

// New returns a Dispatcher.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		config: c, started: clock.Now(), targets: make(map[target.Incarnation]*endpoint), services: make(map[string]*service),
	}
}

// try is the state of one request over its sends.
type try struct {
	req        *Request
	sends      int
	targets    map[string]bool // targets that the request was sent to
	mayHaveRun bool
	failure    *upstream.Response // the last failure that a target answered
	last       Refusal
	// uncertain is the last send after which the request may have run.
	uncertain Refusal
	inputs    SelectionInputs
	fence     uint64 // that of the key's owner at the last choice
}

// Do returns the answer of a target, or why there is none.
func (d *Dispatcher) Do(ctx context.Context, req *Request) (*upstream.Response, *Refusal) {
	d.countRequest(req.Service)
	if req.HasKey && d.keyed(req.Service) {
		d.config.ObserveKey(req.Service, req.Key)
	}
	t := &try{req: req, targets: make(map[string]bool)}
	for {
		ep, refusal := d.choose(ctx, t)
		if refusal != nil {
			return d.end(t, refusal)
		}
		if t.sends > 0 && !d.takeBudget(req.Service) {
			d.unreserve(ep)
			return d.end(t, &Refusal{Reason: RetryBudgetExhausted, Target: ep.id})
		}
		answer, again := d.sendOnce(ctx, t, ep)
		if answer != nil {
			return answer, nil
		}
		if !again {
			return d.end(t, nil)
		}
	}
}

// end returns the final result of a request that no target answered well.
func (d *Dispatcher) end(t *try, r *Refusal) (*upstream.Response, *Refusal) {
	if t.failure != nil {
		d.passOn(t, r)
		return t.failure, nil
	}
	switch {
	case t.mayHaveRun:
		r = &t.uncertain
	case r == nil:
		r = &t.last
	}
	r.MayHaveRun = t.mayHaveRun
	r.Sends = t.sends
	r.Inputs = t.inputs
	if !r.MayHaveRun && r.RetryAfter == 0 {
		r.RetryAfter = d.comeBack(r.Reason)
	}
	return nil, r
}

// passOn tells that the caller gets a target's own failure, and why the request was
// not sent again; r is nil if it was not to be.
func (d *Dispatcher) passOn(t *try, r *Refusal) {
	why := "no further send allowed"
	if r != nil {
		why = string(r.Reason)
	}
	d.config.Log.Info("target's failure passed on", "request", t.req.ID, "service", t.req.Service, "target", t.uncertain.Target,
		"status", t.failure.Status, "sends", t.sends, "may_have_run", true, "not_sent_again", why)
}

// Pauses that refused callers are asked for.
const (
	comeBackMoved = 250 * time.Millisecond
	comeBackFull  = 150 * time.Millisecond
)

// comeBack returns when a refused request is likely to be served. The spread
// keeps callers from coming back at once.
func (d *Dispatcher) comeBack(r Reason) time.Duration {
	pause := comeBackFull
	if r == NoOwner || r == KeyNotHeld || r == NoTarget {
		pause = comeBackMoved
	}
	return pause + time.Duration(rand.Float64()*float64(pause)/2)
}

// sendOnce sends the request to a target. It returns a final answer, or whether
// the request may be sent again.
func (d *Dispatcher) sendOnce(ctx context.Context, t *try, ep *endpoint) (*upstream.Response, bool) {
	req := t.req
	now := clock.Now()
	left := req.Deadline - now
	sendCtx := ctx
	if !req.Route.Idempotent {
		// The target may have begun; its answer decides, not the caller's leaving.
		sendCtx = context.WithoutCancel(ctx)
	}
	limit := left + answerSlack
	attempt := req.Route.Idempotent && req.Route.AttemptTimeout > 0 && req.Route.AttemptTimeout < limit
	if attempt {
		limit = req.Route.AttemptTimeout
	}
	sendCtx, cancel := context.WithTimeout(sendCtx, limit)
	defer cancel()
	t.sends++
	t.targets[ep.id] = true
	load := d.loadOf(ep)
	answer, err := ep.pool.Send(sendCtx, &upstream.Request{
		Names: d.config.Names, ID: req.ID, Method: req.Method, URI: req.URI, Host: req.Host,
		Header: req.Header, Body: req.Body, Target: ep.id, TimeLeft: left,
	})
	took := clock.Now() - now
	verdict := d.judge(ep, answer, err)
	if attempt && verdict.reason == ConnectionLost && sendCtx.Err() != nil && ctx.Err() == nil {
		ep.pool.CloseIdle()
	}
	if ctx.Err() != nil && verdict.reason == ConnectionLost {
		verdict = judgement{kind: unknown, reason: CallerDisconnected}
	}
	d.learn(ep, verdict, took, load)
	d.config.ObserveSend(req.Service, verdict.String(), took)
	return d.conclude(t, ep, answer, verdict, took, err)
}

// conclude decides what follows from a send.
func (d *Dispatcher) conclude(t *try, ep *endpoint, answer *upstream.Response, v judgement, took time.Duration, err error) (*upstream.Response, bool) {
	req := t.req
	if v.kind == served {
		return answer, false
	}
	t.last = Refusal{Reason: v.reason, Target: ep.id, Cause: err}
	again := v.kind == notRun || req.Route.Idempotent
	if v.kind != notRun {
		t.mayHaveRun, t.uncertain = true, t.last
	}
	if v.kind == failed {
		t.failure = answer
	}
	if v.reason == CallerDisconnected || t.sends >= maxSends || !d.moreTargets(t, v) {
		again = false
	}
	d.config.Log.Info("send without success", "request", req.ID, "service", req.Service, "target", ep.id,
		"send", t.sends, "reason", string(v.reason), "may_have_run", v.kind != notRun, "took_ms", took.Milliseconds(),
		"left_ms", (req.Deadline - clock.Now()).Milliseconds(), "status", status(answer), "again", again, "error", err)
	return nil, again
}

func status(a *upstream.Response) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// moreTargets reports whether the route allows another send.
func (d *Dispatcher) moreTargets(t *try, v judgement) bool {
	if !d.keyed(t.req.Service) {
		return len(t.targets) < t.req.Route.MaxAttempts
	}
	if v.reason == KeyNotHeld && t.sends >= ownerSends {
		return false
	}
	if v.reason == TargetsFull {
		// There is one owner. While it is full, callers come back later, unless the
		// request can be held here.
		return d.sheds(t.req.Service)
	}
	return (len(t.targets) < t.req.Route.MaxAttempts || v.kind == notRun)
}

func (d *Dispatcher) keyed(name string) bool {
	c := d.config.Views.Current().Config
	return c != nil && c.Services[name].Keyed
}

// sheds reports whether the service's targets refuse requests beyond their slots.
func (d *Dispatcher) sheds(name string) bool {
	c := d.config.Views.Current().Config
	return c != nil && c.Services[name].Sheds
}

func (d *Dispatcher) countRequest(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(name).budget.RecordRequest(clock.Now())
}

func (d *Dispatcher) takeBudget(name string) bool {
	daemons := len(d.config.Views.Current().Daemons)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service(name).budget.Take(clock.Now(), daemons)
}

// service returns what is known of a service. The caller holds the mutex.
func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{budget: budget.New(d.config.RetryBudget, d.started), usual: usualService}
		d.services[name] = s
	}
	return s
}
