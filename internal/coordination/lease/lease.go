// Package lease holds the state machines of serving leases: the holder that
// collects votes, the voter that gives them, and the fencer that ends a lease.
//
// Safety rests on three facts. Any two majorities of a voter set share a voter.
// A voter's promise, counted from receipt, outlasts the holder's vote, counted
// from sending. A voter that has agreed to a fence never renews again.
package lease

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// certain returns the part of a foreign clock's duration d that has certainly
// not passed on that clock when it has passed on the own clock.
func certain(d time.Duration) time.Duration {
	return d * (100 - table.DriftPercent) / 100
}

func majority(voters []table.MemberID) int { return len(voters)/2 + 1 }

// distinct returns the voters without repetitions, which would count twice.
func distinct(voters []table.MemberID) []table.MemberID {
	seen := make(map[table.MemberID]bool, len(voters))
	out := make([]table.MemberID, 0, len(voters))
	for _, v := range voters {
		if seen[v] {
			continue
		}
		seen[v] = true
		out = append(out, v)
	}
	return out
}
