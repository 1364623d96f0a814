// Package ownership decides which target owns which keys, and keeps the owners'
// grants alive.
//
// An Engine runs in the one daemon that holds the coordinator's lease. It is
// pure: time, registrations and results of calls are arguments, and what it
// wants done is returned as actions. Two rules keep a key from having two
// owners. A span is given to a new owner only once the last one has confirmed
// its release or every grant sent to it has run out. And a new owner is written
// to the store, with a higher fence, before it gets its first grant.
package ownership

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Times of grants.
const (
	// DefaultRenewInterval leaves two more attempts before a grant of HoldNormal runs out.
	DefaultRenewInterval = 1000 * time.Millisecond
	// DefaultGrantDuration is the duration of grants while the store can be reached. It
	// bounds how long the keys of a target that fell silent have no owner, and
	// outlasts the change of the coordinator.
	DefaultGrantDuration = 3500 * time.Millisecond
	// silentFor is the time since its last answer after which a target may lose its
	// keys, in place of Config.SilentFor.
	silentFor = 2 * time.Second
	// clockSlack is the share by which a target's clock may run slow.
	clockSlack = 0.02
	// arrivalSlack covers the time that a grant travels.
	arrivalSlack = 250 * time.Millisecond
	// retryEvery is the pause after a grant that failed.
	retryEvery = 200 * time.Millisecond
	// writeAgain is the pause after a table that was not written. Refused calls to
	// the store are charged for.
	writeAgain = 200 * time.Millisecond
	// silentCalls is the number of unanswered grants in a row after which a target
	// may lose its keys, and silentTime is how long it is given none then. Single
	// answers get lost.
	silentCalls = 3
	silentTime  = 4 * time.Second
	// callTime is the longest time that a call may be on its way, also one of an
	// earlier coordinator when its lease ended.
	callTime = time.Second
	// leastHold is the shortest grant that is worth sending to a target that did
	// not answer.
	leastHold = 400 * time.Millisecond
	// releasesAtOnce bounds the releases that one target works on.
	releasesAtOnce = 5
)

// Target is a target that may own keys.
type Target struct {
	Incarnation target.Incarnation
	// Capacity is the relative amount of work that the target takes.
	Capacity float64
	// Leaving targets give up their keys.
	Leaving bool
}

// Grant asks for keys to be given to a target, or for that to be renewed.
type Grant struct {
	// ID names the call.
	ID       uint64
	Span     ranges.Span
	Duration time.Duration
	Handover string
}

// Release asks for keys to be taken back from their owner.
type Release struct{ Span ranges.Span }

// Actions are what an Engine wants done.
type Actions struct {
	Grants   []Grant
	Releases []Release
	// Table is to be written to the store if not nil. Until Written is called
	// no other is returned.
	Table *ranges.Table
}

// phase is what becomes of a span at present.
type phase uint8

const (
	// holding: the owner is granted the span again and again.
	holding phase = iota
	// releasing: the owner was asked to give the span up.
	releasing
	// free: nobody holds the span.
	free
)

// hold is the coordinator's knowledge of one span.
type hold struct {
	span  ranges.Span
	phase phase
	// until is when every grant sent for the span has run out, but for the one
	// that is on its way.
	until time.Duration
	// unanswered is when the grants without an answer have run out. They can
	// take effect after a release.
	unanswered time.Duration
	// earlier is the same for grants under lower fences. They have no effect once
	// the owner has confirmed the span's fence, as it refuses lower ones.
	earlier time.Duration
	renewAt time.Duration
	// grant is the grant on its way, or 0, and length its duration. Parts of a span
	// share it.
	grant  uint64
	length time.Duration
	// releasing tells that a release is on its way.
	releasing bool
	sentAt    time.Duration
	granted   bool // the owner has confirmed a grant of this coordinator
	released  bool
	handover  string
	// next is the target that a planned move leads to; empty lets plan choose.
	next string
	// inherited spans were assigned by an earlier coordinator, under a table that was
	// replaced, or to an earlier life of the owner. Parts of them may have been
	// released, and a target does not take those again under the same fence, so they
	// need a new one.
	inherited bool
}

// Engine decides for one service.
type Engine struct {
	config  Config
	table   ranges.Table
	holds   []*hold
	targets map[string]Target
	load    loads
	pending *ranges.Table
	claims  map[claim]string // handovers of keys about to be given
	planAt  time.Duration
	writeAt time.Duration // no table is returned before
	// failures are the grants in a row that a target did not answer; silent is when
	// it was last given up for that.
	failures map[target.Incarnation]failures
	silent   map[target.Incarnation]time.Duration
	firstAt  time.Duration // when the first target was seen
	longest  bool
	calls    uint64
	pins     []pin
}

// failures counts the grants to a target that were not answered since a time.
type failures struct {
	count int
	since time.Duration
}

// claim names a span that is being written for a new owner.
type claim struct{ from, to uint16 }

// Config holds the times of grants.
type Config struct {
	// MaxGrantDuration is the longest grant that targets accept.
	MaxGrantDuration time.Duration
	// GrantDuration is the duration of grants while the store can be reached; zero means
	// HoldNormal.
	GrantDuration time.Duration
	// RenewInterval is the pause between grants of a span; zero means RenewInterval.
	RenewInterval time.Duration
	// UnresponsiveTimeout is the time since its last answer after which a target loses its
	// keys; zero means two seconds.
	UnresponsiveTimeout time.Duration
	// AbsoluteExpiry tells that a grant ends at a time on the target's clock. One that
	// takes effect late then lasts no longer than one that arrived at once.
	AbsoluteExpiry bool
	// NamesLife tells that grants name the life of a target. Otherwise one that has
	// started anew under its ID takes those that were meant for the life before.
	NamesLife bool
	// HigherFenceSupersedes tells that a grant under a higher fence takes the place of those
	// before, also of longer ones.
	HigherFenceSupersedes bool
}

