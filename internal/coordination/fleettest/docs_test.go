package fleettest

import (
	"github.com/jackdawloom/jackdawloom/internal/coordination/lease"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

func (n *node) revisions() peer.Revisions {
	var r peer.Revisions
	if n.config != nil {
		r.Config = n.config.Revision
	}
	if n.table != nil {
		r.Table = n.table.Revision
	}
	return r
}

// compare fetches documents from a daemon that has newer ones.
func (n *node) compare(other *node, theirs peer.Revisions) {
	ours := n.revisions()
	if n.deaf || theirs.Config <= ours.Config && theirs.Table <= ours.Table {
		return
	}
	n.w.call(n, other.address, peerTimeout, other.documents, n.takeDocuments)
}

type documents struct {
	config *manifest.Accepted
	table  *table.Table
}

func (n *node) documents() (any, bool) { return documents{n.config, n.table}, true }

func (n *node) takeDocuments(reply any, err error) {
	if err != nil || n.deaf {
		return
	}
	d := reply.(documents)
	n.offerConfig(d.config)
	n.offerTable(d.table)
}

// announce sends the documents to every other daemon of the table.
func (n *node) announce() {
	if n.table == nil {
		return
	}
	d := documents{n.config, n.table}
	sent := map[string]bool{n.address: true}
	for _, m := range n.table.Members {
		to := n.w.nodeAt(m.Address)
		if to == nil || sent[m.Address] {
			continue
		}
		sent[m.Address] = true
		n.w.send(n.address, to.address, func() { to.takeDocuments(d, nil) })
	}
}

func (n *node) offerConfig(c *manifest.Accepted) {
	if c != nil && (n.config == nil || c.Revision > n.config.Revision) {
		n.config = c
		n.putInForce()
	}
}

func (n *node) offerTable(t *table.Table) {
	if t != nil && (n.table == nil || t.Revision > n.table.Revision) {
		n.w.past.adopted(n.w, t)
		n.table = t
		n.putInForce()
	}
}

func (n *node) putInForce() {
	if n.table != nil {
		n.retainVotes()
		n.fences.forget(n.table)
		for _, m := range n.members {
			n.adopt(m)
		}
		n.leaveOld()
	}
	n.fronts.apply()
	if n.table != nil {
		n.dropMemberships()
	}
	n.beatNow, n.reportDue = true, true
}

func (n *node) retainVotes() {
	ids := make([]table.MemberID, len(n.table.Members))
	for i, m := range n.table.Members {
		ids[i] = m.ID
	}
	n.voter.Retain(ids)
}

func (n *node) adopt(m *membership) {
	member, ok := n.table.Member(m.id)
	if !ok || m.holder != nil {
		return
	}
	m.voters = member.Voters
	m.holder = lease.NewHolder(m.id, member.Voters)
	m.firstSeen = n.clock()
}

// leaveOld makes old memberships leave once the latest one is in the table.
func (n *node) leaveOld() {
	last := len(n.members) - 1
	for _, m := range n.members[:last] {
		m.leaving = m.leaving || n.members[last].holder != nil
	}
}

// dropMemberships forgets old memberships that have left the table.
func (n *node) dropMemberships() {
	keep := n.members[:0:0]
	for i, m := range n.members {
		_, ok := n.table.Member(m.id)
		if ok || i == len(n.members)-1 {
			keep = append(keep, m)
		}
	}
	n.members = keep
}
