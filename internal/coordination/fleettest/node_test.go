package fleettest

import (
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/coordination/lease"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Times that the daemon uses around the machines.
const (
	peerTimeout      = 500 * time.Millisecond
	presenceInterval = 500 * time.Millisecond
	rejoinPause      = 2 * time.Second
	tickInterval     = 25 * time.Millisecond
)

// epochStart is the origin of the daemons' clocks.
var epochStart = time.Unix(1_000_000_000, 0)

// membership is one incarnation of a daemon.
type membership struct {
	id        table.MemberID
	holder    *lease.Holder
	voters    []table.MemberID
	sequence  uint64
	leaving   bool
	present   bool
	firstSeen time.Time
}

func (m *membership) authorityUntil() time.Time {
	if m.holder == nil {
		return time.Time{}
	}
	return m.holder.ValidUntil()
}

// node is one run of a daemon.
type node struct {
	w         *world
	name      string
	domain    string
	address   string
	run       table.MemberID
	ppm       int64
	startedAt time.Duration
	dead      bool
	paused    bool
	stopping  bool
	deaf      bool // takes no documents
	inbox     []func()

	config   *manifest.Accepted
	table    *table.Table
	voter    *lease.Voter
	members  []*membership
	count    int
	sequence uint64
	hint     string
	hintTerm int64
	office   office
	fences   fences
	fronts   fronts

	ticks     int
	beatNow   bool
	reportDue bool
}

// startNode starts a new run of the named daemon.
func (w *world) startNode(name, domain string) {
	w.runs++
	run := table.MemberID(fmt.Sprintf("%s-r%d", name, w.runs))
	n := &node{
		w: w, name: name, domain: domain, address: string(run), run: run,
		ppm: w.rng.Int63n(9800) - 4900, startedAt: w.now, voter: lease.NewVoter(run),
	}
	n.office.n = n
	n.fences = newFences(n)
	n.fronts = newFronts(n)
	n.addMembership()
	w.nodes = append(w.nodes, n)
	w.after(time.Duration(w.rng.Intn(int(tickInterval))), func() { n.tick() })
}

func (n *node) clock() time.Time {
	d := n.w.now
	return epochStart.Add(d + d*time.Duration(n.ppm)/1_000_000)
}

func (n *node) resume() {
	if !n.paused {
		return
	}
	n.paused = false
	pending := n.inbox
	n.inbox = nil
	for _, fn := range pending {
		fn()
	}
}

func (n *node) tick() {
	if n.dead {
		return
	}
	n.w.after(tickInterval, n.tick)
	if n.paused {
		return
	}
	n.ticks++
	if n.ticks%2 == 0 {
		n.fences.scan()
	}
	if n.ticks%10 == 0 || n.beatNow {
		n.beatNow = false
		n.heartbeats()
	}
	if n.ticks%10 == 5 || n.reportDue {
		n.reportDue = false
		n.report()
	}
	if n.ticks%int(presenceInterval/tickInterval) == 1 {
		n.keepPresences()
	}
	if n.ticks%16 == 3 {
		n.pollStore()
	}
	n.fronts.tick()
	n.office.step()
	if n.stopping && n.ticks%4 == 0 {
		n.exitWhenRemoved()
	}
}

// exitWhenRemoved ends a stopping daemon once no table names its run. It holds
// the latest table then: one that exits by an older table, while the latest
// admits it, leaves a member behind that only its voters can remove.
func (n *node) exitWhenRemoved() {
	latest := n.w.store.current()
	if n.table == nil || n.table.Revision != latest.Revision {
		return
	}
	for _, m := range latest.Members {
		if m.ID.Run() == n.run {
			return
		}
	}
	n.dead = true
}

func (n *node) addMembership() {
	n.count++
	n.members = append(n.members, &membership{id: table.NewMemberID(n.run, n.count)})
}

func (n *node) membershipNamed(id table.MemberID) *membership {
	for _, m := range n.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (n *node) heartbeats() {
	for _, m := range n.members {
		n.beat(m)
	}
	n.renewMembership()
}

func (n *node) beat(m *membership) {
	if m.holder == nil {
		return
	}
	m.sequence++
	seq, sentAt := m.sequence, n.clock()
	for _, v := range m.holder.Voters() {
		m.holder.Sent(v, seq, sentAt)
		voter := n.w.nodeAt(string(v))
		if voter == nil {
			continue
		}
		mine := n.revisions()
		serve := func() (any, bool) { return voter.vote(m.id, v, seq, mine, n), true }
		n.w.call(n, voter.address, peerTimeout, serve, func(reply any, err error) {
			if err != nil {
				return
			}
			r := reply.(peer.HeartbeatReply)
			m.holder.Reply(v, r.Sequence, r.Renewed, r.Fenced, n.clock())
			n.learnCoordinator(r.Coordinator, r.Term)
			n.compare(voter, r.Revisions)
		})
	}
}

func (n *node) vote(from, to table.MemberID, seq uint64, theirs peer.Revisions, sender *node) peer.HeartbeatReply {
	renewed, fenced := n.voter.Heartbeat(from, to, n.clock())
	if renewed || fenced {
		n.fences.lastHeard[from] = n.clock()
	}
	n.compare(sender, theirs)
	return peer.HeartbeatReply{
		From: n.run, Sequence: seq, Renewed: renewed, Fenced: fenced,
		Revisions: n.revisions(), Coordinator: n.hint, Term: n.hintTerm,
	}
}

func (n *node) learnCoordinator(address string, term int64) {
	if address != "" && term > n.hintTerm {
		n.hint, n.hintTerm = address, term
	}
}

// renewMembership takes up a new membership when the present one is of no use.
func (n *node) renewMembership() {
	m := n.members[len(n.members)-1]
	if n.stopping || n.table == nil {
		return
	}
	if n.table.WasRemoved(m.id) {
		n.addMembership()
		return
	}
	if m.holder == nil {
		return
	}
	_, member := n.table.Member(m.id)
	weak := member && n.clock().Sub(m.firstSeen) > rejoinPause && coordinator.NeedsRejoin(n.table, m.id, m.holder.FencedVoters())
	if m.holder.Fenced() || !member || weak {
		n.addMembership()
	}
}

func (n *node) keepPresences() {
	for _, m := range n.members {
		n.keepPresent(m)
	}
}

func (n *node) keepPresent(m *membership) {
	s, sentAt := n.w.store, n.clock()
	if !m.present {
		if m.holder != nil {
			return
		}
		n.w.call(n, storeAddress, storeTimeout, s.do(func() any { return s.createPresence(m.id) }), func(reply any, err error) {
			m.present = m.present || err == nil && reply.(bool)
		})
		return
	}
	n.w.call(n, storeAddress, storeTimeout, s.do(func() any { return s.keepPresent(m.id) }), func(reply any, err error) {
		switch {
		case err != nil:
		case !reply.(bool) && m.holder != nil:
			m.holder.StoreLost()
		case !reply.(bool):
			n.presenceLost(m)
		case m.holder != nil:
			m.holder.StoreRenewed(sentAt, presenceTTL)
		}
	})
}

func (n *node) presenceLost(m *membership) {
	if !n.stopping && n.members[len(n.members)-1] == m {
		m.leaving = true
		n.addMembership()
	}
}

// pollStore finds the coordinator, and the configuration if this daemon is it.
func (n *node) pollStore() {
	s := n.w.store
	type seen struct {
		address string
		term    int64
		config  *manifest.Accepted
	}
	op := func() any {
		if s.holder == nil {
			return seen{config: s.config}
		}
		return seen{address: s.holder.address, term: s.term, config: s.config}
	}
	n.w.call(n, storeAddress, storeTimeout, s.do(op), func(reply any, err error) {
		if err != nil {
			return
		}
		n.learnCoordinator(reply.(seen).address, reply.(seen).term)
		if n.office.machine != nil {
			n.offerConfig(reply.(seen).config)
			n.announce()
		}
	})
}

func (n *node) report() {
	for _, m := range n.members {
		if m.holder == nil && !m.present {
			continue
		}
		r := n.buildReport(m)
		to := n.w.nodeAt(n.hint)
		if to == nil {
			continue
		}
		serve := func() (any, bool) { return to.takeReport(r), true }
		if to == n {
			serve()
			continue
		}
		n.w.call(n, to.address, peerTimeout, serve, func(reply any, err error) {
			if err == nil {
				n.compare(to, reply.(peer.ReportReply).Revisions)
			}
		})
	}
}

func (n *node) buildReport(m *membership) peer.Report {
	n.sequence++
	return peer.Report{
		From: m.id, Daemon: n.name, Address: n.address, Domain: n.domain, Sequence: n.sequence,
		Revisions: n.revisions(), Leaving: m.leaving, Targets: n.fronts.reports(m), Fenced: n.fencedMembers(),
	}
}

func (n *node) takeReport(r peer.Report) peer.ReportReply {
	reply := peer.ReportReply{Revisions: n.revisions()}
	if n.office.machine != nil {
		n.office.machine.Report(r, n.clock())
	}
	return reply
}

func (n *node) stop() {
	n.stopping = true
	for _, m := range n.members {
		m.leaving = true
	}
}
