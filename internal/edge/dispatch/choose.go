package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

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
)

// choose reserves a place at a target for the request's next send.
func (d *Dispatcher) choose(ctx context.Context, t *try) (*endpoint, *Refusal) {
	if t.sends > 0 && (t.last.Reason == NotHolding || t.last.Reason == Unreachable && d.keyed(t.req.Service)) {
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
	if ep.replaced {
		return nil, NoOwner
	}
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
		if t.targets[r.ID] || ep.replaced || ep.estimate.Running >= ep.limit {
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
