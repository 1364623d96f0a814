package ctl

import (
	"context"
	"sync"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// maxParallel bounds the members that are asked at one time.
const maxParallel = 32

// memberState is a member of the table with its daemon's answer.
type memberState struct {
	adminapi.Member
	State *adminapi.State `json:"state,omitempty"`
	// Problem tells why there is no State.
	Problem string `json:"problem,omitempty"`
}

// fleet is the table with the state of every member.
type fleet struct {
	Table   adminapi.Table `json:"table"`
	Members []memberState  `json:"members"`
}

// fleet asks every member that the table names.
func (c *client) fleet(ctx context.Context) (fleet, error) {
	var f fleet
	if err := c.get(ctx, adminapi.PathTable, &f.Table); err != nil {
		return fleet{}, err
	}
	f.Members = make([]memberState, len(f.Table.Members))
	c.eachMember(f.Table.Members, func(i int, m adminapi.Member) {
		f.Members[i] = c.memberState(ctx, m)
	})
	return f, nil
}

// eachMember calls do for every member, several at a time.
func (c *client) eachMember(members []adminapi.Member, do func(int, adminapi.Member)) {
	slots := make(chan struct{}, maxParallel)
	var done sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		done.Go(func() {
			do(i, m)
			<-slots
		})
	}
	done.Wait()
}

func (c *client) memberState(ctx context.Context, m adminapi.Member) memberState {
	out := memberState{Member: m}
	var s adminapi.State
	if err := c.getFrom(ctx, m.Admin, adminapi.PathState, &s); err != nil {
		out.Problem = err.Error()
		return out
	}
	if s.Run != string(table.MemberID(m.ID).Run()) {
		out.Problem = "another run of the daemon answers at " + m.Admin
		return out
	}
	out.State = &s
	return out
}

// front returns the state of the target's front, or nil if its daemon did not
// answer or does not front the target.
func (f fleet) front(service string, t adminapi.Target) *adminapi.Front {
	for _, m := range f.Members {
		if m.State == nil || m.ID != t.Front {
			continue
		}
		for i := range m.State.Fronts {
			front := &m.State.Fronts[i]
			if front.Service == service && front.Target == t.Name {
				return front
			}
		}
	}
	return nil
}

// coordinator reports whether the member's daemon is the coordinator.
func (m memberState) coordinator() bool { return m.State != nil && m.State.IsCoordinator }

// authority returns the longest time left of the serving leases in ms.
func (m memberState) authority() int64 {
	if m.State == nil {
		return 0
	}
	var left int64
	for _, membership := range m.State.Memberships {
		if membership.ID == m.ID {
			left = max(left, membership.AuthorityMs)
		}
	}
	return left
}
