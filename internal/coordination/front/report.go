package front

import (
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Report returns what to tell the coordinator of the target. What it calls
// released or ended is final: the machine never again uses those units under
// their present epochs, or the front under its present epoch.
//
// The coordinator must act on a release or an end only if the report was made
// under its present table and front epoch, and only once the target's standby
// has confirmed, without having succeeded, a table that marks the units as
// moving or the target as lost: a standby that succeeds by an older table would
// use them again.
func (m *Machine) Report(now time.Time) peer.TargetReport {
	r := peer.TargetReport{Service: m.cfg.Service, Target: m.cfg.Target, Epoch: m.epoch}
	if !m.front || m.superseded {
		return r
	}
	r.Health = m.verdict(now)
	if r.Health == peer.TargetEnded {
		m.condemn(now)
	}
	r.ReleasedFront = m.releaseFront(now)
	r.ReleasedShards, r.ReleasedHot = m.releaseUnits(now)
	return r
}

func (m *Machine) verdict(now time.Time) peer.TargetHealth {
	switch {
	case m.health.lost() && m.ended(now):
		return peer.TargetEnded
	case m.health.lost() || m.health.condition == untried:
		return peer.TargetUnknown
	case m.health.draining.on:
		return peer.TargetLeaving
	}
	return peer.TargetServing
}

// ended reports whether the lost target can no longer start a request and, if
// it does not check grants, whether no request can run at it.
func (m *Machine) ended(now time.Time) bool {
	if m.cfg.ChecksGrants {
		return !now.Before(m.grants.ends)
	}
	if !now.Before(m.health.lostAt.Add(m.longest())) {
		return true
	}
	return m.runs.allIdle(now) && m.settled(now)
}

// settled reports whether no request of the predecessor can run any more.
func (m *Machine) settled(now time.Time) bool {
	if !now.Before(m.since.Add(m.longest())) {
		m.inherited = false
	}
	return !m.inherited
}

// releaseFront reports whether the front has stopped for good.
func (m *Machine) releaseFront(now time.Time) bool {
	if m.released {
		return true
	}
	if !m.release.on {
		return false
	}
	// Running requests do not hold the handover up: a target that checks grants
	// refuses those that arrive under the old epoch, and the next front inherits
	// those that run. Otherwise one long request would keep every other waiting.
	// A target that does not check would get requests of two fronts.
	stopped := m.cfg.ChecksGrants || m.runs.allIdle(now)
	expired := !now.Before(m.release.since.Add(m.longest()))
	m.released = stopped || expired
	return m.released
}

func (m *Machine) releaseUnits(now time.Time) ([]uint32, []uint64) {
	var shards []uint32
	var hot []uint64
	for u, s := range m.units {
		if !m.unitReleased(s, now) {
			continue
		}
		s.dead = true // in leaving already
		if u.Hot {
			hot = append(hot, u.Hash)
			continue
		}
		shards = append(shards, u.Shard)
	}
	slices.Sort(shards)
	slices.Sort(hot)
	return shards, hot
}

// unitReleased reports whether the unit's requests have ended and none can
// start at the target any more, because it certainly holds no grant of it.
func (m *Machine) unitReleased(s *unit, now time.Time) bool {
	if !s.leave.on || !s.dropped {
		return false
	}
	if !m.cfg.ChecksGrants || !now.Before(s.ends) {
		return true
	}
	return m.grants.acceptVersion >= s.version
}

// dropDrained takes leaving units whose requests have ended out of the grant.
func (m *Machine) dropDrained(now time.Time) {
	for u, s := range m.leaving {
		if !s.dropped && m.drained(u, s, now) {
			m.drop(s)
		}
	}
}

func (m *Machine) drained(u table.Unit, s *unit, now time.Time) bool {
	if !now.Before(s.leave.since.Add(m.longest())) {
		return true
	}
	return m.runs.idle(u, now) && m.settled(now)
}

func (m *Machine) drop(s *unit) {
	s.dropped = true
	s.version = m.grants.version + 1
	s.ends = m.grants.ends
	m.grants.dirty = true
}
