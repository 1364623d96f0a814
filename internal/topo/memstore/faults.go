package memstore

import (
	"fmt"
	"time"
)

// Down selects how the store fails while it is unreachable.
type Down string

// Failure modes of an unreachable store.
const (
	DownNone   Down = ""
	DownRefuse Down = "refuse" // open connections are closed and new ones refused
	DownReset  Down = "reset"  // watches end; the connection of each call is reset
)

// MalformedReply is a kind of reply that a client must not take for a result.
type MalformedReply string

// Kinds of malformed replies. The call itself takes effect.
const (
	MalformedNone      MalformedReply = ""
	MalformedGarbage   MalformedReply = "garbage"   // not JSON
	MalformedEmpty     MalformedReply = "empty"     // an empty JSON object
	MalformedTypes     MalformedReply = "types"     // JSON with fields of the wrong types
	MalformedTruncated MalformedReply = "truncated" // JSON that is cut off
	MalformedEndless   MalformedReply = "endless"   // a reply that never ends
)

// AllCalls as a number of calls means every call.
const AllCalls = -1

// Faults selects the injected faults. The zero value injects none.
type Faults struct {
	Down Down `json:"down"`
	// DelayMs delays every call; replacing the faults ends the delay. A delayed
	// write takes effect after the delay even if its caller has given up.
	DelayMs int64 `json:"delay_ms"`
	// LoseWriteAnswers is the number of writes (txn, put, deleterange) that
	// take effect but get no reply, or AllCalls.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// DropWrites is the number of writes that neither take effect nor get a
	// reply, or AllCalls.
	DropWrites int `json:"drop_writes"`
	// LoseLeaseAnswers is the number of lease calls that take effect but get no
	// reply, or AllCalls.
	LoseLeaseAnswers int `json:"lose_lease_answers"`
	// HangLost makes a lost call hang until its caller gives up; otherwise the
	// call fails at once with a closed connection.
	HangLost bool `json:"hang_lost"`
	// ExpireLeases ends all leases at once, and each later one at the next
	// access to the store.
	ExpireLeases bool `json:"expire_leases"`
	// StallOpen leaves calls without a reply on the connections that are open
	// when it is set; new connections work. The in-process store has no
	// connections and ignores it.
	StallOpen bool `json:"stall_open"`
	// SilentWatch holds back the events of all watches until it is turned off.
	SilentWatch bool `json:"silent_watch"`
	// RollbackTo is the old revision from which reads are served, or 0 for the
	// current one.
	RollbackTo int64          `json:"rollback_to"`
	Nonsense   MalformedReply `json:"nonsense"`
}

// Validate reports unknown and negative values.
func (f Faults) Validate() error {
	switch f.Down {
	case DownNone, DownRefuse, DownReset:
	default:
		return fmt.Errorf("unknown value of down: %q", f.Down)
	}
	switch f.Nonsense {
	case MalformedNone, MalformedGarbage, MalformedEmpty, MalformedTypes, MalformedTruncated, MalformedEndless:
	default:
		return fmt.Errorf("unknown value of nonsense: %q", f.Nonsense)
	}
	if f.DelayMs < 0 || f.RollbackTo < 0 || min(f.LoseWriteAnswers, f.DropWrites, f.LoseLeaseAnswers) < AllCalls {
		return fmt.Errorf("negative number in faults: %+v", f)
	}
	return nil
}

// CallFaults are the injected faults of one call.
type CallFaults struct {
	Down      Down
	Delay     time.Duration
	Drop      bool // the call is lost before it takes effect
	Lose      bool // the call takes effect, but its reply is lost
	Hang      bool // a lost call waits for its caller to give up
	Stall     bool // the call hangs if its connection was open when StallOpen was set
	Malformed MalformedReply
}

// consume returns the faults of one call and counts down those that are limited to a
// number of calls.
func (f *Faults) consume(c Call) CallFaults {
	out := CallFaults{
		Down:      f.Down,
		Delay:     time.Duration(f.DelayMs) * time.Millisecond,
		Hang:      f.HangLost,
		Stall:     f.StallOpen,
		Malformed: f.Nonsense,
	}
	if f.Down != DownNone {
		return out
	}
	switch {
	case c.isWrite():
		out.Drop = consumeOne(&f.DropWrites)
		out.Lose = !out.Drop && consumeOne(&f.LoseWriteAnswers)
	case c.isLeaseCall():
		out.Lose = consumeOne(&f.LoseLeaseAnswers)
	}
	return out
}

// consumeOne reports whether a fault applies to this call and counts it down.
func consumeOne(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n == AllCalls
}
