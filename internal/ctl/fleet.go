package ctl

import (
	"context"
	"sync"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

// maxConcurrentCalls limits the number of members that are called concurrently.
const maxConcurrentCalls = 32

// memberState is a member of the table with the state that its daemon reported.
type memberState struct {
	adminapi.Member
	State *adminapi.State `json:"state,omitempty"`
	// Problem is the reason why State is nil.
	Problem string `json:"problem,omitempty"`
}

// fleet is the table together with the state of every member.
type fleet struct {
	Table   adminapi.Table `json:"table"`
	Members []memberState  `json:"members"`
}

// fetchFleet reads the table and then the state of every member that it lists.
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

// forEachMember calls fn for every member, up to maxConcurrentCalls at a time, and waits
// for all calls to return.
func (c *client) forEachMember(members []adminapi.Member, fn func(int, adminapi.Member)) {
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, m := range members {
		semaphore <- struct{}{}
		wg.Go(func() {
			fn(i, m)
			<-semaphore
		})
	}
	wg.Wait()
}

func (c *client) fetchMemberState(ctx context.Context, m adminapi.Member) memberState {
	out := memberState{Member: m}
	var s adminapi.State
	if err := c.getFrom(ctx, m.AdminAddress, adminapi.PathState, &s); err != nil {
		out.Problem = err.Error()
		return out
	}
	if s.RunID != m.RunID {
		out.Problem = "the table lists another run of the daemon than the one that answers at " + m.AdminAddress
		return out
	}
	out.State = &s
	return out
}

// targetLoad aggregates a target's load over all daemons that reported it. Running and
// Connections are sums, ServiceTimeMs is the maximum, and Suspect is set if any daemon
// suspects the target.
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
			load.ServiceTimeMs = max(load.ServiceTimeMs, t.ServiceTimeMs)
		}
	}
	return load, known
}

// isCoordinator reports whether the member's daemon states that it is the coordinator.
func (m memberState) isCoordinator() bool { return m.State != nil && m.State.IsCoordinator }
