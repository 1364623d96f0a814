// Package ownership decides which target owns which keys of a service, and renews the
// owners' grants.
//
// An Engine runs in the daemon that holds the coordinator's lease. It does no I/O and
// reads no clock: time, registrations and results of calls are arguments, and the calls
// and writes to be made are returned as Actions. Two rules prevent a key from having two
// owners. A span is assigned to a new owner only after the previous owner has confirmed
// its release or every grant sent to that owner has expired. And a new owner is written
// to the store, with a higher fence, before it gets its first grant.
package ownership

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Times and limits of grants.
const (
	// DefaultRenewInterval leaves time for two more attempts before a grant of
	// DefaultGrantDuration expires.
	DefaultRenewInterval = 1000 * time.Millisecond
	// DefaultGrantDuration is the duration of grants while the store is reachable. It
	// bounds how long the keys of an unresponsive target have no owner, and is long
	// enough to outlast a change of the coordinator.
	DefaultGrantDuration = 3500 * time.Millisecond
	// defaultUnresponsiveTimeout is the default of Config.UnresponsiveTimeout.
	defaultUnresponsiveTimeout = 2 * time.Second
	// maxClockDrift is the fraction by which a target's clock may run slow.
	maxClockDrift = 0.02
	// deliveryAllowance is added to the expiry of a grant whose duration counts from its
	// arrival. It covers the time that the grant takes to reach the target.
	deliveryAllowance = 250 * time.Millisecond
	// callRetryDelay is the delay before a failed grant or release is sent again.
	callRetryDelay = 200 * time.Millisecond
	// writeRetryDelay is the delay after a failed write of the table. The store charges
	// for refused calls.
	writeRetryDelay = 200 * time.Millisecond
	// unresponsiveCalls is the number of consecutive unanswered grants after which a
	// target may lose its keys. A single unanswered grant does not suffice, because an
	// answer can be lost. unresponsiveExclusion is how long the target is then not
	// eligible for keys.
	unresponsiveCalls     = 3
	unresponsiveExclusion = 4 * time.Second
	// maxCallTime is the longest time that a call may be in flight, including calls that
	// an earlier coordinator had in flight when its lease ended.
	maxCallTime = time.Second
	// minGrantDuration is the shortest grant that is sent to a target that did not
	// answer the previous grant.
	minGrantDuration = 400 * time.Millisecond
	// maxReleasesPerTarget bounds the releases in flight to one target.
	maxReleasesPerTarget = 5
)

// Target is a target that may own keys.
type Target struct {
	Incarnation target.Incarnation
	// Capacity is the relative amount of work that the target takes.
	Capacity float64
	// MaxRate is the number of requests per second that the target may be expected to get, below
	// what follows from its capacity; 0 means no limit.
	MaxRate float64
	// Leaving targets give up their keys and get no new ones.
	Leaving bool
}

// Grant is a call that grants keys to a target or renews its grant.
type Grant struct {
	// ID identifies the call.
	ID       uint64
	Span     ranges.Span
	Duration time.Duration
	Handover string
}

// Release is a call that asks the owner of a span to release its keys.
type Release struct{ Span ranges.Span }

// Actions are the calls to be made and the table to be written.
type Actions struct {
	Grants   []Grant
	Releases []Release
	// Table is the table to be written to the store, or nil. No other table is returned
	// before HandleWriteResult is called.
	Table *ranges.Table
}

// phase is the state of a span's assignment.
type phase uint8

const (
	// phaseGranted: the owner's grant is renewed periodically.
	phaseGranted phase = iota
	// phaseReleasing: the span becomes free when the owner has released it or when all
	// grants for it have expired.
	phaseReleasing
	// phaseFree: no target holds the span.
	phaseFree
)

// spanState is the coordinator's state of one span.
type spanState struct {
	span  ranges.Span
	phase phase
	// expiresAt is when all grants sent for the span have expired, except for the grant
	// in flight.
	expiresAt time.Duration
	// unansweredExpiresAt is when all grants without an answer have expired. Such a grant
	// may take effect after a release.
	unansweredExpiresAt time.Duration
	// lowerFenceExpiresAt is when all grants without an answer under lower fences have
	// expired. Such grants have no effect after the owner has confirmed the span's
	// fence, because the owner then refuses lower fences.
	lowerFenceExpiresAt time.Duration
	renewAt             time.Duration
	// pendingGrant is the ID of the grant in flight, or 0, and pendingDuration its
	// duration. The parts of a split span share the grant in flight.
	pendingGrant    uint64
	pendingDuration time.Duration
	// releasePending reports whether a release is in flight.
	releasePending bool
	sentAt         time.Duration
	confirmed      bool // the owner has confirmed a grant of this coordinator
	released       bool
	handover       string
	// nextOwner is the ID of the target that a planned move leads to. If it is empty, or
	// the target is not eligible, assign chooses another target.
	nextOwner string
	// inherited spans were assigned by an earlier coordinator, under a table that was
	// replaced, or to an earlier incarnation of the owner. Parts of an inherited span may
	// have been released, and a target does not accept released keys again under the
	// same fence, so the span needs a new fence.
	inherited bool
}

