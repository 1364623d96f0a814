package front

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Action is an exchange with the target to make now.
type Action struct {
	// Send says that there is an exchange to make; Seq names it.
	Send bool
	Seq  uint64
	// Probe asks only whether the target accepts a new connection. It is
	// used for targets that do not check grants. Request is empty then.
	Probe   bool
	Request grant.Request
}

// FailureKind is how an exchange failed.
type FailureKind uint8

// Failures of an exchange.
const (
	// ExchangeRefused is a refused connection.
	ExchangeRefused FailureKind = iota
	// ExchangeTimedOut is no answer within ExchangeTimeout.
	ExchangeTimedOut
	// ExchangeOther is any other failure.
	ExchangeOther
)

// reading is a value of the target's clock under one boot.
type reading struct {
	boot     string
	ms       int64
	sent     time.Time // when it was asked for
	received time.Time
}

// grants is the state of the target's grant under one front epoch.
type grants struct {
	dirty   bool
	version uint64
	wanted  map[table.Unit]uint32 // content of version

	seq    uint64
	flying *exchange
	nextAt time.Time

	clock   *reading
	started bool // the target holds version under clock.boot

	accepted      map[table.Unit]uint32 // content of the last accepted grant
	acceptVersion uint64
	acceptUntil   time.Time

	// ends bounds the end of all grants sent so far, whether or not they
	// were answered, and of the predecessor's grants.
	ends time.Time
}

type exchange struct {
	seq     uint64
	at      time.Time
	version uint64
	renew   bool
	units   map[table.Unit]uint32 // nil for a clock reading or probe
	base    reading
}

// start begins an epoch. The clock reading stays valid.
func (g *grants) start(now time.Time) {
	ends := latest(g.ends, now.Add(stretch(table.GrantLife)))
	*g = grants{dirty: true, seq: g.seq, clock: g.clock, ends: ends}
}

// valid reports whether the target certainly holds an unexpired grant of the
// unit at the epoch.
func (g *grants) valid(u table.Unit, epoch uint32, now time.Time) bool {
	e, ok := g.accepted[u]
	return ok && e == epoch && now.Before(g.acceptUntil)
}

// Tick returns the exchange to make now, if any, and counts it as sent at now.
// It must be called at least every 100 ms and after each change. Without
// authority nothing is sent.
func (m *Machine) Tick(now, authorityUntil time.Time) Action {
	m.noteTick(now)
	if !m.front || m.superseded || m.released || authorityUntil.Sub(now) < table.AuthorityReserve {
		m.grants.flying = nil
		m.health.forgive()
		return Action{}
	}
	m.health.overdue(now)
	m.dropDrained(now)
	m.refreshWanted(now)
	return m.exchange(now)
}

func (m *Machine) noteTick(now time.Time) {
	if m.paused(now) {
		m.health.forgive()
		m.grants.flying = nil
	}
	m.lastTick = now
	m.runs.prune(now)
}

// paused reports whether this daemon has not run for a while before now.
func (m *Machine) paused(now time.Time) bool { return now.Sub(m.lastTick) > PauseGap }

// exchange starts the next exchange if it is due and none is under way.
// Answers to an abandoned exchange are ignored, so that accepted answers come
// in the order in which the target gave them.
func (m *Machine) exchange(now time.Time) Action {
	g := &m.grants
	if g.flying != nil && now.Sub(g.flying.at) < ExchangeTimeout {
		return Action{}
	}
	if g.flying != nil {
		m.GrantFailed(g.flying.seq, ExchangeTimedOut, now)
	}
	if !m.due(now) {
		return Action{}
	}
	g.seq++
	g.flying = &exchange{seq: g.seq, at: now, version: g.version}
	g.nextAt = now.Add(table.GrantInterval)
	m.health.sent(now)
	if !m.cfg.ChecksGrants {
		return Action{Send: true, Seq: g.seq, Probe: true}
	}
	return Action{Send: true, Seq: g.seq, Request: m.request(now)}
}

func (m *Machine) due(now time.Time) bool {
	if m.health.condition == lost {
		return !now.Before(m.health.nextTry)
	}
	return !now.Before(m.grants.nextAt)
}

// request builds the grant, or asks for the clock if there is no fresh reading
// or nothing must be granted.
func (m *Machine) request(now time.Time) grant.Request {
	g := &m.grants
	r := grant.Request{Service: m.cfg.Service, Target: m.cfg.Target, FrontEpoch: m.epoch, Version: g.version}
	if m.health.lost() || g.clock == nil || now.Sub(g.clock.sent) >= ReadingLife {
		return r
	}
	r.Boot = g.clock.boot
	r.ExpiresMs = g.clock.ms + table.GrantLife.Milliseconds()
	r.Renew = g.started
	if !r.Renew {
		r.Shards, r.HotKeys = lists(g.wanted)
	}
	g.flying.renew = r.Renew
	g.flying.units = g.wanted
	g.flying.base = *g.clock
	g.ends = latest(g.ends, g.clock.received.Add(stretch(table.GrantLife)))
	return r
}

