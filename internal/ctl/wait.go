package ctl

import (
	"context"
)

// laggingMember is a member that does not have a revision in force, or whose state is
// unknown.
type laggingMember struct {
	Daemon  string `json:"daemon"`
	Admin   string `json:"admin"`
	Config  uint64 `json:"config"`
	Problem string `json:"problem,omitempty"`
}

// awaitInForce waits until every member of the table has the revision in force, and
// returns the members that do not have it when ctx ends. The table is read again on every
// poll, since members join and leave.
func (c *client) awaitInForce(ctx context.Context, revision uint64) []laggingMember {
	var last []laggingMember
	for {
		lagging := c.laggingMembers(ctx, revision)
		if len(lagging) == 0 {
			return []laggingMember{}
		}
		if ctx.Err() != nil && last != nil {
			return last // ctx ended during the calls of this poll, so their result is not used
		}
		last = lagging
		waitPollInterval(ctx)
	}
}

func (c *client) laggingMembers(ctx context.Context, revision uint64) []laggingMember {
	f, err := c.fetchFleet(ctx)
	if err != nil {
		return []laggingMember{{Daemon: "?", Admin: c.addresses[0], Problem: err.Error()}}
	}
	if len(f.Members) == 0 {
		return []laggingMember{{Daemon: "?", Admin: c.addresses[0], Problem: "the table names no member"}}
	}
	var out []laggingMember
	for _, m := range f.Members {
		if b, lagging := m.lagging(revision); lagging {
			out = append(out, b)
		}
	}
	return out
}

func (m memberState) lagging(revision uint64) (laggingMember, bool) {
	b := laggingMember{Daemon: m.Daemon, Admin: m.AdminAddress, Problem: m.Problem}
	if m.State == nil {
		return b, true
	}
	b.Config = m.State.ConfigRevision
	return b, b.Config < revision
}
