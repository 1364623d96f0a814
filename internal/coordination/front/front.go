// Package front holds the state machine of one target's front: it grants the
// target its units, decides whether a request may be dispatched, detects the
// target's loss, and tells when units, the front or the target are released.
package front

import (
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Reasons why a request must not be dispatched. The request did not run.
var (
	// ErrNoAuthority means that the daemon's serving lease is about to end.
	ErrNoAuthority = errors.New("no serving authority")
	// ErrNotOwner means that this front does not serve the unit.
	ErrNotOwner = errors.New("unit not owned by this front's target")
	// ErrMoving means that the unit moves to another target.
	ErrMoving = errors.New("unit is moving")
	// ErrNotGranted means that the target holds no valid grant of the unit.
	ErrNotGranted = errors.New("unit not granted to the target")
	// ErrTargetLost means that the target is lost or recovering.
	ErrTargetLost = errors.New("target lost")
	// ErrReleased means that the unit or the front was released. It stays so
	// until the table gives a new epoch.
	ErrReleased = errors.New("unit or front released")
	// ErrDraining means that the target is leaving and gets no new work.
	ErrDraining = errors.New("target is draining")
)

// Times of grants and loss detection.
const (
	// UnansweredLimit is how long grants may stay unanswered: two of them.
	UnansweredLimit = 500 * time.Millisecond
	// ExchangeTimeout is after how long a grant exchange is given up.
	ExchangeTimeout = 250 * time.Millisecond
	// FailedInRow is the number of failures without a success between them
	// that makes a target lost.
	FailedInRow = 3
	// ErrorsInRow is the number of complete error responses without another
	// response between them that makes a target lost. It is higher, since a
	// target that answers is there: a single caller's bad requests must not
	// take its keys away, but a target that fails everything must go.
	ErrorsInRow = 20
	// RefusedDelay is the wait before the next exchange after a refused
	// connection, so that a dead process is detected within the 500 ms.
	RefusedDelay = 100 * time.Millisecond
	// ReadingLife is the age at which a clock reading is too old to base a
	// grant on: half of the grant would be over on arrival.
	ReadingLife = table.GrantLife / 2
	// PauseGap is the time between two ticks that counts as a pause of this
	// daemon, which says nothing about the target. Tick must be called at
	// least every 100 ms.
	PauseGap = 250 * time.Millisecond
	// RecoveryTime is how long a lost target must answer before it serves.
	RecoveryTime = 2 * time.Second
	// FirstRetry and LastRetry bound the growing delay of tries to reach a
	// lost target.
	FirstRetry = 250 * time.Millisecond
	LastRetry  = 4 * time.Second
	// StableTime is after how long of serving the delay starts anew.
	StableTime = 10 * time.Second
	// DrainLimit is after how long a draining target gets no new work.
	DrainLimit = 3 * time.Second
)

// Config describes the target.
type Config struct {
	Service string
	Target  string
	// ChecksGrants says that the target refuses requests outside its grant.
	ChecksGrants bool
	// LongestDeadline is the longest deadline of the service's classes.
	LongestDeadline time.Duration
	// Shards is the number of shards of the service, which tells the shard of a
	// hot key. Zero stands for unknown: then hot keys must not come and go.
	Shards int
}

// Assignment is what a table says of the target, as seen by this daemon.
type Assignment struct {
	// Front says that this daemon is the target's front under Epoch.
	Front bool
	Epoch uint64
	// Units are the units that the target owns, with their epochs. Moving
	// units stay in it until the move is done.
	Units map[table.Unit]uint32
	// Leaving are the units that move away.
	Leaving []table.Unit
	// Release asks the front to hand over.
	Release bool
	// Lost says that the table marks the target as lost: its units are being
	// reassigned and must not be used under their present epochs.
	Lost bool
}

// Machine is the front's side of one target. It is not safe for concurrent
// use; dispatchers must serialize Begin with all other calls.
type Machine struct {
	cfg Config

	front      bool
	epoch      uint64
	since      time.Time // when this daemon became front under epoch
	inherited  bool      // requests of the predecessor may still run
	superseded bool

	release  stop
	released bool // reported; final under this epoch

	units   map[table.Unit]*unit
	leaving map[table.Unit]*unit // moving or dead
	runs    runs

	grants grants
	health health

	markedLost bool // by the table
	lastTick   time.Time
}

// unit is one unit of the assignment.
type unit struct {
	epoch uint32
	leave stop
	// dead is set once the unit was reported as released or its target as
	// ended: the coordinator may have given it away under this epoch. Thus a
	// move that is cancelled after the release needs a new unit epoch.
	dead bool
	// condemned is set if the unit is dead because its target has ended.
	condemned bool
	// dropped is set when the unit has left the wanted grant; version is
	// the first grant without it, and ends bounds the grants with it.
	dropped bool
	version uint64
	ends    time.Time
}

// stop is the time since when something stops taking requests.
type stop struct {
	on    bool
	since time.Time
}

func (s *stop) set(on bool, now time.Time) {
	if on && !s.on {
		s.since = now
	}
	s.on = on
}

// New returns the machine of a target that this daemon does not front yet.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		units:   make(map[table.Unit]*unit),
		leaving: make(map[table.Unit]*unit),
		runs:    newRuns(),
	}
}

