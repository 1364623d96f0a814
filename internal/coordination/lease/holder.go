package lease

import (
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// pendingLimit bounds the unanswered heartbeats remembered per voter. At one
// heartbeat per 250 ms, older ones could only give a vote that has ended.
const pendingLimit = 8

// Holder collects the votes that give one incarnation authority to serve. It
// is not safe for concurrent use.
type Holder struct {
	self   table.MemberID
	voters []table.MemberID
	votes  map[table.MemberID]*vote
}

type vote struct {
	pending   []heartbeat
	until     time.Time
	lastHeard time.Time
	fenced    bool
}

type heartbeat struct {
	seq uint64
	at  time.Time
}

// NewHolder returns the holder of incarnation self. The voter set is fixed for
// the whole incarnation and may contain self and table.StoreVoter.
func NewHolder(self table.MemberID, voters []table.MemberID) *Holder {
	h := &Holder{self: self.Run(), voters: distinct(voters), votes: make(map[table.MemberID]*vote)}
	for _, v := range h.voters {
		if v != self {
			h.votes[v] = &vote{}
		}
	}
	return h
}

// Voters returns the voters that need a heartbeat: all but self and the store.
func (h *Holder) Voters() []table.MemberID {
	var out []table.MemberID
	for _, v := range h.voters {
		if v != h.self && v != table.StoreVoter {
			out = append(out, v)
		}
	}
	return out
}

// Sent records that the heartbeat with the sequence number is about to be sent.
// It must be called before the send, and sequence numbers must not be reused
// for a voter.
func (h *Holder) Sent(voter table.MemberID, seq uint64, at time.Time) {
	v := h.votes[voter]
	if v == nil || voter == table.StoreVoter {
		return
	}
	if v.lastHeard.IsZero() {
		v.lastHeard = at
	}
	v.pending = append(v.pending, heartbeat{seq: seq, at: at})
	if len(v.pending) > pendingLimit {
		v.pending = slices.Delete(v.pending, 0, len(v.pending)-pendingLimit)
	}
}

// Reply records a voter's answer to the heartbeat with the sequence number. An
// answer to an unknown heartbeat gives no vote, but a fence in it counts.
func (h *Holder) Reply(voter table.MemberID, seq uint64, renewed, fenced bool, at time.Time) {
	v := h.votes[voter]
	if v == nil || voter == table.StoreVoter {
		return
	}
	if fenced {
		v.fenced = true
	}
	i := slices.IndexFunc(v.pending, func(b heartbeat) bool { return b.seq == seq })
	if i < 0 || !renewed || v.fenced {
		return
	}
	v.renew(v.pending[i].at.Add(certain(table.VoteLife)))
	v.heard(at)
	v.pending = slices.Delete(v.pending, i, i+1)
}

// StoreRenewed records that the store confirmed a renewal of the presence
// key's lease, whose request was sent at sentAt.
func (h *Holder) StoreRenewed(sentAt time.Time, ttl time.Duration) {
	v := h.votes[table.StoreVoter]
	if v == nil || v.fenced {
		return
	}
	v.renew(sentAt.Add(certain(ttl)))
	v.heard(sentAt)
}

// StoreLost records that the store lease of the presence key has ended. It is
// final: the key's absence is the store's agreement to a fence, so the key must
// never be created again for this incarnation.
func (h *Holder) StoreLost() {
	if v := h.votes[table.StoreVoter]; v != nil {
		v.fenced = true
	}
}

// ValidUntil returns the moment until which a majority of votes is certainly
// valid. It is the zero time if there is no majority.
func (h *Holder) ValidUntil() time.Time {
	if h.Fenced() {
		return time.Time{}
	}
	ends := h.ends()
	need := majority(h.voters) - h.selfVotes()
	if need < 1 || need > len(ends) {
		return time.Time{}
	}
	return ends[need-1]
}

// HasAuthority reports whether a request may be dispatched at now: the votes
// of a majority stay valid for at least table.AuthorityReserve.
func (h *Holder) HasAuthority(now time.Time) bool {
	return h.ValidUntil().Sub(now) >= table.AuthorityReserve
}

// Fenced reports that so many voters agreed to a fence of this incarnation
// that it can never have a majority again. A fence by fewer voters may be an
// attempt that failed; it costs their votes only.
func (h *Holder) Fenced() bool {
	left := len(h.voters)
	for _, v := range h.votes {
		if v.fenced {
			left--
		}
	}
	return left < majority(h.voters)
}

// FencedVoters returns the voters that have agreed to a fence of this
// incarnation. Their votes are gone for good, also if the fence never got a
// majority.
func (h *Holder) FencedVoters() []table.MemberID {
	var out []table.MemberID
	for _, id := range h.voters {
		if v := h.votes[id]; v != nil && v.fenced {
			out = append(out, id)
		}
	}
	return out
}

// ends returns the ends of the other voters' votes, the latest first.
func (h *Holder) ends() []time.Time {
	ends := make([]time.Time, 0, len(h.votes))
	for _, v := range h.votes {
		if !v.fenced && !v.until.IsZero() {
			ends = append(ends, v.until)
		}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends
}

func (h *Holder) selfVotes() int {
	if slices.Contains(h.voters, h.self) {
		return 1
	}
	return 0
}

func (v *vote) renew(until time.Time) {
	if until.After(v.until) {
		v.until = until
	}
}

func (v *vote) heard(at time.Time) {
	if at.After(v.lastHeard) {
		v.lastHeard = at
	}
}
