package fleettest

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/lease"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

const (
	suspectAfter = table.VoteLife + 50*time.Millisecond
	fenceRetry   = 50 * time.Millisecond
	fenceGiveUp  = 5 * time.Second
)

// fences is a daemon's part in ending other members' leases.
type fences struct {
	n         *node
	lastHeard map[table.MemberID]time.Time
	fencing   map[table.MemberID]bool
	done      map[table.MemberID]bool
	lastScan  time.Time
}

func newFences(n *node) fences {
	return fences{
		n: n, lastHeard: make(map[table.MemberID]time.Time),
		fencing: make(map[table.MemberID]bool), done: make(map[table.MemberID]bool),
	}
}

// fencedMembers returns the fenced members and the own ones that were given up.
func (n *node) fencedMembers() []table.MemberID {
	out := slices.Sorted(maps.Keys(n.fences.done))
	if n.table == nil {
		return out
	}
	for _, m := range n.table.Members {
		if m.ID.Run() == n.run && n.membershipNamed(m.ID) == nil {
			out = append(out, m.ID)
		}
	}
	return out
}

func (f *fences) scan() {
	now := f.n.clock()
	paused := !f.lastScan.IsZero() && now.Sub(f.lastScan) > table.VoteLife/2
	f.lastScan = now
	if f.n.table == nil {
		return
	}
	for _, m := range f.n.table.Members {
		last, known := f.lastHeard[m.ID]
		if !known || paused {
			f.lastHeard[m.ID] = now
			continue
		}
		if slices.Contains(m.Voters, f.n.run) && f.standsBy(m.ID) && now.Sub(last) > suspectAfter {
			f.n.startFence(m)
		}
	}
}

func (f *fences) standsBy(id table.MemberID) bool {
	for _, s := range f.n.table.Services {
		for _, t := range s.Targets {
			if t.Front == id && t.Next == "" && t.Standby.Run() == f.n.run {
				return true
			}
		}
	}
	return false
}

func (n *node) startFence(m table.Member) {
	f := &n.fences
	if f.fencing[m.ID] || f.done[m.ID] || m.ID.Run() == n.run {
		return
	}
	f.fencing[m.ID] = true
	fencer := lease.NewFencer(m.ID, m.Voters)
	f.round(fencer, m.ID, n.clock().Add(fenceGiveUp))
}

// round asks the voters that have not agreed, and again after a while.
func (f *fences) round(fencer *lease.Fencer, id table.MemberID, until time.Time) {
	n := f.n
	if !f.fencing[id] {
		return
	}
	if n.clock().After(until) {
		delete(f.fencing, id)
		return
	}
	for _, v := range append(fencer.Waiting(), id.Run()) {
		f.ask(fencer, v, id)
	}
	n.w.after(fenceRetry, func() {
		n.w.deliver(n.address, func() { f.round(fencer, id, until) })
	})
}

func (f *fences) ask(fencer *lease.Fencer, voter, id table.MemberID) {
	n, s := f.n, f.n.w.store
	agreed := func(reply any, err error) {
		if err == nil && reply.(bool) {
			fencer.Agreed(voter)
			f.finish(fencer, id)
		}
	}
	other := n.w.nodeAt(string(voter))
	if other != nil && other.dead {
		f.askSuccessor(fencer, other, id)
		return
	}
	switch {
	case voter == table.StoreVoter:
		n.w.call(n, storeAddress, storeTimeout, s.do(func() any { return !s.present(id) }), agreed)
	case other == n:
		ok, _ := n.voter.Fence(id, voter, n.clock())
		agreed(ok, nil)
	case other != nil:
		n.w.call(n, other.address, peerTimeout, func() (any, bool) {
			ok, _ := other.voter.Fence(id, voter, other.clock())
			return ok, true
		}, agreed)
	}
}

// askSuccessor asks the run that listens at the address of an ended one, if any.
func (f *fences) askSuccessor(fencer *lease.Fencer, ended *node, id table.MemberID) {
	w := f.n.w
	proved := func(up any, err error) {
		if err == nil {
			now := f.n.clock()
			fencer.Ended(ended.run, now.Add(-up.(time.Duration)), now)
			f.finish(fencer, id)
		}
	}
	for _, n := range w.live() {
		up := func() (any, bool) { return w.now - n.startedAt, true }
		switch {
		case n.name != ended.name:
		case n == f.n:
			proved(w.now-n.startedAt, nil)
		default:
			w.call(f.n, n.address, peerTimeout, up, proved)
		}
	}
}

func (f *fences) finish(fencer *lease.Fencer, id table.MemberID) {
	if !fencer.Done() || !f.fencing[id] {
		return
	}
	delete(f.fencing, id)
	f.done[id] = true
	f.n.w.past.fence(f.n.w, id)
	f.n.fronts.succeed(id)
	f.n.reportDue = true
}

func (f *fences) forget(t *table.Table) {
	gone := func(id table.MemberID) bool {
		_, ok := t.Member(id)
		return !ok
	}
	maps.DeleteFunc(f.done, func(id table.MemberID, _ bool) bool { return gone(id) })
	maps.DeleteFunc(f.lastHeard, func(id table.MemberID, _ time.Time) bool { return gone(id) })
}
