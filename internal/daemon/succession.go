package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/lease"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Times of fencing.
const (
	// suspectAfter is how long a member may be silent to this voter before it is
	// fenced. It exceeds the vote life, so that the own vote has ended.
	suspectAfter = table.VoteLife + 50*time.Millisecond
	// fenceScan is the interval at which silent members are looked for.
	fenceScan = 50 * time.Millisecond
	// fenceRetry is the least time between two requests to the same voter.
	fenceRetry = 25 * time.Millisecond
	// fenceGiveUp ends a fencing that no majority supports; it starts anew if
	// the member is still silent.
	fenceGiveUp = 5 * time.Second
)

// heard notes that this voter has renewed the member.
func (d *Daemon) heard(id table.MemberID, now time.Time) {
	d.fenceMu.Lock()
	defer d.fenceMu.Unlock()
	d.lastHeard[id] = now
}

// runFencing fences the members that this daemon stands by for and that have
// fallen silent, and those that the coordinator suspects, until ctx ends.
func (d *Daemon) runFencing(ctx context.Context) error {
	ticker := time.NewTicker(fenceScan)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.scanSilent(ctx, now)
		case member := <-d.suspects.Out():
			d.startFence(ctx, member)
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) scanSilent(ctx context.Context, now time.Time) {
	t := d.docs.get().table
	if t == nil {
		return
	}
	if d.pausedSince(now) {
		// After a pause of this daemon, silence says nothing of the others.
		d.hearAll(t, now)
		return
	}
	for _, member := range d.silentFronts(t, now) {
		d.startFence(ctx, member)
	}
}

// pausedSince reports whether the scan before now is so long ago that this
// daemon must have been paused.
func (d *Daemon) pausedSince(now time.Time) bool {
	paused := !d.lastScan.IsZero() && now.Sub(d.lastScan) > table.VoteLife/2
	d.lastScan = now
	return paused
}

func (d *Daemon) hearAll(t *table.Table, now time.Time) {
	d.fenceMu.Lock()
	defer d.fenceMu.Unlock()
	for _, m := range t.Members {
		d.lastHeard[m.ID] = now
	}
}

// silentFronts returns the members whose heartbeats this voter misses and for
// whose targets this daemon is the standby.
func (d *Daemon) silentFronts(t *table.Table, now time.Time) []table.Member {
	candidates := d.frontsStoodByFor(t)
	d.fenceMu.Lock()
	defer d.fenceMu.Unlock()
	var out []table.Member
	for _, m := range t.Members {
		last, known := d.lastHeard[m.ID]
		if !known {
			d.lastHeard[m.ID] = now
			continue
		}
		if candidates[m.ID] && m.HasVoter(d.run) && now.Sub(last) > suspectAfter {
			out = append(out, m)
		}
	}
	return out
}

func (d *Daemon) frontsStoodByFor(t *table.Table) map[table.MemberID]bool {
	out := make(map[table.MemberID]bool)
	for _, s := range t.Services {
		for _, tg := range s.Targets {
			if tg.Next == "" && tg.Standby.Run() == d.run {
				out[tg.Front] = true
			}
		}
	}
	return out
}

// startFence begins to fence the member unless that is under way or done.
func (d *Daemon) startFence(ctx context.Context, member table.Member) {
	d.fenceMu.Lock()
	defer d.fenceMu.Unlock()
	if d.fencing[member.ID] || d.fencedIDs[member.ID] || member.ID.Run() == d.run {
		return
	}
	d.fencing[member.ID] = true
	go d.fence(ctx, member)
}

func (d *Daemon) fence(ctx context.Context, member table.Member) {
	fenced := d.collectAgreements(ctx, member)
	d.fenceMu.Lock()
	delete(d.fencing, member.ID)
	d.fencedIDs[member.ID] = d.fencedIDs[member.ID] || fenced
	d.fenceMu.Unlock()
	if !fenced {
		return
	}
	d.metrics.fences.Inc(1)
	d.log.Warn("member fenced", slog.String("member", string(member.ID)))
	d.fronts.succeed(member.ID, time.Now())
	d.reportNow()
}

