package coordinator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Sizes of voter sets, the member's own vote included.
const (
	largeVoterSet = 5
	smallVoterSet = 3
)

// admitJoins adds the members that ask for it. All of one batch may vote for
// each other.
func (b *build) admitJoins() {
	joins := b.joins()
	for _, r := range joins {
		b.next.Members = append(b.next.Members, table.Member{
			ID: r.From, Daemon: r.Daemon, Address: r.Address, Admin: r.Admin, Domain: r.Domain,
		})
	}
	for i := range b.next.Members {
		if member := &b.next.Members[i]; len(member.Voters) == 0 {
			member.Voters = chooseVoters(*member, b.next.Members)
			b.changed = true
		}
	}
}

// joins returns the recent reports of daemons that are not members, in a
// stable order.
func (b *build) joins() []peer.Report {
	var out []peer.Report
	for id, v := range b.views {
		if b.isMember(id) || b.next.WasRemoved(id) || b.fenced[id] || v.report.Leaving || b.now.Sub(v.at) > joinLife {
			continue
		}
		out = append(out, v.report)
	}
	slices.SortFunc(out, func(x, y peer.Report) int { return cmp.Compare(x.From, y.From) })
	return out
}

// chooseVoters picks the voter set of a new member: itself and other runs,
// other failure domains first. Fewer than three members leave too few voters
// for a majority to survive a loss, so the store votes in their stead.
func chooseVoters(self table.Member, members []table.Member) []table.MemberID {
	own := self.ID.Run()
	others := rankedRuns(self, members)
	switch {
	case len(others) >= largeVoterSet-1:
		return append([]table.MemberID{own}, others[:largeVoterSet-1]...)
	case len(others) >= smallVoterSet-1:
		return append([]table.MemberID{own}, others[:smallVoterSet-1]...)
	default:
		return append(append([]table.MemberID{own}, others...), table.StoreVoter)
	}
}

// rankedRuns returns the other members' runs, spread over the failure domains
// and in rendezvous order within each, so that votes are spread evenly.
func rankedRuns(self table.Member, members []table.Member) []table.MemberID {
	byDomain := make(map[string][]table.MemberID)
	for _, m := range members {
		run := m.ID.Run()
		if run == self.ID.Run() || m.Draining || slices.Contains(byDomain[m.Domain], run) {
			continue
		}
		byDomain[m.Domain] = append(byDomain[m.Domain], run)
	}
	var domains []string
	for d, runs := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(runs, func(x, y table.MemberID) int {
			return cmp.Compare(pairHash(string(self.ID), string(y)), pairHash(string(self.ID), string(x)))
		})
	}
	slices.SortFunc(domains, func(x, y string) int {
		if (x == self.Domain) != (y == self.Domain) {
			return cmp.Compare(boolInt(x == self.Domain), boolInt(y == self.Domain))
		}
		return cmp.Compare(x, y)
	})
	var out []table.MemberID
	for round := 0; len(out) < countRuns(byDomain); round++ {
		for _, d := range domains {
			if round < len(byDomain[d]) {
				out = append(out, byDomain[d][round])
			}
		}
	}
	return out
}

