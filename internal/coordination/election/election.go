// Package election holds the state machine by which a daemon becomes and stays
// the coordinator: it holds a key of the store under a store lease. The
// machine tells which store call is next; its owner makes the call.
package election

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Times of the election.
const (
	// LeaseTTL is the life of the coordinator's store lease. Stores count
	// leases in whole seconds.
	LeaseTTL = 2 * time.Second
	// PollInterval is the time between a candidate's looks at the key.
	PollInterval = time.Second
	// UrgentInterval replaces it while the coordinator does not answer.
	UrgentInterval = 100 * time.Millisecond
	// RenewInterval leaves three attempts within one lease.
	RenewInterval = 500 * time.Millisecond
	// RetryDelay is the wait before a failed renewal or read is repeated.
	RetryDelay = 100 * time.Millisecond
	// CallTimeout bounds each store call. It is short enough for a second
	// attempt within the lease after a call that got no answer.
	CallTimeout = 600 * time.Millisecond
)

// CandidateCount is the number of members that stand for election.
const CandidateCount = 5

// Kind is the kind of a store call.
type Kind uint8

// Store calls.
const (
	// None means that there is nothing to do now.
	None Kind = iota
	// Poll is Get of topo.KeyCoordinator.
	Poll
	// GrantLease is Store.GrantLease with Action.TTL.
	GrantLease
	// Campaign is Store.Commit of Action.Txn.
	Campaign
	// ReadBack is Get of topo.KeyCoordinator after a campaign.
	ReadBack
	// KeepAlive is Store.KeepAlive of Action.Lease.
	KeepAlive
	// Resign is Store.RevokeLease of Action.Lease.
	Resign
)

