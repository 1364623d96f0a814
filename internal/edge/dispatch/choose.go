package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// endpoint is a target with the connections to it. Its estimate is guarded by
// the dispatcher's mutex.
type endpoint struct {
	record   target.Record
	pool     *upstream.Pool
	estimate balance.Estimate
	limit    int
	hash     peers.TargetHash
}

// Limits of admission.
const (
	// timeShare is the part of the time left within which a request of the
	// highest priority must be expected to end; it falls by priorityStep for each
	// further priority, so that urgent requests find room under overload.
	timeShare    = 0.9
	priorityStep = 0.15
	// leastShare bounds the part from below.
	leastShare = 0.4
	// queueFactor bounds the requests at a target, in multiples of its slots.
	queueFactor = 3
	// leastConnections is the number of connections to a target that a daemon may
	// always open.
	leastConnections = 2
	// connectionShare leaves room for daemons that join.
	connectionShare = 0.9
)

// choose reserves a place at a target for the request's next send.
func (d *Dispatcher) choose(ctx context.Context, t *try) (*endpoint, *Refusal) {
	if t.sends > 0 && t.last.Reason == NotHolding {
		d.waitChange(ctx, moveDelay)
	}
	for {
		if ctx.Err() != nil {
			return nil, &Refusal{Reason: CallerLeft}
		}
		v := d.config.Views.Current()
		if t.req.Deadline-clock.Now() < leastLeft {
			return nil, &Refusal{Reason: OutOfTime}
		}
		var ep *endpoint
		var reason Reason
		if d.keyed(t.req.Service) {
			ep, reason = d.chooseOwner(v, t)
		} else {
			ep, reason = d.chooseAny(v, t)
		}
		if reason == "" {
			return ep, nil
		}
		waited := clock.Now() - t.req.Arrived
		if reason != NoOwner || waited >= ownerWait {
			return nil, &Refusal{Reason: reason}
		}
		d.waitChange(ctx, ownerWait-waited)
	}
}