// New returns an Engine that takes over a table at a time. Earlier coordinators
// may have sent grants up to that time.
func New(c Config, table ranges.Table, now time.Duration) *Engine {
	e := &Engine{
		config: c.withDefaults(), targets: make(map[string]Target),
		load: loads{aged: now}, claims: make(map[claim]string),
		failures: make(map[target.Incarnation]failures), silent: make(map[target.Incarnation]time.Duration),
	}
	e.adopt(table, now)
	return e
}

func (c Config) withDefaults() Config {
	if c.GrantDuration == 0 {
		c.GrantDuration = DefaultGrantDuration
	}
	if c.RenewInterval == 0 {
		c.RenewInterval = DefaultRenewInterval
	}
	if c.UnresponsiveTimeout == 0 {
		c.UnresponsiveTimeout = silentFor
	}
	return c
}

// end is the latest end of a grant that was sent at a time and has arrived by
// another.
func (c Config) end(sent, arrived, d time.Duration) time.Duration {
	slow := d + time.Duration(float64(d)*clockSlack)
	if c.AbsoluteExpiry {
		return sent + slow
	}
	return arrived + slow + arrivalSlack
}

// Table returns the table as it was last written.
func (e *Engine) Table() ranges.Table { return e.table }

// SetTargets replaces the targets of the service.
func (e *Engine) SetTargets(list []Target, now time.Duration) {
	e.targets = make(map[string]Target, len(list))
	if len(list) > 0 && e.firstAt == 0 {
		e.firstAt = now
	}
	for _, t := range list {
		e.targets[t.Incarnation.ID] = t
	}
}

// ExtendGrants makes all grants as long as targets accept, for a time in which
// the coordinator's lease may not be renewed.
func (e *Engine) ExtendGrants(on bool, now time.Duration) {
	if on && !e.longest {
		for _, h := range e.holds {
			h.renewAt = now
		}
	}
	e.longest = on
}

// Tick returns what is to be done at a time.
func (e *Engine) Tick(now time.Duration) Actions {
	e.decay(now)
	e.plan(now)
	var a Actions
	for _, h := range e.holds {
		switch h.phase {
		case holding:
			e.renew(h, now, &a)
		case releasing:
			e.takeUp(h, now, &a)
		case free:
		}
	}
	if e.pending == nil && now >= e.writeAt {
		a.Table = e.assign(now)
		e.pending = a.Table
	}
	return a
}

// renew sends a grant that is due.
func (e *Engine) renew(h *hold, now time.Duration, a *Actions) {
	if h.grant != 0 || now < h.renewAt || h.inherited {
		return // inherited spans get a fence of this coordinator first
	}
	length := e.holdTime()
	if now < h.until && h.granted && e.failures[h.span.Incarnation()].count > 0 {
		length = min(length, e.config.within(h.until, now))
		if length < leastHold {
			h.renewAt = now + retryEvery
			return
		}
	}
	e.calls++
	h.grant, h.length, h.sentAt = e.calls, length, now
	a.Grants = append(a.Grants, Grant{ID: e.calls, Span: h.span, Duration: length, Handover: h.handover})
}

// within returns the longest grant that ends before those already sent. A target
// that does not answer is sent no longer one: it would put off the time from which
// others may have the keys.
func (c Config) within(until, now time.Duration) time.Duration {
	left := until - now
	if !c.AbsoluteExpiry {
		left -= callTime + arrivalSlack
	}
	return time.Duration(float64(left) / (1 + clockSlack))
}

// takeUp frees a span that nobody can hold any more, or asks for its release. A
// release waits for the grant on its way, which could arrive after it.
func (e *Engine) takeUp(h *hold, now time.Duration, a *Actions) {
	switch {
	case h.grant != 0:
	case now >= h.until, h.released && now >= max(h.unanswered, h.earlier):
		h.phase = free
	case !h.releasing && !h.released && now >= h.renewAt && e.releases(h.span.Owner) < releasesAtOnce:
		h.releasing, h.sentAt = true, now
		a.Releases = append(a.Releases, Release{h.span})
	}
}

// releases returns the number of releases on their way to a target.
func (e *Engine) releases(owner string) int {
	n := 0
	for _, h := range e.holds {
		if h.releasing && h.span.Owner == owner {
			n++
		}
	}
	return n
}

func (e *Engine) holdTime() time.Duration {
	if e.longest {
		return e.config.MaxGrantDuration
	}
	return min(e.config.GrantDuration, e.config.MaxGrantDuration)
}

// eligible reports whether a target may be given keys.
func (e *Engine) eligible(t Target) bool {
	if t.Leaving || t.Capacity <= 0 {
		return false
	}
	at, silent := e.silent[t.Incarnation]
	return !silent || e.load.aged > at+silentTime
}

// find returns the knowledge of exactly this span.
func (e *Engine) find(s ranges.Span) *hold {
	for _, h := range e.holds {
		if h.span == s {
			return h
		}
	}
	return nil
}