// lists returns the units in the form of a grant, in order.
func lists(units map[table.Unit]uint32) ([]grant.Shard, []grant.HotKey) {
	var shards []grant.Shard
	var hot []grant.HotKey
	for _, u := range slices.SortedFunc(maps.Keys(units), compareUnits) {
		if u.Hot {
			hot = append(hot, grant.HotKey{Hash: fmt.Sprintf("%016x", u.Hash), Epoch: units[u]})
			continue
		}
		shards = append(shards, grant.Shard{Shard: u.Shard, Epoch: units[u]})
	}
	return shards, hot
}

// refreshWanted starts a new version if the units to grant have changed.
func (m *Machine) refreshWanted(now time.Time) {
	g := &m.grants
	if !g.dirty {
		return
	}
	g.dirty = false
	wanted := make(map[table.Unit]uint32, len(m.units))
	for u, s := range m.units {
		if !s.dead && !s.dropped {
			wanted[u] = s.epoch
		}
	}
	g.version++
	g.wanted = wanted
	g.started = false
	g.nextAt = now
}

// GrantReply records the target's answer to the exchange seq. Answers to
// another exchange are ignored.
func (m *Machine) GrantReply(seq uint64, r grant.Reply, now time.Time) {
	e := m.landed(seq)
	if e == nil {
		return
	}
	if r.FrontEpoch > m.epoch {
		m.superseded = true
		return
	}
	m.read(e, r, now)
	m.health.answered(now, m.condemned())
	m.health.draining.set(r.Draining, now)
	switch {
	case e.units == nil:
		m.grants.nextAt = m.grants.soon(now, m.health.lost())
	case r.Accepted:
		m.accept(e, r)
	default:
		m.refusedGrant(e, r, now)
	}
}

// ProbeReply records that the target accepted a connection.
func (m *Machine) ProbeReply(seq uint64, now time.Time) {
	if m.landed(seq) != nil {
		m.health.answered(now, m.condemned())
	}
}

// GrantFailed records that the exchange seq failed.
func (m *Machine) GrantFailed(seq uint64, kind FailureKind, now time.Time) {
	if m.landed(seq) == nil {
		return
	}
	switch kind {
	case ExchangeRefused:
		m.health.refused(now)
		m.grants.nextAt = now.Add(RefusedDelay)
	case ExchangeTimedOut:
		m.health.timedOut(now)
	case ExchangeOther:
		m.health.timedOut(now)
		m.grants.nextAt = now.Add(RefusedDelay)
	}
}

// landed returns the exchange under way if it is seq, and ends it.
func (m *Machine) landed(seq uint64) *exchange {
	e := m.grants.flying
	if e == nil || e.seq != seq || !m.front || m.superseded {
		return nil
	}
	m.grants.flying = nil
	return e
}

// read takes over the target's clock. A new boot has no grant yet.
func (m *Machine) read(e *exchange, r grant.Reply, now time.Time) {
	g := &m.grants
	if g.clock != nil && g.clock.boot != r.Boot {
		g.started = false
		g.accepted = nil
		g.acceptUntil = time.Time{}
	}
	g.clock = &reading{boot: r.Boot, ms: r.NowMs, sent: e.at, received: now}
}

// soon is when the next exchange follows a clock reading: at once, unless only
// the clock is wanted.
func (g *grants) soon(now time.Time, readingOnly bool) time.Time {
	if readingOnly {
		return g.nextAt
	}
	return now
}

// accept records the units that the target now holds. The target's grant ends
// on its clock one grant life after the reading, which was taken after the
// exchange that asked for it was sent.
func (m *Machine) accept(e *exchange, r grant.Reply) {
	g := &m.grants
	if r.Boot != e.base.boot || r.Version != e.version {
		return
	}
	g.accepted = e.units
	g.acceptVersion = e.version
	g.acceptUntil = e.base.sent.Add(shrink(table.GrantLife))
	g.started = e.version == g.version
	m.noteIdle(r)
}

// refusedGrant finds out what the target holds. If the answer to an earlier
// exchange was lost, it holds the version, which must then be renewed. A target
// that refuses the renewal too gets a new version. If it does not hold the
// version, the grant is repeated after the usual interval.
func (m *Machine) refusedGrant(e *exchange, r grant.Reply, now time.Time) {
	g := &m.grants
	holds := r.FrontEpoch == m.epoch && r.Version == g.version
	switch {
	case !holds:
		g.started = false
	case e.renew:
		g.dirty = true
	default:
		g.started = true
		g.nextAt = now
	}
}

// noteIdle ends the wait for the predecessor's requests: under an accepted
// grant of this epoch none of them can start, and none runs.
func (m *Machine) noteIdle(r grant.Reply) {
	if r.Running == 0 {
		m.inherited = false
	}
}

func compareUnits(a, b table.Unit) int {
	return cmp.Or(cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Hash, b.Hash))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
