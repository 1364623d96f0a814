package ctl

import (
	"context"
	"sync"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

// maxConcurrentCalls bounds the members that are asked at one time.
const maxConcurrentCalls = 32

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

// fetchFleet asks every member that the table names.
func (c *client) fetchFleet(ctx context.Context) (fleet, error) {
	var f fleet
	if err := c.get(ctx, adminapi.PathTable, &f.Table); err != nil {
		return fleet{}, err
	}
	f.Members = make([]memberState, len(f.Table.Members))
	c.forEachMember(f.Table.Members, func(i int, m adminapi.Member) {
		f.Members[i] = c.fetchMemberState(ctx, m)
	})
	return f, nil
}

// forEachMember calls do for every member, several at a time.
func (c *client) forEachMember(members []adminapi.Member, do func(int, adminapi.Member)) {
	slots := make(chan struct{}, maxConcurrentCalls)
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

func (c *client) fetchMemberState(ctx context.Context, m adminapi.Member) memberState {
	out := memberState{Member: m}
	var s adminapi.State
	if err := c.getFrom(ctx, m.Admin, adminapi.PathState, &s); err != nil {
		out.Problem = err.Error()
		return out
	}
	if s.Run != m.Run {
		out.Problem = "another run of the daemon answers at " + m.Admin
		return out
	}
	out.State = &s
	return out
}

// targetLoad returns what the fleet knows of a targetLoad's load: its requests of all
// daemons and their connections to it.
func (f fleet) targetLoad(service, name string) (load adminapi.TargetLoad, known bool) {
	load = adminapi.TargetLoad{Service: service, Target: name}
	for _, m := range f.Members {
		if m.State == nil {
			continue
		}
		for _, t := range m.State.Targets {
			if t.Service != service || t.Target != name {
				continue
			}
			known = true
			load.Running += t.Running
			load.Connections += t.Connections
			load.Slots = t.Slots
			load.Suspect = load.Suspect || t.Suspect
			load.TimeMs = max(load.TimeMs, t.TimeMs)
		}
	}
	return load, known
}

// isCoordinator reports whether the member's daemon is the isCoordinator.
func (m memberState) isCoordinator() bool { return m.State != nil && m.State.IsCoordinator }
