package lease

import (
	"slices"
	"time"

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
	// ended are the runs that have certainly ended, and by when.
	ended map[table.MemberID]time.Time
}

// NewFencer returns a fencer of the member with its fixed voter set.
func NewFencer(member table.MemberID, voters []table.MemberID) *Fencer {
	return &Fencer{member: member, voters: distinct(voters), agreed: make(map[table.MemberID]bool),
		ended: make(map[table.MemberID]time.Time)}
}

// Agreed records a voter's final agreement. The member's own agreement does
// not count, because it always counts its own vote.
func (f *Fencer) Agreed(voter table.MemberID) {
	if voter != f.member.Run() && slices.Contains(f.voters, voter) {
		f.agreed[voter] = true
	}
}

// Ended records that a run has certainly ended by the time since: another run
// answers at its address and has been up since then. A voter that has ended
// renews nobody, so it counts as agreed once its promises are over. A member
// whose own run has ended has no authority. Without this, nobody could fence
// the members of a fleet that lost a majority of a voter set and started again.
func (f *Fencer) Ended(run table.MemberID, since, now time.Time) {
	if first, known := f.ended[run]; !known || since.Before(first) {
		f.ended[run] = since
	}
	if now.Sub(f.ended[run]) >= endedWait {
		f.Agreed(run)
	}
}

// endedWait is the vote life on a clock that drifts against the voter's and
// the one that measured how long its successor has been up.
const endedWait = table.VoteLife * (100 + 2*table.DriftPercent) / 100

// Done reports whether a majority has agreed or the member's run has ended: the
// member has no authority now and never will again.
func (f *Fencer) Done() bool {
	_, ended := f.ended[f.member.Run()]
	return ended || len(f.agreed) >= majority(f.voters)
}

// Waiting returns the voters that have not agreed yet, without the member.
func (f *Fencer) Waiting() []table.MemberID {
	var waiting []table.MemberID
	for _, v := range f.voters {
		if v != f.member.Run() && !f.agreed[v] {
			waiting = append(waiting, v)
		}
	}
	return waiting
}
