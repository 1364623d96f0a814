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
	// objectiveShare is the part of the route's objective within which a request
	// that has to queue must be expected to end.
	objectiveShare = 0.8
	// queueFactor bounds the requests at a target, in multiples of its slots.
	queueFactor = 3
)

// choose reserves a place at a target for the request's next send.
func (d *Dispatcher) choose(ctx context.Context, t *try) (*endpoint, *Refusal) {
	if t.sends > 0 && (t.last.Reason == KeyNotHeld || t.last.Reason == TargetUnreachable && d.keyed(t.req.Service)) {
		d.waitMove(ctx, t)
	}
	if t.sends > 0 && t.last.Reason == TargetsFull && d.sheds(t.req.Service) && !d.hold(ctx, t) {
		return nil, &Refusal{Reason: TargetsFull}
	}
	for {
		if ctx.Err() != nil {
			return nil, &Refusal{Reason: CallerDisconnected}
		}
		changed := d.config.Views.Changed()
		v := d.config.Views.Current()
		t.inputs = SelectionInputs{ConfigVersion: v.Config.Version, CopyAge: d.config.Views.Age()}
		if t.req.Deadline-clock.Now() < leastLeft {
			return nil, &Refusal{Reason: DeadlineExceeded}
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
		if reason == TargetsFull && d.hold(ctx, t) {
			continue
		}
		waited := clock.Now() - t.req.Arrived
		if reason != NoOwner || waited >= ownerWait {
			return nil, &Refusal{Reason: reason}
		}
		wait(ctx, changed, ownerWait-waited)
	}
}

// holdTick bounds the wait for a slot that another daemon's request leaves.
const holdTick = 10 * time.Millisecond

// hold waits for a slot at targets that do not queue. It reports whether to look
// again; otherwise the request would not end in time.
func (d *Dispatcher) hold(ctx context.Context, t *try) bool {
	d.mu.Lock()
	s := d.service(t.req.Service)
	if s.freed == nil {
		s.freed = make(chan struct{})
	}
	freed, usual := s.freed, s.usual
	d.mu.Unlock()
	now := clock.Now()
	if !d.sheds(t.req.Service) || now+usual > t.req.Arrived+holdTime(t.req) || ctx.Err() != nil {
		return false
	}
	wait(ctx, freed, holdTick)
	return true
}

// holdTime is how long a request may wait for a slot from its arrival.
func holdTime(r *Request) time.Duration {
	share := max(timeShare-priorityStep*float64(r.Route.Priority), leastShare)
	return time.Duration(share * float64(r.Deadline-r.Arrived))
}

// waitMove waits until the key has another owner than the one that did not hold it,
// or might have got its grant by now.
func (d *Dispatcher) waitMove(ctx context.Context, t *try) {
	now := clock.Now()
	pause := min(moveDelay<<max(t.sends-2, 0), time.Duration(moveShare*float64(t.req.Deadline-now)))
	end := now + pause
	for left := pause; left > 0 && ctx.Err() == nil; left = end - clock.Now() {
		changed := d.config.Views.Changed()
		table := d.config.Views.Current().Tables[t.req.Service]
		if table != nil && table.Lookup(t.req.Key).Fence != t.fence {
			return
		}
		wait(ctx, changed, left)
	}
}

// wait waits for a channel to be closed.
func wait(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
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
	t.inputs.TableRev = table.Rev
	span := table.Lookup(t.req.Key)
	t.fence = span.Fence
	record, known := v.Targets.Get(span.Owner)
	if !span.Owned() || !known || record.Incarnation() != span.Incarnation() || record.State == target.Draining {
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
	}
	t.inputs.ReadyTargets = ready
	if ready == 0 {
		return nil, NoTarget
	}
	ep := pick(eps, clock.Now(), d.service(t.req.Service).usual)
	if ep == nil {
		return nil, TargetsFull
	}
	return d.admit(t, ep)
}

const (
	// sampleSize is the number of targets in the own failure domain, and of those
	// in others, among which one is picked. Daemons know each other's requests with
	// a delay, and would all pick the same target if each looked at all.
	sampleSize = 3
	// exploreShare is the part of requests that look at all targets, so that a
	// daemon learns of better ones than those that it has connections to.
	exploreShare = 0.03
)

// pick returns the target for a request, or nil if there is none. Targets with a
// free slot to which there is an idle connection go first, as connections are
// charged for: the more daemons and targets there are, the less each pair is used.
func pick(eps []*endpoint, now, usual time.Duration) *endpoint {
	if rand.Float64() >= exploreShare {
		var connected []*endpoint
		for _, ep := range eps {
			if ep.estimate.Load() < ep.estimate.Slots && !ep.estimate.Suspect(now) && ep.pool.HasIdleConn() {
				connected = append(connected, ep)
			}
		}
		if ep := pickOf(connected, now, usual); ep != nil {
			return ep
		}
	}
	return pickOf(eps, now, usual)
}

// pickOf returns the best of a random sample of targets.
func pickOf(eps []*endpoint, now, usual time.Duration) *endpoint {
	eps = sample(eps)
	estimates := make([]*balance.Estimate, len(eps))
	for i, ep := range eps {
		estimates[i] = &ep.estimate
	}
	if i := balance.Pick(estimates, now, usual); i >= 0 {
		return eps[i]
	}
	return nil
}

// sample returns a random choice of targets near and far.
func sample(eps []*endpoint) []*endpoint {
	rand.Shuffle(len(eps), func(i, j int) { eps[i], eps[j] = eps[j], eps[i] })
	local, far := 0, 0
	out := make([]*endpoint, 0, 2*sampleSize)
	for _, ep := range eps {
		seen := &far
		if ep.estimate.SameDomain {
			seen = &local
		}
		if *seen++; *seen <= sampleSize {
			out = append(out, ep)
		}
	}
	return out
}

// admit reserves a place at the target if the request is likely to end in time.
// The caller holds the mutex.
func (d *Dispatcher) admit(t *try, ep *endpoint) (*endpoint, Reason) {
	now := clock.Now()
	slots := max(ep.record.Slots, 1)
	load := ep.estimate.Load()
	expected := ep.estimate.ExpectedLatency(now, d.service(ep.record.Service).usual)
	queued := load >= slots && (expected > queueTime(t.req, now) || ep.sheds)
	if queued || ep.estimate.Running >= ep.limit || load >= queueFactor*slots {
		t.inputs.Load, t.inputs.Slots, t.inputs.ExpectedTime = load, slots, expected
		return nil, TargetsFull
	}
	ep.estimate.Running++
	return ep, ""
}

// queueTime is the time within which a request that has to queue must be expected
// to end.
func queueTime(r *Request, now time.Duration) time.Duration {
	share := max(timeShare-priorityStep*float64(r.Route.Priority), leastShare)
	limit := time.Duration(share * float64(r.Deadline-now))
	if r.Route.Objective > 0 {
		limit = min(limit, time.Duration(objectiveShare*float64(r.Route.Objective)))
	}
	return limit
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
