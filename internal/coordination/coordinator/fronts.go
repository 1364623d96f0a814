package coordinator

import (
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// updateTargetStates takes over the verdicts of the fronts.
func (b *build) updateTargetStates() {
	b.eachTarget(func(s *table.Service, t *table.Target) {
		r, _, ok := b.frontReport(s.Name, *t)
		if !ok {
			return
		}
		state := b.stateAfter(s.Name, t, r.Health)
		if state != t.State {
			t.State = state
			b.changed = true
		}
	})
}

func (b *build) stateAfter(service string, t *table.Target, h peer.TargetHealth) table.TargetState {
	drain := b.wantsDrain(service, t.Name)
	switch h {
	case peer.TargetEnded:
		return table.TargetLost
	case peer.TargetLeaving:
		return table.TargetDraining
	case peer.TargetServing:
		if drain {
			return table.TargetDraining
		}
		return table.TargetActive
	case peer.TargetUnknown:
	}
	return t.State
}

// wantsDrain reports whether the configuration drains the target or no longer
// declares it.
func (b *build) wantsDrain(service, target string) bool {
	s := b.config.Manifest.ServiceNamed(service)
	if s == nil {
		return true
	}
	t := s.TargetNamed(target)
	return t == nil || t.Drain
}

// finishFrontReleases passes targets on whose front has released them.
func (b *build) finishFrontReleases() {
	b.eachTarget(func(s *table.Service, t *table.Target) {
		if !t.Release {
			return
		}
		r, _, ok := b.frontReport(s.Name, *t)
		if ok && r.ReleasedFront && t.Standby != "" {
			b.succeed(t)
		}
	})
}

// assignFronts gives every target a front and a standby and moves fronts away
// from draining and overloaded members, a few at a time.
func (b *build) assignFronts() {
	l := b.newLoads()
	if len(l.usable) == 0 {
		return
	}
	b.eachTarget(func(s *table.Service, t *table.Target) {
		domain := b.targetDomain(s.Name, t.Name)
		if t.Front == "" {
			b.assignFront(l, t, domain)
		}
		b.confirmNext(l, s.Name, t)
		b.assignStandby(l, t)
	})
	moves := b.frontMoves()
	b.eachTarget(func(_ *table.Service, t *table.Target) {
		if moves < maxFrontMoves && b.moveFront(l, t) {
			moves++
		}
	})
}

func (b *build) assignFront(l *loads, t *table.Target, domain string) {
	best := l.best(func(m table.Member) (bool, int) {
		return true, 2*l.fronts[m.ID] - boolInt(m.Domain == domain)
	})
	t.Front = best.ID
	l.fronts[best.ID]++
	b.changed = true
}

// assignStandby names a standby if there is none, or a successor of a draining
// one. A present standby keeps its right until it has confirmed that it lost it.
func (b *build) assignStandby(l *loads, t *table.Target) {
	if t.Next != "" || (t.Standby != "" && l.isUsable(t.Standby)) {
		return
	}
	best := l.bestStandby(t)
	if best.ID == "" {
		return
	}
	l.standbys[best.ID]++
	b.changed = true
	if t.Standby == "" {
		t.Standby = best.ID
		return
	}
	t.Next = best.ID
}

// confirmNext makes the next standby the standby once the present one has
// confirmed a table that takes its right to succeed away.
func (b *build) confirmNext(l *loads, service string, t *table.Target) {
	if t.Next == "" {
		return
	}
	if !l.isUsable(t.Next) {
		t.Next = ""
		b.changed = true
		return
	}
	revision, marked := b.marks[mark{kind: markNextStandby, service: service, target: t.Name}]
	if t.Standby == "" || (marked && b.standbyHolds(service, *t, revision)) {
		t.Standby, t.Next = t.Next, ""
		b.changed = true
	}
}

// moveFront takes one step of moving the target's front to a better member and
// reports whether a move is under way.
func (b *build) moveFront(l *loads, t *table.Target) bool {
	if t.Release || t.Next != "" || t.Standby == "" || !b.mustLeave(l, t.Front) {
		return false
	}
	if l.isUsable(t.Standby) && l.fronts[t.Standby] < l.fairFronts() {
		t.Release = true
		l.fronts[t.Front]--
		l.fronts[t.Standby]++
		b.changed = true
		return true
	}
	to := l.best(func(m table.Member) (bool, int) {
		return m.ID != t.Front && m.ID != t.Standby, l.fronts[m.ID]
	})
	if to.ID == "" || l.fronts[to.ID] >= l.fairFronts() {
		return b.releaseDraining(l, t)
	}
	t.Next = to.ID
	l.fronts[t.Front]--
	l.fronts[to.ID]++
	b.changed = true
	return true
}

// releaseDraining moves a draining member's target to its standby even if that
// member has its fair share already.
func (b *build) releaseDraining(l *loads, t *table.Target) bool {
	if l.isUsable(t.Front) || !l.isUsable(t.Standby) {
		return false
	}
	t.Release = true
	b.changed = true
	return true
}

// mustLeave reports whether targets should leave the front: it drains, or
// fronts at least two more than its fair share.
func (b *build) mustLeave(l *loads, front table.MemberID) bool {
	return !l.isUsable(front) || l.fronts[front] > l.fairFronts()+1
}

func (b *build) frontMoves() int {
	n := 0
	b.eachTarget(func(_ *table.Service, t *table.Target) {
		if t.Release || t.Next != "" {
			n++
		}
	})
	return n
}

func (b *build) targetDomain(service, target string) string {
	s := b.config.Manifest.ServiceNamed(service)
	if s == nil {
		return ""
	}
	if t := s.TargetNamed(target); t != nil {
		return t.Domain
	}
	return ""
}

// loads counts what each usable member fronts and stands by for.
type loads struct {
	usable   []table.Member
	members  map[table.MemberID]table.Member
	fronts   map[table.MemberID]int
	standbys map[table.MemberID]int
	targets  int
}

func (b *build) newLoads() *loads {
	l := &loads{
		members:  make(map[table.MemberID]table.Member),
		fronts:   make(map[table.MemberID]int),
		standbys: make(map[table.MemberID]int),
	}
	for _, m := range b.next.Members {
		l.members[m.ID] = m
		if !m.Draining {
			l.usable = append(l.usable, m)
		}
	}
	b.eachTarget(func(_ *table.Service, t *table.Target) {
		l.targets++
		l.standbys[t.Standby]++
		l.standbys[t.Next]++
		if t.Release {
			l.fronts[t.Standby]++
			return
		}
		l.fronts[t.Front]++
	})
	return l
}

func (l *loads) isUsable(id table.MemberID) bool {
	m, ok := l.members[id]
	return ok && !m.Draining
}

// fairFronts is the fair number of targets per usable member, rounded up.
func (l *loads) fairFronts() int {
	return (l.targets + len(l.usable) - 1) / max(len(l.usable), 1)
}

// best returns the usable member of lowest cost among the eligible ones.
func (l *loads) best(cost func(table.Member) (eligible bool, cost int)) table.Member {
	var best table.Member
	lowest := 0
	for _, m := range l.usable {
		ok, c := cost(m)
		if ok && (best.ID == "" || c < lowest) {
			best, lowest = m, c
		}
	}
	return best
}

// Costs that rank standbys: voters of the front notice its loss first-hand,
// and another failure domain survives the loss of the front's.
const (
	costSameDomain = 1 << 20
	costNoVoter    = 1 << 10
)

func (l *loads) bestStandby(t *table.Target) table.Member {
	front := l.members[t.Front]
	return l.best(func(m table.Member) (bool, int) {
		cost := l.standbys[m.ID]
		if m.Domain == front.Domain {
			cost += costSameDomain
		}
		if !front.HasVoter(m.ID.Run()) {
			cost += costNoVoter
		}
		return m.ID != t.Front && m.ID != t.Standby && m.ID.Run() != t.Front.Run(), cost
	})
}