// Engine assigns the keys of one service. It is not safe for concurrent use.
type Engine struct {
	config Config
	table  ranges.Table
	spans  []*spanState
	// targets have capacities that are lowered to their maximum rates.
	targets          map[string]Target
	capacities       map[string]float64 // as set, by target ID
	load             keyLoads
	pending          *ranges.Table
	pendingHandovers map[keyRange]string // handover data for the owners in the pending table
	plannedAt        time.Duration       // time of the last load balancing
	nextWriteAt      time.Duration       // no table is returned before this time
	// answered holds the targets that have answered a grant.
	answered map[target.Incarnation]bool
	// failures counts the consecutive grants that a target did not answer. unresponsive
	// is when a target last lost its keys because of such failures.
	failures      map[target.Incarnation]failureStreak
	unresponsive  map[target.Incarnation]time.Duration
	firstTargetAt time.Duration // when the first target registered
	extended      bool
	noBalancing   bool
	movedAway     map[string]time.Duration // when a hot run was last moved away, by target ID
	lastCallID    uint64
	pins          []pin
	// lowestFence, idleUntil and rewriting are set after the store was restored from a copy; see
	// NewAfterLoss and RewriteAfterLoss.
	lowestFence uint64
	idleUntil   time.Duration
	rewriting   bool
}

// failureStreak counts the consecutive unanswered grants to a target. since is the time of
// the target's last answer, or of the first failure if the target has never answered.
type failureStreak struct {
	count int
	since time.Duration
}

// keyRange identifies a span in the pending table. Both keys are included.
type keyRange struct{ from, to uint16 }

// Config holds the times of grants and the properties of the protocol with the targets.
type Config struct {
	// MaxGrantDuration is the longest grant that targets accept.
	MaxGrantDuration time.Duration
	// GrantDuration is the duration of grants while the store is reachable; zero means
	// DefaultGrantDuration.
	GrantDuration time.Duration
	// RenewInterval is the time between grants of a span; zero means
	// DefaultRenewInterval.
	RenewInterval time.Duration
	// UnresponsiveTimeout is the time since the last answer of a target after which the
	// target loses its keys if unresponsiveCalls grants in a row were not answered; zero
	// means two seconds.
	UnresponsiveTimeout time.Duration
	// AbsoluteExpiry reports whether a grant expires at a fixed time on the target's
	// clock. A delayed grant then lasts no longer than a grant that arrived at once.
	AbsoluteExpiry bool
	// GrantsNameIncarnation reports whether grants name the incarnation of a target.
	// Otherwise a target that has restarted under its ID accepts grants for its last
	// incarnation.
	GrantsNameIncarnation bool
	// HigherFenceSupersedes reports whether a grant under a higher fence replaces all
	// earlier grants, including longer ones.
	HigherFenceSupersedes bool
}

// New returns an Engine that takes over the table at time now. Earlier coordinators may
// have sent grants until then.
func New(c Config, table ranges.Table, now time.Duration) *Engine {
	e := &Engine{
		config: c.withDefaults(), targets: make(map[string]Target),
		movedAway: make(map[string]time.Duration),
		load:      keyLoads{decayedAt: now}, pendingHandovers: make(map[keyRange]string),
		answered: make(map[target.Incarnation]bool), failures: make(map[target.Incarnation]failureStreak), unresponsive: make(map[target.Incarnation]time.Duration),
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
		c.UnresponsiveTimeout = defaultUnresponsiveTimeout
	}
	return c
}

// latestExpiry returns the latest time at which a grant of duration d can expire if the
// grant was sent at the time sent and arrived no later than the time arrived.
func (c Config) latestExpiry(sent, arrived, d time.Duration) time.Duration {
	slow := d + time.Duration(float64(d)*maxClockDrift)
	if c.AbsoluteExpiry {
		return sent + slow
	}
	return arrived + slow + deliveryAllowance
}

// Table returns the table that was last written or adopted.
func (e *Engine) Table() ranges.Table { return e.table }

// SetTargets replaces the targets of the service.
func (e *Engine) SetTargets(list []Target, now time.Duration) {
	e.targets = make(map[string]Target, len(list))
	e.capacities = make(map[string]float64, len(list))
	if len(list) > 0 && e.firstTargetAt == 0 {
		e.firstTargetAt = now
	}
	for _, t := range list {
		e.targets[t.Incarnation.ID] = t
		e.capacities[t.Incarnation.ID] = t.Capacity
	}
	e.forgetAnswers()
}

