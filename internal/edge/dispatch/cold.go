package dispatch

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/coldstart"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

const (
	// fleetNamesInterval is how often the names of the daemons are compared with the known ones.
	fleetNamesInterval = 250 * time.Millisecond
	// coldHintTime is how long a target counts as cold after other daemons said so. They repeat
	// it with every message of loads while they know it themselves.
	coldHintTime = 500 * time.Millisecond
	// fleetDemandDelay is how long after a target has become cold the requests of all daemons
	// are known, and fleetDemandLifetime the age from which they are not used.
	fleetDemandDelay    = 500 * time.Millisecond
	fleetDemandLifetime = time.Second
	// hintPause is how long after the end of a target's cold time the others' hints about it are
	// ignored: they may have been sent before the end.
	hintPause = 1500 * time.Millisecond
	// recentUseTime is the time after a target was last a candidate as a warm one within which
	// the daemons may have sent to it at any rate.
	recentUseTime = 2 * time.Second
	// ownerStartDelay is how long after its start a daemon sends nothing to cold owners: it does
	// not know the demand, and many daemons may start at once.
	ownerStartDelay = time.Second
	// newOwnerTime is how long after a cold target has become the owner of a key the counted
	// requests do not show the demand for that key: they are counted for half a second and known
	// to all daemons after a fraction of that.
	newOwnerTime = 800 * time.Millisecond
	// coldRetryDelay is the shortest delay after which a caller that a cold owner has no room
	// for is asked to retry.
	coldRetryDelay = 150 * time.Millisecond
)

// fleetNames are the names of the daemons, in order.
type fleetNames struct {
	names      []string
	generation int // rises with each change
	checkedAt  time.Duration
}

// coldState is what a daemon keeps of a target whose service limits the rate at cold targets.
// It is guarded by Dispatcher.mu.
type coldState struct {
	rate    float64 // tolerated rate; 0 without a limit
	overage float64 // factor by which all daemons together may exceed it
	keyed   bool
	// hintedUntil is until when the target counts as cold because other daemons know it.
	hintedUntil time.Duration

	// Of services without keys: generation of the daemons' names that turns follows from,
	// whether this daemon is a sender, and from when it may send.
	generation int
	turns      coldstart.Turns
	sender     bool
	nextAt     time.Duration
	until      time.Duration // end of the cold time for which nextAt was set
	warmAt     time.Duration // when the target was last a candidate and not cold; 0 if never

	// Of keyed services: this daemon's requests, and the demand of all daemons.
	counter      *coldstart.Counter
	fleetDemand  coldstart.Demand
	fleetKnownAt time.Duration // when fleetDemand was received; 0 if never
	// newestFence is the highest fence under which the target was known as an owner, and ownerAt
	// when that became known.
	newestFence uint64
	ownerAt     time.Duration

	// known is the hash under which daemons tell each other, among the loads, that they know the
	// target as cold, and demand those of their requests for it, by class.
	known  peers.TargetHash
	demand [coldstart.Classes]peers.TargetHash
}

// coldChoice is the part of a request's state that concerns cold targets.
type coldChoice struct {
	// skipped is set if the last choice left out a cold target.
	skipped bool
	// target and send name the send for which the request was counted at a cold owner, and
	// admitted whether it was admitted there.
	target   string
	send     int
	admitted bool
}

// reason returns the reason of a refusal if no target could be chosen for the given reason.
func (c *coldChoice) reason(r Reason) Reason {
	if c.skipped && r == TargetPaused {
		return TargetCold
	}
	return r
}

// deferUntil records that a target that was left out can be used from then on.
func (t *requestState) deferUntil(at time.Duration) {
	if t.pausedUntil == 0 || at < t.pausedUntil {
		t.pausedUntil = at
	}
}

// updateCold takes over the limits of the service.
func (ep *endpoint) updateCold(s route.Service, overage float64) {
	c := &ep.cold
	c.rate, c.overage, c.keyed = s.ColdRate, coldstart.Overage(overage), s.Keyed
	if c.rate <= 0 {
		return
	}
	ep.estimate.ColdUntil = ep.coldUntil()
	if c.counter != nil {
		return
	}
	c.counter = &coldstart.Counter{}
	name := "cold/" + strconv.FormatUint(ep.incarnation.Hash(), 16)
	c.known = peers.HashTarget(name)
	for class := range c.demand {
		c.demand[class] = peers.HashTarget(name + "/" + strconv.Itoa(class))
	}
}

// coldUntil returns until when the target is cold, or a time that has passed.
func (ep *endpoint) coldUntil() time.Duration {
	if ep.cold.rate <= 0 {
		return 0
	}
	return max(ep.record.ColdUntil, ep.cold.hintedUntil)
}

// mayUseCold reports whether this daemon may now send a request to the target of a service
// without keys. d.mu must be held.
func (d *Dispatcher) mayUseCold(v *view.View, ep *endpoint, now time.Duration) bool {
	c := &ep.cold
	until := ep.coldUntil()
	if until <= now {
		c.warmAt = now
		return true
	}
	d.updateFleetNames(v, now)
	if c.generation != d.fleet.generation {
		c.generation = d.fleet.generation
		c.turns = coldstart.NewTurns(c.rate, c.overage, len(d.fleet.names))
		c.sender = c.turns.Includes(ep.incarnation.Hash(), d.fleet.names, d.config.Name)
	}
	if c.until <= now {
		// After the start of the daemon, and when a target in use becomes cold, the first turn
		// comes an interval later: what was sent in the last second is not known.
		c.nextAt = max(c.nextAt, d.started+c.turns.Interval)
		if c.warmAt > 0 && now-c.warmAt < recentUseTime {
			c.nextAt = max(c.nextAt, now+c.turns.Interval)
		}
	}
	c.until = until
	return c.sender && now >= c.nextAt
}

