package daemon

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/coordination/lease"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// presenceTTL is the life of the store lease by which the store votes. Stores
// count leases in whole seconds.
const presenceTTL = 2 * time.Second

// membership is one incarnation of this daemon. Its id is used for one lease
// only; a daemon that lost its lease for good takes up a new membership.
type membership struct {
	id table.MemberID

	mu        sync.Mutex
	holder    *lease.Holder // nil until a table names the member
	voters    []table.MemberID
	sequence  uint64
	leaving   bool
	presence  topo.LeaseID
	joinedAt  time.Time
	firstSeen time.Time
}

func newMembership(id table.MemberID, now time.Time) *membership {
	return &membership{id: id, joinedAt: now}
}

// adopt takes over the voter set once a table names the member.
func (m *membership) adopt(t *table.Table, now time.Time) {
	member, ok := t.Member(m.id)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok || m.holder != nil {
		return
	}
	m.voters = member.Voters
	m.holder = lease.NewHolder(m.id, member.Voters)
	m.firstSeen = now
}

// authorityUntil returns the moment until which the member certainly may serve;
// the zero time stands for no authority.
func (m *membership) authorityUntil() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == nil {
		return time.Time{}
	}
	return m.holder.ValidUntil()
}

// joined reports whether a table has named the member.
func (m *membership) joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder != nil
}

func (m *membership) fenced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder != nil && m.holder.Fenced()
}

// nextHeartbeats returns the voters to send heartbeats to, and counts them as
// sent at now under one sequence number.
func (m *membership) nextHeartbeats(now time.Time) ([]table.MemberID, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == nil {
		return nil, 0
	}
	m.sequence++
	voters := m.holder.Voters()
	for _, v := range voters {
		m.holder.Sent(v, m.sequence, now)
	}
	return voters, m.sequence
}

func (m *membership) reply(r peer.HeartbeatReply, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.Reply(r.From, r.Sequence, r.Renewed, r.Fenced, now)
}

func (m *membership) needsStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder == nil {
		return true
	}
	return slices.Contains(m.voters, table.StoreVoter)
}

func (m *membership) storeRenewed(sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder != nil {
		m.holder.StoreRenewed(sentAt, presenceTTL)
	}
}

func (m *membership) storeLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holder != nil {
		m.holder.StoreLost()
	}
}

func (m *membership) setLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