// collectAgreements asks all voters until a majority has agreed or the fencing
// is given up. Each voter is asked on its own: one that is gone too must not
// delay the others by its timeout. The member is asked too: if its run has
// ended, another run may answer at its address.
func (d *Daemon) collectAgreements(ctx context.Context, member table.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, fenceGiveUp)
	defer cancel()
	fencer := lease.NewFencer(member.ID, member.Voters)
	asked := append(fencer.Waiting(), member.ID.Run())
	answers := make(chan fenceAnswer, len(asked))
	for _, v := range asked {
		go d.askUntilAgreed(ctx, v, member.ID, answers)
	}
	for !fencer.Done() {
		select {
		case a := <-answers:
			if a.agreed {
				fencer.Agreed(a.voter)
			}
			if a.ended {
				fencer.Ended(a.voter, a.since, time.Now())
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (d *Daemon) askUntilAgreed(ctx context.Context, voter, member table.MemberID, answers chan<- fenceAnswer) {
	for ctx.Err() == nil {
		a := d.askVoter(ctx, voter, member)
		if a.agreed || a.ended {
			select {
			case answers <- a:
			case <-ctx.Done():
			}
		}
		if a.agreed {
			return
		}
		sleep(ctx, fenceRetry)
	}
}

// fenceAnswer is what asking a voter has shown: that it agrees, or that it has
// ended, because another run answers at its address.
type fenceAnswer struct {
	voter  table.MemberID
	agreed bool
	ended  bool
	since  time.Time // when it had ended at the latest
}

func (d *Daemon) askVoter(ctx context.Context, voter, member table.MemberID) fenceAnswer {
	a := fenceAnswer{voter: voter}
	request := peer.FenceRequest{From: d.run, To: voter, Member: member}
	address := d.addressOf(voter)
	switch {
	case voter == table.StoreVoter:
		a.agreed = d.storeAgrees(ctx, string(member))
	case voter == d.run:
		a.agreed = d.agree(request).Agreed
	case address == d.net.Addr():
		a.ended, a.since = true, d.bound
	case address != "":
		var reply peer.FenceReply
		err := d.call(ctx, address, peer.PathFence, request, &reply)
		a.agreed = err == nil && reply.Agreed && reply.From == voter && reply.Member == member
		a.ended = err == nil && reply.From != voter && reply.From != ""
		a.since = time.Now().Add(-time.Duration(reply.UpMs) * time.Millisecond)
	}
	return a
}

// agree answers a fence request as a voter.
func (d *Daemon) agree(r peer.FenceRequest) peer.FenceReply {
	d.voterMu.Lock()
	defer d.voterMu.Unlock()
	agreed, remaining := d.voter.Fence(r.Member, r.To, time.Now())
	return peer.FenceReply{From: d.run, Member: r.Member, Agreed: agreed, RemainingMs: remaining.Milliseconds(), UpMs: time.Since(d.bound).Milliseconds()}
}

// fencedMembers returns the members that this daemon knows to have no authority
// any more: the fenced ones, and memberships of its own that it has given up
// before a table named them.
func (d *Daemon) fencedMembers() []table.MemberID {
	d.fenceMu.Lock()
	defer d.fenceMu.Unlock()
	out := make([]table.MemberID, 0, len(d.fencedIDs))
	for id := range d.fencedIDs {
		out = append(out, id)
	}
	return append(out, d.givenUp(d.docs.get().table)...)
}

func (d *Daemon) givenUp(t *table.Table) []table.MemberID {
	if t == nil {
		return nil
	}
	var out []table.MemberID
	for _, m := range t.Members {
		if m.ID.Run() == d.run && d.membershipNamed(m.ID) == nil {
			out = append(out, m.ID)
		}
	}
	return out
}

// forgetFenced drops the records of members that have left the table.
func (d *Daemon) forgetFenced(t *table.Table) {
	d.fenceMu.Lock()
	defer d.fenceMu.Unlock()
	for id := range d.fencedIDs {
		if !isMember(t, id) {
			delete(d.fencedIDs, id)
		}
	}
	for id := range d.lastHeard {
		if !isMember(t, id) {
			delete(d.lastHeard, id)
		}
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, dur time.Duration) {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