// String returns the call's name.
func (k Kind) String() string {
	names := [...]string{"none", "poll", "grant lease", "campaign", "read back", "keep alive", "resign"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Action is one store call to make, limited to CallTimeout.
type Action struct {
	Kind  Kind
	Seq   uint64
	TTL   time.Duration
	Lease topo.LeaseID
	Txn   topo.Txn
}

// Result is the outcome of an Action. Lease is set for GrantLease, Entry for
// Poll and ReadBack.
type Result struct {
	Seq   uint64
	Lease topo.LeaseID
	Entry topo.Entry
	Err   error
}

type phase uint8

const (
	following phase = iota
	granting
	campaigning
	reading
	holding
	resigning
)

// Machine is one daemon's part in the election. It has at most one call under
// way and is not safe for concurrent use.
type Machine struct {
	self      table.MemberID
	address   string
	candidate bool
	phase     phase
	nextAt    time.Time
	seq       uint64
	call      Kind
	sentAt    time.Time
	lease     topo.LeaseID
	heldUntil time.Time
	term      int64
}

// New returns a machine of the run self that is a candidate. Peers reach the
// daemon at address.
func New(self table.MemberID, address string) *Machine {
	return &Machine{self: self, address: address, candidate: true}
}

// SetCandidate sets whether the daemon stands for election. A coordinator that
// is no candidate any more keeps the key until it resigns or loses it.
func (m *Machine) SetCandidate(candidate bool) { m.candidate = candidate }

// Hurry makes a candidate's next look at the key due after UrgentInterval, since
// the coordinator does not answer.
func (m *Machine) Hurry(now time.Time) {
	soon := now.Add(UrgentInterval)
	if m.phase == following && m.nextAt.After(soon) {
		m.nextAt = soon
	}
}

// Resign gives the key up: the daemon is not the coordinator from now on, and
// it is a candidate again only after SetCandidate.
func (m *Machine) Resign() {
	m.candidate = false
	if m.lease != 0 {
		m.phase = resigning
		m.nextAt = time.Time{}
	}
}

// IsCoordinator reports whether the daemon certainly holds the key at now.
func (m *Machine) IsCoordinator(now time.Time) bool {
	return m.phase == holding && m.term != 0 && now.Before(m.heldUntil)
}

// Term returns the term that the daemon holds, which is the key's create
// revision, or 0. It is valid only while IsCoordinator.
func (m *Machine) Term() int64 {
	if m.phase != holding {
		return 0
	}
	return m.term
}

// HeldUntil returns the moment until which the store lease certainly lasts.
func (m *Machine) HeldUntil() time.Time { return m.heldUntil }

// Next returns the store call to make now, and counts it as sent at now. While
// a call is under way, it returns None, so every call must be answered by Done.
func (m *Machine) Next(now time.Time) Action {
	if m.call != None || now.Before(m.nextAt) {
		return Action{}
	}
	a := m.action()
	if a.Kind == None {
		return a
	}
	m.seq++
	m.call = a.Kind
	m.sentAt = now
	a.Seq = m.seq
	return a
}

func (m *Machine) action() Action {
	switch m.phase {
	case following:
		if !m.candidate {
			return Action{}
		}
		return Action{Kind: Poll}
	case granting:
		return Action{Kind: GrantLease, TTL: LeaseTTL}
	case campaigning:
		return Action{Kind: Campaign, Txn: m.campaign()}
	case reading:
		return Action{Kind: ReadBack}
	case holding:
		return Action{Kind: KeepAlive, Lease: m.lease}
	case resigning:
		return Action{Kind: Resign, Lease: m.lease}
	}
	return Action{}
}

// value is unique per campaign, since a lease id is.
func (m *Machine) value() string {
	return fmt.Sprintf("%s %s %d", m.self, m.address, m.lease)
}

// Holder returns the run and the address of the coordinator that an entry of
// topo.KeyCoordinator names; ok is false if it names none.
func Holder(e topo.Entry) (run table.MemberID, address string, ok bool) {
	fields := strings.Fields(string(e.Value))
	if !e.Exists() || len(fields) != 3 {
		return "", "", false
	}
	return table.MemberID(fields[0]), fields[1], true
}

func (m *Machine) campaign() topo.Txn {
	return topo.Txn{
		Compares: []topo.Compare{{Key: topo.KeyCoordinator, Field: topo.CompareCreateRev, Rev: 0}},
		Puts:     []topo.Put{{Key: topo.KeyCoordinator, Value: []byte(m.value()), Lease: m.lease}},
	}
}

// Done records the outcome of the call under way. Outcomes of other calls are
// ignored.
func (m *Machine) Done(r Result, now time.Time) {
	if m.call == None || r.Seq != m.seq {
		return
	}
	call := m.call
	m.call = None
	if m.phase == resigning && call != Resign {
		return
	}
	switch call {
	case Poll:
		m.polled(r, now)
	case GrantLease:
		m.granted(r, now)
	case Campaign:
		// The outcome is always read back, which also resolves a lost
		// answer and gives the create revision.
		m.enter(reading, now)
	case ReadBack:
		m.readBack(r, now)
	case KeepAlive:
		m.renewed(r, now)
	case Resign:
		m.follow(now.Add(PollInterval))
	}
}

func (m *Machine) enter(p phase, at time.Time) {
	m.phase = p
	m.nextAt = at
}

func (m *Machine) follow(at time.Time) {
	m.enter(following, at)
	m.term = 0
	m.lease = 0
	m.heldUntil = time.Time{}
}

func (m *Machine) polled(r Result, now time.Time) {
	if r.Err != nil || r.Entry.Exists() || !m.candidate {
		m.follow(now.Add(PollInterval))
		return
	}
	m.enter(granting, now)
}

func (m *Machine) granted(r Result, now time.Time) {
	if r.Err != nil || !m.candidate {
		m.follow(now.Add(PollInterval))
		return
	}
	m.lease = r.Lease
	m.extend()
	m.enter(campaigning, now)
}

func (m *Machine) readBack(r Result, now time.Time) {
	switch {
	case r.Err != nil:
		m.enter(reading, now.Add(RetryDelay))
	case m.owns(r.Entry):
		m.term = r.Entry.CreateRev
		m.enter(holding, now)
	case !r.Entry.Exists() && now.Add(LeaseTTL/2).Before(m.heldUntil):
		m.enter(campaigning, now.Add(RetryDelay))
	default:
		m.follow(now.Add(PollInterval))
	}
}

func (m *Machine) owns(e topo.Entry) bool {
	return e.Exists() && e.Lease == m.lease && string(e.Value) == m.value()
}

// renewed handles a keep-alive. If it succeeds after the lease was no longer
// certain, the lease never ended, so the key and the term are still held.
func (m *Machine) renewed(r Result, now time.Time) {
	switch {
	case r.Err == nil:
		m.extend()
		m.enter(holding, m.sentAt.Add(RenewInterval))
	case errors.Is(r.Err, topo.ErrLeaseNotFound):
		m.follow(now)
	default:
		m.enter(holding, now.Add(RetryDelay))
	}
}

// extend counts the lease from the sending of the call that renewed it.
func (m *Machine) extend() {
	end := m.sentAt.Add(LeaseTTL * (100 - table.DriftPercent) / 100)
	if end.After(m.heldUntil) {
		m.heldUntil = end
	}
}

// GuardedTable returns the transaction that writes the table if the writer's
// term still holds the coordinator key and the table is unchanged since the
// writer read it with modification revision lastModRev (0 for no table).
func GuardedTable(term, lastModRev int64, value []byte) topo.Txn {
	if term <= 0 {
		// Revision 0 would compare equal when nobody holds the key.
		term = -1
	}
	return topo.Txn{
		Compares: []topo.Compare{
			{Key: topo.KeyCoordinator, Field: topo.CompareCreateRev, Rev: term},
			{Key: topo.KeyTable, Field: topo.CompareModRev, Rev: lastModRev},
		},
		Puts: []topo.Put{{Key: topo.KeyTable, Value: value}},
	}
}

// Candidates returns the members that stand for election: those with the
// lowest hashes of their incarnation.
func Candidates(members []table.MemberID) []table.MemberID {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b table.MemberID) int {
		if c := cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return sorted[:min(len(sorted), CandidateCount)]
}