func (m *membership) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// runHeartbeats sends this daemon's heartbeats until ctx ends.
func (d *Daemon) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(table.HeartbeatInterval)
	defer ticker.Stop()
	for {
		for _, m := range d.memberships() {
			d.sendHeartbeats(ctx, m)
		}
		d.renewMembership()
		select {
		case <-ticker.C:
		case <-d.heartbeatNow.Out():
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) sendHeartbeats(ctx context.Context, m *membership) {
	voters, sequence := m.nextHeartbeats(time.Now())
	for _, v := range voters {
		address := d.addressOf(v)
		if address == "" {
			continue
		}
		go d.sendHeartbeat(ctx, m, v, address, sequence)
	}
}

func (d *Daemon) sendHeartbeat(ctx context.Context, m *membership, voter table.MemberID, address string, sequence uint64) {
	beat := peer.Heartbeat{From: m.id, To: voter, Sequence: sequence, Revisions: d.docs.get().revisions()}
	var reply peer.HeartbeatReply
	if err := d.call(ctx, address, peer.PathHeartbeat, beat, &reply); err != nil {
		d.metrics.heartbeatsFailed.Inc(1)
		return
	}
	if reply.From != voter || reply.Sequence != sequence {
		return
	}
	m.reply(reply, time.Now())
	d.learnCoordinator(reply.Coordinator, reply.Term)
	d.compareRevisions(address, reply.Revisions)
}

// heartbeat answers another daemon's heartbeat as its voter.
func (d *Daemon) heartbeat(b peer.Heartbeat, from string) peer.HeartbeatReply {
	now := time.Now()
	renewed, fenced := d.vote(b, now)
	// A member that this voter refuses for good is not silent: fencing it again
	// and again would turn every short silence to another voter into a refusal.
	if renewed || fenced {
		d.heard(b.From, now)
	}
	d.compareRevisions(from, b.Revisions)
	address, term := d.coordinatorHint()
	return peer.HeartbeatReply{
		From: d.run, Sequence: b.Sequence, Renewed: renewed, Fenced: fenced,
		Revisions: d.docs.get().revisions(), Coordinator: address, Term: term,
	}
}

func (d *Daemon) vote(b peer.Heartbeat, now time.Time) (renewed, fenced bool) {
	d.voterMu.Lock()
	defer d.voterMu.Unlock()
	return d.voter.Heartbeat(b.From, b.To, now)
}

// renewMembership takes up a new membership if the present one is fenced, has
// left the table, or has too few voters left. The old one stays until it holds
// nothing any more.
func (d *Daemon) renewMembership() {
	if d.stopping.Load() {
		return
	}
	now := time.Now()
	t := d.docs.get().table
	m := d.present()
	reason := d.renewalReason(m, t, now)
	if reason == "" {
		return
	}
	next := d.addMembership(now)
	d.log.Warn("taking up a new membership", slog.String("old", string(m.id)),
		slog.String("new", string(next.id)), slog.String("reason", reason))
}

// rejoinPause is the least age of a membership that is replaced for a better
// voter set, so that a fleet in which several daemons leave at once does not
// replace memberships at each step.
const rejoinPause = 2 * time.Second

func (d *Daemon) renewalReason(m *membership, t *table.Table, now time.Time) string {
	m.mu.Lock()
	known := m.holder != nil
	seen := m.firstSeen
	var refused []table.MemberID
	if known {
		refused = m.holder.FencedVoters()
	}
	m.mu.Unlock()
	switch {
	case m.fenced():
		return "fenced"
	case t != nil && t.WasRemoved(m.id):
		return "removed from the table"
	case !known:
		return ""
	case t != nil && !isMember(t, m.id):
		return "not in the table"
	case t != nil && now.Sub(seen) > rejoinPause && coordinator.NeedsRejoin(t, m.id, refused):
		return "too few voters left"
	}
	return ""
}

func isMember(t *table.Table, id table.MemberID) bool {
	_, ok := t.Member(id)
	return ok
}

// leaveOld makes the old memberships leave once the latest one is in the table.
// Not before: a run whose only membership leaves is chosen as no one's voter,
// so daemons that replace their memberships together would get voter sets that
// are too small, and replace them again.
func (d *Daemon) leaveOld() {
	members := d.memberships()
	last := len(members) - 1
	if !members[last].joined() {
		return
	}
	for _, m := range members[:last] {
		m.setLeaving()
	}
}

// dropMemberships forgets old memberships that have left the table.
func (d *Daemon) dropMemberships(t *table.Table) {
	d.memberMu.Lock()
	defer d.memberMu.Unlock()
	keep := d.members[:0:0]
	for i, m := range d.members {
		last := i == len(d.members)-1
		if last || isMember(t, m.id) {
			keep = append(keep, m)
		}
	}
	d.members = keep
}

func (d *Daemon) memberships() []*membership {
	d.memberMu.Lock()
	defer d.memberMu.Unlock()
	return append([]*membership(nil), d.members...)
}

// present returns the latest membership.
func (d *Daemon) present() *membership {
	d.memberMu.Lock()
	defer d.memberMu.Unlock()
	return d.members[len(d.members)-1]
}

func (d *Daemon) membershipNamed(id table.MemberID) *membership {
	for _, m := range d.memberships() {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (d *Daemon) addMembership(now time.Time) *membership {
	d.memberMu.Lock()
	defer d.memberMu.Unlock()
	d.memberCount++
	m := newMembership(table.NewMemberID(d.run, d.memberCount), now)
	d.members = append(d.members, m)
	return m
}