// ExtendGrants switches between grants of the maximum and of the normal duration. The
// switch to the maximum renews all grants at once. The maximum duration is for a time in
// which renewing the coordinator's lease may fail.
func (e *Engine) ExtendGrants(on bool, now time.Duration) {
	if on && !e.extended {
		for _, h := range e.spans {
			h.renewAt = now
		}
	}
	e.extended = on
}

// SetBalancing switches load balancing on or off. It is off while the store does not serve its
// current state: other daemons would not learn of the new owners and send to the former ones.
// Keys of targets that leave or are lost move nevertheless.
func (e *Engine) SetBalancing(on bool) { e.noBalancing = !on }

// Tick returns the actions that are due at time now.
func (e *Engine) Tick(now time.Duration) Actions {
	e.decayLoad(now)
	e.limitUnproven()
	e.limitCapacities()
	switch {
	case now < e.idleUntil: // a table written now would tell other coordinators that all grants are known
		return Actions{}
	case e.rewriting:
		return e.rewriteTable(now)
	}
	e.plan(now)
	var a Actions
	for _, h := range e.spans {
		switch h.phase {
		case phaseGranted:
			e.renew(h, now, &a)
		case phaseReleasing:
			e.reclaim(h, now, &a)
		case phaseFree:
		}
	}
	if e.pending == nil && now >= e.nextWriteAt {
		a.Table = e.assign(now)
		e.pending = a.Table
	}
	return a
}

// renew adds a grant if one is due.
func (e *Engine) renew(h *spanState, now time.Duration, a *Actions) {
	if h.pendingGrant != 0 || now < h.renewAt || h.inherited {
		return // inherited spans get a fence of this coordinator first
	}
	duration := e.grantDuration()
	if now < h.expiresAt && h.confirmed && e.failures[h.span.Incarnation()].count > 0 {
		duration = min(duration, e.config.durationWithin(h.expiresAt, now))
		if duration < minGrantDuration {
			h.renewAt = now + callRetryDelay
			return
		}
	}
	e.lastCallID++
	h.pendingGrant, h.pendingDuration, h.sentAt = e.lastCallID, duration, now
	a.Grants = append(a.Grants, Grant{ID: e.lastCallID, Span: h.span, Duration: duration, Handover: h.handover})
}

// durationWithin returns the longest duration of a grant sent now that expires no later
// than the time until, at which the grants already sent have expired. A target that does
// not answer gets no grant that expires later, because such a grant would delay the time
// at which the target's keys can be assigned to others.
func (c Config) durationWithin(until, now time.Duration) time.Duration {
	remaining := until - now
	if !c.AbsoluteExpiry {
		remaining -= maxCallTime + deliveryAllowance
	}
	return time.Duration(float64(remaining) / (1 + maxClockDrift))
}

// reclaim frees a span that no target can hold any longer, or adds a release. No release
// is added while a grant is in flight, because the grant could arrive after the release.
func (e *Engine) reclaim(h *spanState, now time.Duration, a *Actions) {
	switch {
	case h.pendingGrant != 0:
	case now >= h.expiresAt, h.released && now >= max(h.unansweredExpiresAt, h.lowerFenceExpiresAt):
		h.phase = phaseFree
	case !h.releasePending && !h.released && now >= h.renewAt && e.pendingReleases(h.span.Owner) < maxReleasesPerTarget:
		h.releasePending, h.sentAt = true, now
		a.Releases = append(a.Releases, Release{h.span})
	}
}

// pendingReleases returns the number of releases in flight to a target.
func (e *Engine) pendingReleases(owner string) int {
	n := 0
	for _, h := range e.spans {
		if h.releasePending && h.span.Owner == owner {
			n++
		}
	}
	return n
}

func (e *Engine) grantDuration() time.Duration {
	if e.extended {
		return e.config.MaxGrantDuration
	}
	return min(e.config.GrantDuration, e.config.MaxGrantDuration)
}

// eligible reports whether keys may be assigned to a target.
func (e *Engine) eligible(t Target) bool {
	if t.Leaving || t.Capacity <= 0 {
		return false
	}
	since, unresponsive := e.unresponsive[t.Incarnation]
	return !unresponsive || e.load.decayedAt > since+unresponsiveExclusion
}

// findSpan returns the state of exactly this span, or nil.
func (e *Engine) findSpan(s ranges.Span) *spanState {
	for _, h := range e.spans {
		if h.span == s {
			return h
		}
	}
	return nil
}
