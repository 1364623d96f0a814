package front

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Result is how a dispatched request ended.
type Result uint8

// Results of a request.
const (
	// Success is a complete response.
	Success Result = iota
	// Failure is a complete response that reports an error of the target.
	Failure
	// Broken is a connection lost after sending. The request may still run.
	Broken
	// Silent is no response in time. The request may still run.
	Silent
	// Refused is a refused connection. Nothing was sent.
	Refused
	// Rejected is a response by which the target says that it did not run
	// the request, such as for a missing grant or for load.
	Rejected
	// Cancelled is a request given up for the caller's sake. It may still
	// run, and says nothing about the target.
	Cancelled
)

// mayRun reports whether the request may still run at the target.
func (r Result) mayRun() bool { return r == Broken || r == Silent || r == Cancelled }

// failed reports whether the result shows that the target cannot be reached.
func (r Result) failed() bool {
	return r == Broken || r == Silent || r == Refused
}

// Token names one dispatched request.
type Token uint64

type run struct {
	unit table.Unit
	at   time.Time
}

// runs keeps which requests run, and until when ended ones may still run.
type runs struct {
	last  Token
	open  map[Token]run
	count map[table.Unit]int
	quiet map[table.Unit]time.Time
}

func newRuns() runs {
	return runs{
		open:  make(map[Token]run),
		count: make(map[table.Unit]int),
		quiet: make(map[table.Unit]time.Time),
	}
}

// idle reports whether no request of the unit can run at now.
func (r *runs) idle(u table.Unit, now time.Time) bool {
	return r.count[u] == 0 && !now.Before(r.quiet[u])
}

// allIdle reports whether no request can run at now.
func (r *runs) allIdle(now time.Time) bool {
	r.prune(now)
	return len(r.open) == 0 && len(r.quiet) == 0
}

// prune forgets ended requests that can no longer run.
func (r *runs) prune(now time.Time) {
	for u, until := range r.quiet {
		if !now.Before(until) {
			delete(r.quiet, u)
		}
	}
}

// merge counts the requests of one unit as another's.
func (r *runs) merge(from, to table.Unit) {
	for t, open := range r.open {
		if open.unit == from {
			open.unit = to
			r.open[t] = open
		}
	}
	r.count[to] += r.count[from]
	if r.count[to] == 0 {
		delete(r.count, to)
	}
	delete(r.count, from)
	r.extend(to, r.quiet[from])
	delete(r.quiet, from)
}

// inherit makes a new unit wait for the requests that may run as its parent's.
func (r *runs) inherit(u, parent table.Unit, longest time.Duration, now time.Time) {
	r.extend(u, r.quiet[parent])
	if r.count[parent] > 0 {
		r.extend(u, now.Add(longest))
	}
}

func (r *runs) extend(u table.Unit, until time.Time) {
	if until.After(r.quiet[u]) {
		r.quiet[u] = until
	}
}

// CanDispatch reports why a request of the unit must not be sent now, or nil.
// AuthorityUntil is the present end of the daemon's serving lease. The caller
// sends at once; use Begin if another call may come between.
func (m *Machine) CanDispatch(u table.Unit, now, authorityUntil time.Time) error {
	s := m.units[u]
	switch {
	case authorityUntil.Sub(now) < table.AuthorityReserve:
		return ErrNoAuthority
	case !m.front || m.superseded || s == nil:
		return ErrNotOwner
	case m.release.on || s.dead:
		return ErrReleased
	case s.leave.on || s.dropped:
		return ErrMoving
	case m.health.lost():
		return ErrTargetLost
	case m.health.drained(now):
		return ErrDraining
	case m.cfg.ChecksGrants && !m.grants.valid(u, s.epoch, now):
		return ErrNotGranted
	}
	return nil
}

// Begin checks as CanDispatch does and counts the request as started, in one
// step: no release can come between the check and the count.
func (m *Machine) Begin(u table.Unit, now, authorityUntil time.Time) (Token, error) {
	if err := m.CanDispatch(u, now, authorityUntil); err != nil {
		return 0, err
	}
	return m.Started(u, now), nil
}

// Epochs returns the front epoch and the unit's epoch for a request's headers.
func (m *Machine) Epochs(u table.Unit) (front uint64, unit uint32) {
	if s := m.units[u]; s != nil {
		unit = s.epoch
	}
	return m.epoch, unit
}

// Started counts a request of the unit as running from now.
func (m *Machine) Started(u table.Unit, now time.Time) Token {
	m.runs.last++
	m.runs.open[m.runs.last] = run{unit: u, at: now}
	m.runs.count[u]++
	return m.runs.last
}

// Ended counts a request as ended. A second call for a token has no effect.
func (m *Machine) Ended(t Token, result Result, now time.Time) {
	r, ok := m.runs.open[t]
	if !ok {
		return
	}
	delete(m.runs.open, t)
	m.runs.count[r.unit]--
	if m.runs.count[r.unit] == 0 {
		delete(m.runs.count, r.unit)
	}
	if until := r.at.Add(m.longest()); result.mayRun() && until.After(m.runs.quiet[r.unit]) {
		m.runs.quiet[r.unit] = until
	}
	m.evidence(r, result, now)
}

// Running returns the number of requests that have started and not ended.
func (m *Machine) Running() int { return len(m.runs.open) }

// evidence judges the target by a result. A request from before a loss of the
// target or a pause of this daemon says nothing about its present state.
func (m *Machine) evidence(r run, result Result, now time.Time) {
	if !m.front || m.health.lost() || m.paused(now) || r.at.Before(m.health.at) {
		return
	}
	switch {
	case result == Success:
		m.health.succeeded()
	case result == Failure:
		m.health.failWithResponse(now)
	case result.failed():
		m.health.fail(now)
	}
}