// SetConfig takes over a changed manifest entry of the same target. The longer
// deadline counts, since requests under the old one may still run.
func (m *Machine) SetConfig(cfg Config) {
	cfg.LongestDeadline = max(cfg.LongestDeadline, m.cfg.LongestDeadline)
	m.cfg = cfg
}

// Assign takes over the state of a new table. Tables must be given in the order
// of their revisions; one with an older front epoch is ignored. It must also be
// called when this daemon succeeds a front without a new table.
func (m *Machine) Assign(a Assignment, now time.Time) {
	if a.Epoch < m.epoch {
		return
	}
	if !a.Front {
		m.front = false
		m.epoch = a.Epoch
		m.setUnits(nil)
		return
	}
	if !m.front || a.Epoch != m.epoch {
		m.become(a, now)
	}
	m.release.set(a.Release || m.released, now)
	m.regroup(a.Units, now)
	m.setUnits(a.Units)
	m.setLeaving(a.Leaving, now)
	m.setLost(a.Lost, now)
}

// setLost applies the table's verdict once per change, so that a target that
// has recovered is not lost again by a table that does not say so yet.
func (m *Machine) setLost(lost bool, now time.Time) {
	if lost {
		m.condemn(now)
	}
	if lost && !m.markedLost {
		m.health.lose(now)
	}
	m.markedLost = lost
}

// become starts a front epoch. The predecessor's grants were based on readings
// from before its authority ended, so they end within one grant life.
func (m *Machine) become(a Assignment, now time.Time) {
	m.front = true
	m.epoch = a.Epoch
	m.since = now
	m.inherited = true
	m.superseded = false
	m.release = stop{}
	m.released = false
	m.markedLost = false
	m.setUnits(nil)
	m.grants.start(now)
	m.health.start(now)
}

func (m *Machine) setUnits(units map[table.Unit]uint32) {
	for u, s := range m.units {
		if epoch, ok := units[u]; !ok || epoch != s.epoch {
			delete(m.units, u)
			delete(m.leaving, u)
			m.grants.dirty = true
		}
	}
	for u, epoch := range units {
		if m.units[u] == nil {
			m.units[u] = &unit{epoch: epoch}
			m.grants.dirty = true
		}
	}
}

// regroup keeps the count of running requests right when hot keys get or lose a
// unit of their own: the requests of a lost one run as its shard's, and among
// those of the shard may be some of a new one's.
func (m *Machine) regroup(units map[table.Unit]uint32, now time.Time) {
	if m.cfg.Shards == 0 {
		return
	}
	for u := range m.units {
		if _, kept := units[u]; u.Hot && !kept {
			m.runs.merge(u, m.shardOf(u))
		}
	}
	for u := range units {
		if u.Hot && m.units[u] == nil {
			m.runs.inherit(u, m.shardOf(u), m.longest(), now)
		}
	}
}

func (m *Machine) shardOf(u table.Unit) table.Unit {
	return table.Unit{Shard: uint32(u.Hash % uint64(m.cfg.Shards))}
}

func (m *Machine) setLeaving(units []table.Unit, now time.Time) {
	leaving := make(map[table.Unit]*unit, len(units))
	for _, u := range units {
		if s := m.units[u]; s != nil {
			leaving[u] = s
			s.leave.set(true, now)
		}
	}
	for u, s := range m.leaving {
		switch {
		case leaving[u] != nil:
		case s.dead:
			leaving[u] = s
		default:
			m.restore(s)
		}
	}
	m.leaving = leaving
}

// restore puts a unit whose move was cancelled back into the grant.
func (m *Machine) restore(s *unit) {
	s.leave = stop{}
	if s.dropped {
		s.dropped = false
		m.grants.dirty = true
	}
}

// condemn bars all present units until the table gives them a new epoch.
func (m *Machine) condemn(now time.Time) {
	for u, s := range m.units {
		if s.dead {
			continue
		}
		s.dead = true
		s.condemned = true
		s.leave.set(true, now)
		m.leaving[u] = s
		m.grants.dirty = true
	}
}

// condemned reports whether units are left that the table must take away. Until
// then the target counts as ended even if it has recovered: the coordinator may
// have missed the first reports, and nobody else can use the units.
func (m *Machine) condemned() bool {
	for _, s := range m.units {
		if s.condemned {
			return true
		}
	}
	return false
}

// longest is the longest time for which a request runs after its dispatch, on
// this daemon's clock.
func (m *Machine) longest() time.Duration { return stretch(m.cfg.LongestDeadline) }

// stretch returns the own duration after which d has certainly passed on
// another clock.
func stretch(d time.Duration) time.Duration {
	return d * (100 + table.DriftPercent) / 100
}

// shrink returns the own duration during which d has certainly not passed on
// another clock.
func shrink(d time.Duration) time.Duration {
	return d * (100 - table.DriftPercent) / 100
}
