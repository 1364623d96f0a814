// Package coordinator decides the assignment table. The Machine is pure: it
// takes the stored table, the accepted configuration, reports and fences, and
// proposes the next table. It never assumes that a proposal was stored; its
// owner passes back what the store holds.
package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Times and limits of the coordinator.
const (
	// JoinGrace is how long a coordinator that starts without a table waits for
	// daemons, so that the first table has full voter sets.
	JoinGrace = 700 * time.Millisecond
	// SuspectAfter is how long a member may go without a report before the
	// coordinator asks its voters to fence it.
	SuspectAfter = 1000 * time.Millisecond
	// reportLife is how long a report counts as evidence. It is shorter than
	// the fence of a front and the one of its standby together take, so that a
	// front's report is never used after both have lost their authority.
	reportLife = 750 * time.Millisecond
	// joinLife is how long a request to join counts without being repeated.
	joinLife = 1500 * time.Millisecond
	// idleInterval is how often Propose is due although nothing was reported,
	// for what only time changes. A proposal reads the whole table.
	idleInterval = table.HeartbeatInterval
	// MinPlanInterval paces the moves that only improve the balance.
	MinPlanInterval = 2 * time.Second
	// maxFrontMoves is the number of targets whose front moves at one time.
	maxFrontMoves = 8
)

// view is the last report of a member.
type view struct {
	report peer.Report
	at     time.Time
}

// Machine holds what the coordinator knows. The zero value is not usable; use
// New.
type Machine struct {
	term    int64
	started time.Time
	config  *manifest.Accepted
	stored  *table.Table
	views   map[table.MemberID]view
	fenced  map[table.MemberID]bool
	leaving map[string]bool
	// marks hold the revision of the stored table in which a pending change
	// was first seen. A release counts once front and standby hold it.
	marks    map[mark]uint64
	lastPlan map[string]time.Time
	requests []moveRequest // at most MaxRequests
	hot      map[string]*hotState
	dirty    bool // something was learnt since the last proposal
	proposed time.Time
}

// markKind is the kind of a pending change.
type markKind uint8

const (
	markLost markKind = iota
	markNextStandby
	markMove
	markSplit
)

// mark names a pending change of a target or of one unit.
type mark struct {
	kind    markKind
	service string
	target  string
	unit    table.Unit
}

// New returns the machine of a coordinator whose term began at now.
func New(term int64, now time.Time) *Machine {
	return &Machine{
		term:     term,
		started:  now,
		views:    make(map[table.MemberID]view),
		fenced:   make(map[table.MemberID]bool),
		leaving:  make(map[string]bool),
		marks:    make(map[mark]uint64),
		lastPlan: make(map[string]time.Time),
		hot:      make(map[string]*hotState),
	}
}

// SetConfig tells the machine the accepted configuration. Lower revisions than
// the known one are ignored.
func (m *Machine) SetConfig(c *manifest.Accepted) {
	if m.config == nil || c.Revision > m.config.Revision {
		m.config = c
		m.dirty = true
	}
}

// SetStored tells the machine the stored table. Lower revisions than the known
// one are ignored, since a store may answer from an old state.
func (m *Machine) SetStored(t *table.Table) {
	if t == nil || (m.stored != nil && t.Revision <= m.stored.Revision) {
		return
	}
	m.stored = t
	m.dirty = true
	m.updateMarks()
}

// Stored returns the last known stored table, or nil.
func (m *Machine) Stored() *table.Table { return m.stored }

// Report takes a member's report. Reports that arrive out of order are ignored.
func (m *Machine) Report(r peer.Report, now time.Time) {
	v, known := m.views[r.From]
	if known && v.report.Sequence >= r.Sequence {
		return
	}
	m.dirty = m.dirty || !known || !sameNews(v.report, r)
	m.views[r.From] = view{report: r, at: now}
	for _, id := range r.Fenced {
		m.fenced[id] = true
	}
}

// sameNews reports whether a report says nothing new but its loads, on which
// decisions are made at intervals.
func sameNews(a, b peer.Report) bool {
	if a.Revisions != b.Revisions || a.Leaving != b.Leaving || !slices.Equal(a.Fenced, b.Fenced) {
		return false
	}
	return slices.EqualFunc(a.Targets, b.Targets, func(x, y peer.TargetReport) bool {
		return x.Service == y.Service && x.Target == y.Target && x.Epoch == y.Epoch && x.Health == y.Health &&
			x.ReleasedFront == y.ReleasedFront && slices.Equal(x.ReleasedShards, y.ReleasedShards) &&
			slices.Equal(x.ReleasedHot, y.ReleasedHot)
	})
}

// Due reports whether Propose may have something new to say: something was
// learnt since the last proposal, or the idle interval is over.
func (m *Machine) Due(now time.Time) bool {
	return m.dirty || now.Sub(m.proposed) >= idleInterval
}

// Wake makes Propose due, since the last proposal was not stored.
func (m *Machine) Wake() { m.dirty = true }

// Fenced tells the machine that a majority of a member's voters has agreed to
// fence it.
func (m *Machine) Fenced(id table.MemberID) {
	m.dirty = m.dirty || !m.fenced[id]
	m.fenced[id] = true
}

// SetLeaving tells the machine which daemons the platform lists as leaving.
func (m *Machine) SetLeaving(daemons []string) {
	m.leaving = make(map[string]bool, len(daemons))
	for _, d := range daemons {
		m.leaving[d] = true
	}
}

