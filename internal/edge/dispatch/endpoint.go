package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Limits of connections.
const (
	// leastConnections is the number of connections to a target that a daemon may
	// always open.
	leastConnections = 2
	// connectionShare leaves room for daemons that join.
	connectionShare = 0.9
)

// endpoint is a target with the connections to it. Its estimate is guarded by
// the dispatcher's mutex.
type endpoint struct {
	id       string // never changes
	record   target.Record
	pool     *upstream.Pool
	estimate balance.Estimate
	limit    int
	// sheds is that of route.Service.
	sheds bool
	// replaced tells that another target answered at the address. What is sent
	// there counts as a repeat at that target's service.
	replaced bool
	hash     peers.TargetHash
}

// endpoint returns the connections to a target. The caller holds the mutex.
func (d *Dispatcher) endpoint(v *view.View, r target.Record) *endpoint {
	ep := d.targets[r.Incarnation()]
	limit := connectionLimit(v, r.Service)
	sheds := v.Config.Services[r.Service].Sheds
	if ep != nil && ep.pool.Address() == r.Address {
		ep.record, ep.sheds = r, sheds
		if ep.limit != limit {
			ep.limit = limit
			ep.pool.SetLimit(limit)
		}
		return ep
	}
	ep = &endpoint{id: r.ID, record: r, limit: limit, sheds: sheds, hash: peers.HashTarget(r.ID), pool: upstream.NewPool(r.Address, limit)}
	ep.estimate.Slots = r.Slots
	ep.estimate.SameDomain = r.Domain == d.config.Domain
	ep.estimate.ColdUntil = clock.Now() + r.ColdFor
	d.targets[r.Incarnation()] = ep
	return ep
}

// connectionLimit is a daemon's part of the connections that a target accepts.
func connectionLimit(v *view.View, service string) int {
	share := connectionShare / float64(max(len(v.Daemons), 1))
	return max(int(share*float64(v.Config.Services[service].MaxConnections)), leastConnections)
}

// CloseRemovedTargets closes the connections to targets that are gone.
func (d *Dispatcher) CloseRemovedTargets() {
	v := d.config.Views.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	for life, ep := range d.targets {
		if r, known := v.Targets.Get(life.ID); known && r.Incarnation() == life {
			continue
		}
		if ep.estimate.Running > 0 {
			continue
		}
		ep.pool.Close()
		delete(d.targets, life)
	}
}

// RunningByTarget returns this daemon's requests at each target.
func (d *Dispatcher) RunningByTarget() peers.Loads {
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

// SetFleetLoads records the requests of all daemons at each target, this daemon's
// included as it last told them.
func (d *Dispatcher) SetFleetLoads(loads peers.Loads) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ep := range d.targets {
		ep.estimate.RunningElsewhere = max(loads[ep.hash]-ep.estimate.Running, 0)
	}
}

// SetServiceTimes records the service times that all daemons measured.
func (d *Dispatcher) SetServiceTimes(times peers.ServiceTimes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ep := range d.targets {
		if millis := times[ep.hash]; millis > 0 {
			ep.estimate.SetServiceTime(time.Duration(millis) * time.Millisecond)
		}
	}
}

// TargetLoad is what a daemon knows of a target that it has sent to.
type TargetLoad struct {
	ID, Service string
	// Running and Elsewhere are the requests of this daemon and of the others.
	Running, Elsewhere int
	Slots, Connections int
	// Suspect tells that the target is avoided after failures.
	Suspect bool
	// ServiceTime is the measured time of one request; 0 before any was measured.
	ServiceTime time.Duration
}

// TargetLoads returns what is known of each target.
func (d *Dispatcher) TargetLoads() []TargetLoad {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]TargetLoad, 0, len(d.targets))
	for _, ep := range d.targets {
		open, _ := ep.pool.Counts()
		out = append(out, TargetLoad{
			ID: ep.record.ID, Service: ep.record.Service, Running: ep.estimate.Running, Elsewhere: ep.estimate.RunningElsewhere,
			Slots: ep.record.Slots, Connections: open, Suspect: ep.estimate.Suspect(now), ServiceTime: ep.estimate.ServiceTime(0),
		})
	}
	slices.SortFunc(out, func(a, b TargetLoad) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Gauges returns the present values of each service.
func (d *Dispatcher) Gauges() map[string]metrics.ServiceGauges {
	daemons := len(d.config.Views.Current().Daemons)
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]metrics.ServiceGauges)
	for name, s := range d.services {
		out[name] = metrics.ServiceGauges{RetryBudgetLeft: s.budget.Remaining(now, daemons)}
	}
	for _, ep := range d.targets {
		g := out[ep.record.Service]
		open, _ := ep.pool.Counts()
		g.Running += ep.estimate.Running
		g.Elsewhere += ep.estimate.RunningElsewhere
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
		if s := ep.estimate.ServiceTime(0); s > 0 {
			out[life.ID] = s
		}
	}
	return out
}