func (d *Dispatcher) waitChange(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-d.config.Views.Changed():
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *Dispatcher) chooseOwner(v *view.View, t *try) (*endpoint, Reason) {
	if !t.req.HasKey {
		return nil, NoKey
	}
	table := v.Tables[t.req.Service]
	if table == nil {
		return nil, NoOwner
	}
	span := table.Lookup(t.req.Key)
	record, known := v.Targets.Get(span.Owner)
	if !span.Owned() || !known || record.Life() != span.Life() || record.State == target.Draining {
		return nil, NoOwner
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ep := d.endpoint(v, record)
	return d.admit(t, ep)
}

func (d *Dispatcher) chooseAny(v *view.View, t *try) (*endpoint, Reason) {
	records := v.Targets.Service(t.req.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	eps := make([]*endpoint, 0, len(records))
	estimates := make([]*balance.Estimate, 0, len(records))
	ready := 0
	for _, r := range records {
		if r.State != target.Ready {
			continue
		}
		ready++
		ep := d.endpoint(v, r)
		if t.targets[r.ID] || ep.estimate.Running >= ep.limit {
			continue
		}
		eps = append(eps, ep)
		estimates = append(estimates, &ep.estimate)
	}
	if ready == 0 {
		return nil, NoTarget
	}
	sample(eps, estimates)
	i := balance.Pick(estimates, clock.Now(), d.service(t.req.Service).usual)
	if i < 0 {
		return nil, Full
	}
	return d.admit(t, eps[i])
}

// sampleSize is the number of targets in the own failure domain, and of those in
// others, among which one is picked. Daemons know each other's requests with a
// delay, and would all pick the same target if each looked at all.
const sampleSize = 3

// sample leaves a random choice of the targets in the running; the estimates of
// the others become nil.
func sample(eps []*endpoint, estimates []*balance.Estimate) {
	rand.Shuffle(len(eps), func(i, j int) {
		eps[i], eps[j] = eps[j], eps[i]
		estimates[i], estimates[j] = estimates[j], estimates[i]
	})
	local, far := 0, 0
	for i, e := range estimates {
		seen := &far
		if e.Local {
			seen = &local
		}
		if *seen++; *seen > sampleSize {
			estimates[i] = nil
		}
	}
}

// admit reserves a place at the target if the request is likely to end in time.
// The caller holds the mutex.
func (d *Dispatcher) admit(t *try, ep *endpoint) (*endpoint, Reason) {
	now := clock.Now()
	left := t.req.Deadline - now
	share := max(timeShare-priorityStep*float64(t.req.Route.Priority), leastShare)
	expected := ep.estimate.Completion(now, d.service(ep.record.Service).usual)
	queued := ep.estimate.Load() >= max(ep.record.Slots, 1)
	if ep.estimate.Running >= ep.limit || ep.estimate.Load() >= queueFactor*max(ep.record.Slots, 1) {
		return nil, Full
	}
	if queued && expected > time.Duration(share*float64(left)) {
		return nil, Full
	}
	ep.estimate.Running++
	return ep, ""
}

func (d *Dispatcher) unreserve(ep *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ep.estimate.Running--
}

func (d *Dispatcher) loadOf(ep *endpoint) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ep.estimate.Load() - 1
}

// endpoint returns the connections to a target. The caller holds the mutex.
func (d *Dispatcher) endpoint(v *view.View, r target.Record) *endpoint {
	ep := d.targets[r.Life()]
	limit := connectionLimit(v, r.Service)
	if ep != nil && ep.pool.Address() == r.Address {
		ep.record = r
		if ep.limit != limit {
			ep.limit = limit
			ep.pool.SetLimit(limit)
		}
		return ep
	}
	ep = &endpoint{record: r, limit: limit, hash: peers.HashTarget(r.ID), pool: upstream.NewPool(r.Address, limit)}
	ep.estimate.Slots = r.Slots
	ep.estimate.Local = r.Domain == d.config.Domain
	ep.estimate.ColdUntil = clock.Now() + r.ColdFor
	d.targets[r.Life()] = ep
	return ep
}

// connectionLimit is a daemon's part of the connections that a target accepts.
func connectionLimit(v *view.View, service string) int {
	share := connectionShare / float64(max(len(v.Daemons), 1))
	return max(int(share*float64(v.Config.Services[service].MaxConnections)), leastConnections)
}

// Sweep closes the connections to targets that are gone.
func (d *Dispatcher) Sweep() {
	v := d.config.Views.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	for life, ep := range d.targets {
		if r, known := v.Targets.Get(life.ID); known && r.Life() == life {
			continue
		}
		if ep.estimate.Running > 0 {
			continue
		}
		ep.pool.Close()
		delete(d.targets, life)
	}
}

// Running returns this daemon's requests at each target.
func (d *Dispatcher) Running() peers.Loads {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(peers.Loads)
	for _, ep := range d.targets {
		if ep.estimate.Running > 0 {
			out[ep.hash] = ep.estimate.Running
		}
	}
	return out
}

// SetFleet records the requests of all daemons at each target, this daemon's
// included as it last told them.
func (d *Dispatcher) SetFleet(loads peers.Loads) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ep := range d.targets {
		ep.estimate.Elsewhere = max(loads[ep.hash]-ep.estimate.Running, 0)
	}
}

// SetTimes records the service times that all daemons measured.
func (d *Dispatcher) SetTimes(times peers.Times) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ep := range d.targets {
		if millis := times[ep.hash]; millis > 0 {
			ep.estimate.Measured(time.Duration(millis) * time.Millisecond)
		}
	}
}

// Gauges returns the present values of each service.
func (d *Dispatcher) Gauges() map[string]metrics.ServiceGauges {
	daemons := len(d.config.Views.Current().Daemons)
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]metrics.ServiceGauges)
	for name, s := range d.services {
		out[name] = metrics.ServiceGauges{BudgetLeft: s.budget.Left(now, daemons)}
	}
	for _, ep := range d.targets {
		g := out[ep.record.Service]
		open, _ := ep.pool.Counts()
		g.Running += ep.estimate.Running
		g.Elsewhere += ep.estimate.Elsewhere
		g.Slots += ep.record.Slots
		g.Connections += open
		if ep.estimate.Suspect(now) {
			g.Suspect++
		}
		out[ep.record.Service] = g
	}
	return out
}

// Speeds returns the measured service time of each target.
func (d *Dispatcher) Speeds() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]time.Duration)
	for life, ep := range d.targets {
		if s := ep.estimate.Service(0); s > 0 {
			out[life.ID] = s
		}
	}
	return out
}
