package ctl

import (
	"context"
)

// behind is a member that does not have a revision in force.
type behind struct {
	Daemon  string `json:"daemon"`
	Admin   string `json:"admin"`
	Config  uint64 `json:"config"`
	Problem string `json:"problem,omitempty"`
}

// awaitInForce waits until every member that the table names has the revision
// in force, and returns those that have not when ctx ends. The table is read
// anew each time, since members join and leave.
func (c *client) awaitInForce(ctx context.Context, revision uint64) []behind {
	var last []behind
	for {
		missing := c.behind(ctx, revision)
		if len(missing) == 0 {
			return []behind{}
		}
		if ctx.Err() != nil && last != nil {
			return last // the calls of this pass were cut off
		}
		last = missing
		pause(ctx)
	}
}

func (c *client) behind(ctx context.Context, revision uint64) []behind {
	f, err := c.fleet(ctx)
	if err != nil {
		return []behind{{Daemon: "?", Admin: c.addresses[0], Problem: err.Error()}}
	}
	if len(f.Members) == 0 {
		return []behind{{Daemon: "?", Admin: c.addresses[0], Problem: "the table names no member"}}
	}
	var out []behind
	for _, m := range f.Members {
		if b, ok := m.behind(revision); ok {
			out = append(out, b)
		}
	}
	return out
}

func (m memberState) behind(revision uint64) (behind, bool) {
	b := behind{Daemon: m.Daemon, Admin: m.Admin, Problem: m.Problem}
	if m.State == nil {
		return b, true
	}
	b.Config = m.State.Config
	return b, b.Config < revision
}
