package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
	"github.com/jackdawloom/jackdawloom/internal/coordination/probing"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Connection limits.
const (
	// minConnections is the number of connections to a target that a daemon may always
	// open.
	minConnections = 2
	// connectionShare is the fraction of a target's connections that the present
	// daemons use together. The rest is reserved for daemons that join.
	connectionShare = 0.9
)

// endpoint is a target and the connections to it. Its estimate is guarded by
// Dispatcher.mu.
type endpoint struct {
	id          string             // never changes
	incarnation target.Incarnation // never changes
	record      target.Record
	pool        *upstream.Pool
	estimate    balance.Estimate
	limit       int
	// sheds is the value of route.Service.ShedsLoad.
	sheds bool
	// replaced is set after another target has responded at the address. Requests sent
	// to the address would count as retries at the other target's service.
	replaced bool
	// pausedUntil is the end of the time for which the target wants no requests.
	pausedUntil time.Duration
	hash        peers.TargetHash
	cold        coldState
	// probe is guarded by Dispatcher.mu.
	probe  probing.Target
	limits admission.Limit
}

// endpoint returns the endpoint of a target, and creates it if it is missing or the
// target's address has changed. d.mu must be held.
func (d *Dispatcher) endpoint(v *view.View, r target.Record) *endpoint {
	ep := d.endpoints[r.Incarnation()]
	limit := connectionLimit(v, r.Service)
	sheds := v.Config.Services[r.Service].ShedsLoad
	if ep != nil && ep.pool.Address() == r.Address {
		ep.record, ep.sheds = r, sheds
		ep.updateCold(v.Config.Services[r.Service], d.config.ColdOverage)
		if ep.limit != limit {
			ep.limit = limit
			ep.pool.SetLimit(limit)
		}
		return ep
	}
	ep = &endpoint{
		id: r.ID, incarnation: r.Incarnation(), record: r, limit: limit, sheds: sheds, hash: peers.HashTarget(r.ID),
		pool: upstream.NewPool(r.Address, limit, d.config.Bodies),
	}
	ep.estimate.Slots = r.Slots
	service := v.Config.Services[r.Service]
	ep.estimate.Normalized = !service.Keyed && service.HealthPath != ""
	ep.estimate.SameDomain = r.Domain == d.config.Domain
	ep.estimate.ColdUntil = clock.Now() + r.WarmupRemaining
	ep.updateCold(v.Config.Services[r.Service], d.config.ColdOverage)
	d.endpoints[r.Incarnation()] = ep
	return ep
}

// connectionLimit returns this daemon's share of the connections that a target
// accepts.
func connectionLimit(v *view.View, service string) int {
	share := connectionShare / float64(max(len(v.Daemons), 1))
	return max(int(share*float64(v.Config.Services[service].MaxConnections)), minConnections)
}

// CloseRemovedTargets closes the connections to targets that are no longer registered
// and have no running requests of this daemon. A target that asked for a pause is kept until its
// end, because it may be registered again before.
func (d *Dispatcher) CloseRemovedTargets() {
	v := d.config.Views.Current()
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for incarnation, ep := range d.endpoints {
		if r, known := v.Targets.Get(incarnation.ID); known && r.Incarnation() == incarnation {
			continue
		}
		if ep.estimate.Running > 0 || now < ep.pausedUntil {
			continue
		}
		ep.pool.Close()
		delete(d.endpoints, incarnation)
	}
}

// RunningByTarget returns the number of this daemon's running requests by target.
func (d *Dispatcher) RunningByTarget() peers.Loads {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(peers.Loads)
	now := clock.Now()
	targets := d.config.Views.Current().Targets
	for _, ep := range d.endpoints {
		if ep.estimate.Running > 0 {
			out[ep.hash] = ep.estimate.Running
		}
		if r, known := targets.Get(ep.id); known && r.Incarnation() == ep.incarnation {
			ep.record.ColdSince, ep.record.ColdUntil, ep.record.ColdReported = r.ColdSince, r.ColdUntil, r.ColdReported
		}
		ep.addColdDemand(out, now)
	}
	return out
}

// SetFleetLoads records the running requests of all daemons by target. The loads include
// this daemon's requests as it last reported them.
func (d *Dispatcher) SetFleetLoads(loads peers.Loads) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ep := range d.endpoints {
		ep.estimate.SetFleetLoad(now, loads[ep.hash])
		ep.setFleetDemand(loads, now)
	}
}

// SetServiceTimes records the service times that all daemons measured.
func (d *Dispatcher) SetServiceTimes(times peers.ServiceTimes) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ep := range d.endpoints {
		if millis := times[ep.hash]; millis > 0 {
			ep.estimate.SetServiceTime(time.Duration(millis) * time.Millisecond)
		}
	}
}

// RunningIn returns the number of this daemon's running requests at targets of failure domains.
func (d *Dispatcher) RunningIn(domains map[string]bool) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, ep := range d.endpoints {
		if domains[ep.record.Domain] {
			n += ep.estimate.Running
		}
	}
	return n
}

// TargetLoad is the load, as known to this daemon, of a target that was a candidate for one
// of the daemon's requests.
type TargetLoad struct {
	ID, Service string
	// Running and RunningElsewhere are the running requests of this daemon and of all
	// others.
	Running, RunningElsewhere int
	Slots, Connections        int
	// Suspect is true while the target is avoided after failures or rejections.
	Suspect bool
	// ServiceTime is the measured time of one request; 0 before any was measured.
	ServiceTime time.Duration
}

// TargetLoads returns the load of each target that was a candidate for a request, ordered
// by ID.
func (d *Dispatcher) TargetLoads() []TargetLoad {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]TargetLoad, 0, len(d.endpoints))
	for _, ep := range d.endpoints {
		open, _ := ep.pool.Counts()
		out = append(out, TargetLoad{
			ID: ep.record.ID, Service: ep.record.Service, Running: ep.estimate.Running, RunningElsewhere: ep.estimate.RunningElsewhere,
			Slots: ep.record.Slots, Connections: open, Suspect: ep.estimate.Suspect(now), ServiceTime: ep.estimate.ServiceTime(0),
		})
	}
	slices.SortFunc(out, func(a, b TargetLoad) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Gauges returns the current gauge values by service.
func (d *Dispatcher) Gauges() map[string]metrics.ServiceGauges {
	daemons := len(d.config.Views.Current().Daemons)
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]metrics.ServiceGauges)
	for name, s := range d.services {
		out[name] = metrics.ServiceGauges{RetryBudgetLeft: s.budget.Remaining(now, daemons), AdmissionLevel: s.admission.shared.Level(now)}
	}
	for _, ep := range d.endpoints {
		g := out[ep.record.Service]
		open, _ := ep.pool.Counts()
		g.Running += ep.estimate.Running
		g.RunningElsewhere += ep.estimate.RunningElsewhere
		g.Slots += ep.record.Slots
		g.Connections += open
		if ep.estimate.Suspect(now) {
			g.Suspect++
		}
		if ep.coldUntil() > now {
			g.Cold++
		}
		out[ep.record.Service] = g
	}
	return out
}

// ServiceTimes returns the measured service times by target ID. Targets without a
// measurement are left out.
func (d *Dispatcher) ServiceTimes() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]time.Duration)
	for incarnation, ep := range d.endpoints {
		if s := ep.estimate.ServiceTime(0); s > 0 {
			out[incarnation.ID] = s
		}
	}
	return out
}