func countRuns(byDomain map[string][]table.MemberID) int {
	n := 0
	for _, runs := range byDomain {
		n += len(runs)
	}
	return n
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func pairHash(a, b string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// NeedsRejoin reports whether a member should take up a new membership with
// another voter set. Voter sets are fixed, so this is the only way to replace
// voters. It is due at once if no further voter may be lost although the fleet
// offers a better set. A small set is replaced by a large one by one member at
// a time, and while nothing else changes in the membership. Voters in refused
// never vote for the member again, since they agreed to a fence of it that may
// have failed.
func NeedsRejoin(t *table.Table, id table.MemberID, refused []table.MemberID) bool {
	member, ok := t.Member(id)
	if !ok || member.Draining {
		return false
	}
	offered := chooseVoters(member, t.Members)
	spare := liveVoters(t, member, refused) - majority(len(member.Voters))
	if spare < 1 {
		return len(offered)-majority(len(offered)) > spare
	}
	return len(member.Voters) < len(offered) && isNextToRejoin(t, id)
}

// liveVoters counts the member's voters that are in the table and may still
// vote for it.
func liveVoters(t *table.Table, member table.Member, refused []table.MemberID) int {
	runs := map[table.MemberID]bool{table.StoreVoter: true}
	for _, m := range t.Members {
		runs[m.ID.Run()] = true
	}
	live := 0
	for _, v := range member.Voters {
		if runs[v] && !slices.Contains(refused, v) {
			live++
		}
	}
	return live
}

// isNextToRejoin reports whether the member is the first with a small voter set
// and no member is leaving.
func isNextToRejoin(t *table.Table, id table.MemberID) bool {
	for _, m := range t.Members {
		small := len(m.Voters) < len(chooseVoters(m, t.Members))
		if m.Draining || small && m.ID < id {
			return false
		}
	}
	return true
}

func majority(n int) int { return n/2 + 1 }

// removeFenced takes fenced members out of the table. A target passes to its
// standby, which may have succeeded already on its own.
func (b *build) removeFenced() {
	keep := b.next.Members[:0:0]
	for _, member := range b.next.Members {
		if b.fenced[member.ID] {
			b.next.Remove(member.ID)
			b.changed = true
			continue
		}
		keep = append(keep, member)
	}
	b.next.Members = keep
	b.eachTarget(func(_ *table.Service, t *table.Target) { b.dropFenced(t) })
}

func (b *build) dropFenced(t *table.Target) {
	if b.fenced[t.Next] {
		t.Next = ""
		b.changed = true
	}
	if b.fenced[t.Front] {
		if t.Standby != "" && !b.fenced[t.Standby] {
			b.succeed(t)
			return
		}
		t.Front, t.Standby, t.Next, t.Release = "", "", "", false
		t.Epoch = b.freshFrontEpoch(t.Epoch)
		b.changed = true
		return
	}
	if b.fenced[t.Standby] {
		// The standby may have succeeded under e+1 before it was fenced; the
		// next standby must not use the same epoch again.
		t.Standby = ""
		t.Epoch = b.freshFrontEpoch(t.Epoch)
		b.changed = true
	}
}

// succeed makes the standby the front. Nobody has the right to succeed it
// until a new standby is named.
func (b *build) succeed(t *table.Target) {
	t.Front, t.Standby, t.Next, t.Release = t.Standby, "", "", false
	t.Epoch++
	b.changed = true
}

// recordSuccessions writes down the successions that standbys have made on
// their own after fencing a front.
func (b *build) recordSuccessions() {
	b.eachTarget(func(s *table.Service, t *table.Target) {
		if t.Standby == "" {
			return
		}
		r, _, ok := b.targetReport(t.Standby, s.Name, t.Name)
		if ok && r.Epoch == t.Epoch+1 {
			b.succeed(t)
		}
	})
}

// removeLeft marks leaving members as draining and removes those that hold
// nothing any more and know it.
func (b *build) removeLeft() {
	keep := b.next.Members[:0:0]
	for _, member := range b.next.Members {
		v := b.views[member.ID]
		leaving := v.report.Leaving || b.leaving[member.Daemon]
		if leaving != member.Draining && leaving {
			member.Draining = true
			b.changed = true
		}
		if member.Draining && !b.holds(member.ID) && b.confirmed(member.ID) {
			b.next.Remove(member.ID)
			b.changed = true
			continue
		}
		keep = append(keep, member)
	}
	b.next.Members = keep
}

// confirmed reports whether the member holds the stored table.
func (b *build) confirmed(id table.MemberID) bool {
	v, ok := b.views[id]
	return ok && b.stored != nil && v.report.Revisions.Table >= b.stored.Revision
}

// holds reports whether the stored table or the next one names the member for
// any target.
func (b *build) holds(id table.MemberID) bool {
	for _, t := range []*table.Table{b.stored, b.next} {
		if t == nil {
			continue
		}
		for _, s := range t.Services {
			for _, tg := range s.Targets {
				if tg.Front == id || tg.Standby == id || tg.Next == id {
					return true
				}
			}
		}
	}
	return false
}

func (b *build) eachTarget(visit func(*table.Service, *table.Target)) {
	for i := range b.next.Services {
		s := &b.next.Services[i]
		for j := range s.Targets {
			visit(s, &s.Targets[j])
		}
	}
}