// Suspects returns the members without a recent report, which should be fenced.
func (m *Machine) Suspects(now time.Time) []table.Member {
	if m.stored == nil {
		return nil
	}
	var out []table.Member
	for _, member := range m.stored.Members {
		last := m.started
		if v, ok := m.views[member.ID]; ok {
			last = v.at
		}
		if !m.fenced[member.ID] && now.Sub(last) > SuspectAfter {
			out = append(out, member)
		}
	}
	return out
}

// Propose returns the next table, or nil if nothing is to change. operation
// identifies the write, so that its author can recognize it when the store's
// answer is lost.
func (m *Machine) Propose(operation string, now time.Time) *table.Table {
	if m.config == nil || (m.stored == nil && now.Sub(m.started) < JoinGrace) {
		return nil
	}
	m.dirty, m.proposed = false, now
	b := m.newBuild(now)
	b.reconcileConfig()
	b.removeFenced()
	b.admitJoins()
	b.removeLeft()
	b.recordSuccessions()
	b.updateTargetStates()
	b.finishFrontReleases()
	b.assignFronts()
	b.finishMoves()
	b.placeShards()
	if !b.changed {
		return nil
	}
	b.next.Revision++
	b.next.Term = m.term
	b.next.Operation = operation
	b.next.Config = m.config.Revision
	return b.next
}

// build is one run of Propose: next is the table in the making.
type build struct {
	*Machine
	now     time.Time
	next    *table.Table
	changed bool
}

func (m *Machine) newBuild(now time.Time) *build {
	b := &build{Machine: m, now: now}
	if m.stored == nil {
		b.next = &table.Table{}
		b.changed = true
	} else {
		b.next = m.stored.Clone()
		b.changed = m.stored.Config != m.config.Revision
	}
	return b
}

// unitEpoch is the epoch of units that get a new owner by this table. Table
// revisions only grow, so it is higher than every earlier epoch of the unit,
// also of one that was removed and declared again.
func (b *build) unitEpoch() uint32 { return uint32(b.next.Revision + 1) }

// frontEpochShift leaves room for successions between two table revisions.
const frontEpochShift = 16

// freshFrontEpoch is a front epoch above all that may have been used: e by the
// front and e+1 by its standby, or any of a target removed earlier.
func (b *build) freshFrontEpoch(e uint64) uint64 {
	return max(e+2, (b.next.Revision+1)<<frontEpochShift)
}

// targetReport returns the last report of a member on a target.
func (m *Machine) targetReport(id table.MemberID, service, target string) (peer.TargetReport, view, bool) {
	v, ok := m.views[id]
	if !ok {
		return peer.TargetReport{}, view{}, false
	}
	for _, r := range v.report.Targets {
		if r.Service == service && r.Target == target {
			return r, v, true
		}
	}
	return peer.TargetReport{}, v, false
}

// frontReport returns the front's last report on the target, if it was made
// under the target's present epoch.
func (b *build) frontReport(service string, t table.Target) (peer.TargetReport, view, bool) {
	r, v, ok := b.targetReport(t.Front, service, t.Name)
	if !ok || r.Epoch != t.Epoch || !b.fresh(v) {
		return peer.TargetReport{}, view{}, false
	}
	return r, v, true
}

func (b *build) fresh(v view) bool { return b.now.Sub(v.at) < reportLife }

// standbyHolds reports whether the target's standby holds at least the
// revision and has not succeeded the front. From then on a succession happens
// under that revision. Without it, the standby could succeed under an older
// table and grant what the front has given up.
func (b *build) standbyHolds(service string, t table.Target, revision uint64) bool {
	if t.Standby == "" || b.fenced[t.Standby] {
		return true
	}
	r, v, fronted := b.targetReport(t.Standby, service, t.Name)
	if v.report.From == "" || !b.fresh(v) || v.report.Revisions.Table < revision {
		return false
	}
	return !fronted || r.Epoch <= t.Epoch
}

// updateMarks notes the revision in which each pending change first appears
// and forgets those that are gone.
func (m *Machine) updateMarks() {
	marks := make(map[mark]uint64)
	note := func(k mark) {
		if r, ok := m.marks[k]; ok {
			marks[k] = r
			return
		}
		marks[k] = m.stored.Revision
	}
	for i := range m.stored.Services {
		noteService(&m.stored.Services[i], note)
	}
	m.marks = marks
}

func noteService(s *table.Service, note func(mark)) {
	for _, t := range s.Targets {
		if t.State == table.TargetLost {
			note(mark{kind: markLost, service: s.Name, target: t.Name})
		}
		if t.Next != "" {
			note(mark{kind: markNextStandby, service: s.Name, target: t.Name})
		}
	}
	for _, mv := range s.Moves {
		note(moveMark(s.Name, table.Unit{Shard: mv.Shard}))
	}
	for _, o := range s.Overrides {
		unit := table.Unit{Hash: o.Hash, Hot: true}
		note(mark{kind: markSplit, service: s.Name, unit: unit})
		if o.To != table.NoOwner {
			note(moveMark(s.Name, unit))
		}
	}
}

func moveMark(service string, unit table.Unit) mark {
	return mark{kind: markMove, service: service, unit: unit}
}

// Forget drops what is known of members that are neither in the stored table
// nor asking to join. Fences of removed members are kept until then.
func (m *Machine) Forget(now time.Time) {
	maps.DeleteFunc(m.views, func(id table.MemberID, v view) bool {
		return !m.isMember(id) && now.Sub(v.at) > joinLife
	})
}

func (m *Machine) isMember(id table.MemberID) bool {
	if m.stored == nil {
		return false
	}
	return slices.ContainsFunc(m.stored.Members, func(x table.Member) bool { return x.ID == id })
}
