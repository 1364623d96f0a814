package lease

import (
	"slices"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Fencer collects the agreements that end one incarnation's lease. It is not
// safe for concurrent use.
//
// The store agrees if the member's presence key, which was created before the
// member entered the table, no longer exists.
type Fencer struct {
	member table.MemberID
	voters []table.MemberID
	agreed map[table.MemberID]bool
}

// NewFencer returns a fencer of the member with its fixed voter set.
func NewFencer(member table.MemberID, voters []table.MemberID) *Fencer {
	return &Fencer{member: member, voters: distinct(voters), agreed: make(map[table.MemberID]bool)}
}

// Agreed records a voter's final agreement. The member's own agreement does
// not count, because it always counts its own vote.
func (f *Fencer) Agreed(voter table.MemberID) {
	if voter != f.member.Run() && slices.Contains(f.voters, voter) {
		f.agreed[voter] = true
	}
}

// Done reports whether a majority has agreed: the member has no authority now
// and never will again.
func (f *Fencer) Done() bool { return len(f.agreed) >= majority(f.voters) }

// Waiting returns the voters that have not agreed yet.
func (f *Fencer) Waiting() []table.MemberID {
	var waiting []table.MemberID
	for _, v := range f.voters {
		if v != f.member.Run() && !f.agreed[v] {
			waiting = append(waiting, v)
		}
	}
	return waiting
}
