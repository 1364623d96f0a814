package lease

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Voter gives votes to the members of its table. It is not safe for concurrent
// use.
//
// A member is unknown before the first table that contains it and after the
// last one. A voter neither renews an unknown member nor agrees to its fence:
// the first could revive a fenced member, and the second could be forgotten
// before the member becomes known. Since an incarnation that has left the table
// never returns, its promises and fences can be forgotten.
type Voter struct {
	self    table.MemberID
	records map[table.MemberID]*record
}

type record struct {
	promised time.Time
	fenced   bool
}

// NewVoter returns the voter of incarnation self. It knows no members and
// gives no votes until Retain is called.
func NewVoter(self table.MemberID) *Voter {
	return &Voter{self: self, records: make(map[table.MemberID]*record)}
}

// Retain sets the known members to those of a new table. Tables must be given
// in the order of their revisions: an older one could bring back a member whose
// fence is forgotten.
func (v *Voter) Retain(members []table.MemberID) {
	records := make(map[table.MemberID]*record, len(members))
	for _, id := range members {
		records[id] = v.records[id]
		if records[id] == nil {
			records[id] = &record{}
		}
	}
	v.records = records
}

// Heartbeat answers a heartbeat of member from, addressed to incarnation to.
// Renewed promises not to agree to a fence of from for table.VoteLife. Fenced
// says that this voter has agreed to a fence of from and never renews it again.
func (v *Voter) Heartbeat(from, to table.MemberID, now time.Time) (renewed, fenced bool) {
	r := v.records[from]
	if r == nil || to != v.self {
		return false, false
	}
	if r.fenced {
		return false, true
	}
	if end := now.Add(table.VoteLife); end.After(r.promised) {
		r.promised = end
	}
	return true, false
}

// Fence answers a request to agree that the member's lease has ended. If it is
// not agreed, remaining tells when to ask again. Agreement is final. A voter
// never agrees to its own fence, because a holder always counts its own vote.
func (v *Voter) Fence(member, to table.MemberID, now time.Time) (agreed bool, remaining time.Duration) {
	r := v.records[member]
	if r == nil || to != v.self || member.Run() == v.self.Run() {
		return false, table.VoteLife
	}
	if !r.fenced && now.Before(r.promised) {
		return false, r.promised.Sub(now)
	}
	r.fenced = true
	return true, 0
}