// usableAt returns when the target can be used by this daemon.
func (c *coldState) usableAt(now time.Duration) time.Duration {
	if c.sender && c.nextAt > now {
		return min(c.nextAt, c.until)
	}
	return c.until
}

// updateFleetNames takes the names of the daemons from the view. d.mu must be held.
func (d *Dispatcher) updateFleetNames(v *view.View, now time.Duration) {
	f := &d.fleet
	if f.generation > 0 && now-f.checkedAt < fleetNamesInterval {
		return
	}
	f.checkedAt = now
	names := coldstart.SortedNames(v.Daemons)
	if f.generation == 0 || !slices.Equal(names, f.names) {
		f.names = names
		f.generation++
	}
}

// takeColdTurn takes this daemon's turn at a target that was chosen for a request of a service
// without keys. It returns false if another request has just taken it.
func (d *Dispatcher) takeColdTurn(ep *endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &ep.cold
	if c.rate <= 0 || c.keyed {
		return true
	}
	now := clock.Now()
	if ep.coldUntil() > now {
		if now < c.nextAt {
			return false
		}
		c.nextAt = now + c.turns.Interval
	}
	return true
}

// admitToColdOwner counts a request for the owner of its key and, if the owner is cold, decides
// whether the request may be sent there. It returns the reason if not. d.mu must be held.
func (d *Dispatcher) admitToColdOwner(t *requestState, ep *endpoint, daemons int) Reason {
	c := &ep.cold
	if c.rate <= 0 {
		return ""
	}
	now := clock.Now()
	class := coldstart.Class(t.req.Route.Priority)
	if t.fence > c.newestFence {
		c.newestFence, c.ownerAt = t.fence, now
	}
	if t.cold.target != ep.id || t.cold.send != t.sends+1 {
		t.cold = coldChoice{target: ep.id, send: t.sends + 1}
		c.counter.Add(now, class)
	}
	until := ep.coldUntil()
	if until <= now || t.cold.admitted {
		return ""
	}
	fraction, hasRoom := d.coldOwnerFraction(ep, now, class, daemons)
	if hasRoom && rand.Float64() < fraction {
		t.cold.admitted = true
		return ""
	}
	t.pausedUntil = ep.coldRetryAt(now, fraction)
	return TargetCold
}

// coldOwnerFraction returns which fraction of a class's requests a cold owner gets, and whether it has
// room for one. d.mu must be held.
func (d *Dispatcher) coldOwnerFraction(ep *endpoint, now time.Duration, class, daemons int) (fraction float64, hasRoom bool) {
	c := &ep.cold
	if now-d.started >= ownerStartDelay {
		demand := ep.estimateDemand(now, class, daemons)
		if now-c.ownerAt < newOwnerTime {
			demand = demand.OfNewOwner(class, daemons)
		}
		fraction = demand.Admission(class, coldstart.OwnerRate(c.rate, c.overage))
	}
	return fraction, coldstart.HasRoom(ep.estimate.Load(), ep.record.Slots)
}

// coldRetryAt returns when a request that a cold owner did not get is to be sent again.
func (ep *endpoint) coldRetryAt(now time.Duration, fraction float64) time.Duration {
	until := ep.coldUntil()
	if fraction > 0 {
		return min(until, now+time.Duration(float64(coldRetryDelay)/fraction))
	}
	return until
}

// estimateDemand returns the demand of all daemons for a cold owner: the sum of what they say, or,
// until that is known, an estimate from this daemon's requests. d.mu must be held.
func (ep *endpoint) estimateDemand(now time.Duration, class, daemons int) coldstart.Demand {
	c := &ep.cold
	known := ep.record.ColdUntil > now && now-ep.record.ColdSince >= fleetDemandDelay
	if known && c.fleetKnownAt > 0 && now-c.fleetKnownAt < fleetDemandLifetime {
		return c.fleetDemand
	}
	return c.counter.Estimate(now, class, daemons)
}

// addColdDemand adds to this daemon's loads that the target said in a response that it is cold, and
// the requests for a cold owner, also for one that only other daemons said is cold: the demand is that
// of all daemons. That the target is cold is not passed on then, or it would never end. d.mu must be
// held.
func (ep *endpoint) addColdDemand(out peers.Loads, now time.Duration) {
	c := &ep.cold
	if c.rate <= 0 || ep.coldUntil() <= now {
		return
	}
	if ep.record.ColdReported && ep.record.ColdUntil > now {
		out[c.known] = 1
	}
	if !c.keyed {
		return
	}
	for class, n := range c.counter.Recent(now) {
		if n > 0 {
			out[c.demand[class]] = n
		}
	}
}

// setFleetDemand takes what all daemons say about the target. d.mu must be held.
func (ep *endpoint) setFleetDemand(loads peers.Loads, now time.Duration) {
	c := &ep.cold
	if c.rate <= 0 {
		return
	}
	if until := ep.record.ColdUntil; until <= now {
		if loads[c.known] > 0 && (until == 0 || now-until > hintPause) {
			c.hintedUntil = now + coldHintTime
		}
		return
	}
	var sums [coldstart.Classes]int
	for class, hash := range c.demand {
		sums[class] = loads[hash]
	}
	c.fleetDemand, c.fleetKnownAt = coldstart.RecentDemand(sums), now
}
