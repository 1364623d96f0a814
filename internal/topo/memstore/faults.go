package memstore

import (
	"fmt"
	"time"
)

// Down is the way in which the store is down.
type Down string

// Ways of being down.
const (
	DownNone   Down = ""
	DownRefuse Down = "refuse" // connections are closed and refused
	DownReset  Down = "reset"  // watches break; connections are reset on each call
)

// MalformedReply is a kind of reply that no client can understand.
type MalformedReply string

// Kinds of nonsense replies. The call itself takes effect.
const (
	MalformedNone      MalformedReply = ""
	MalformedGarbage   MalformedReply = "garbage"   // not JSON
	MalformedEmpty     MalformedReply = "empty"     // an empty JSON object
	MalformedTypes     MalformedReply = "types"     // JSON of other types
	MalformedTruncated MalformedReply = "truncated" // JSON that ends early
	MalformedEndless   MalformedReply = "endless"   // a reply that never ends
)

// AllCalls as a count of calls means every call.
const AllCalls = -1

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	Down Down `json:"down"`
	// DelayMs delays every call, until the faults are replaced at the latest. A
	// delayed write takes effect after the delay even if its caller has given
	// up.
	DelayMs int64 `json:"delay_ms"`
	// LoseWriteAnswers is the number of writes (txn, put, deleterange) that
	// take effect without an answer, or All.
	LoseWriteAnswers int `json:"lose_write_answers"`
	// DropWrites is the number of writes that are lost together with their
	// answer, or All.
	DropWrites int `json:"drop_writes"`
	// LoseLeaseAnswers is the number of lease calls that take effect without an
	// answer, or All.
	LoseLeaseAnswers int `json:"lose_lease_answers"`
	// HangLost makes a lost call wait for its caller to give up; otherwise the
	// connection breaks.
	HangLost bool `json:"hang_lost"`
	// ExpireLeases ends all leases, and every new one with the next call.
	ExpireLeases bool `json:"expire_leases"`
	// StallOpen keeps calls unanswered on the connections that are open when it
	// is set; new connections work. The in-process store has no connections.
	StallOpen bool `json:"stall_open"`
	// SilentWatch keeps events from watches until it is turned off.
	SilentWatch bool `json:"silent_watch"`
	// RollbackTo is the revision from which reads are served, or 0.
	RollbackTo int64          `json:"rollback_to"`
	Nonsense   MalformedReply `json:"nonsense"`
}

// Validate reports values that have no meaning.
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

// CallFaults are the faults of one call.
type CallFaults struct {
	Down      Down
	Delay     time.Duration
	Drop      bool // the call is lost before it takes effect
	Lose      bool // the call takes effect, the answer is lost
	Hang      bool // a lost call waits for its caller to give up
	Stall     bool // the call is lost if its connection is old
	Malformed MalformedReply
}

// take returns the faults of one call and counts down the limited ones.
func (f *Faults) take(c Call) CallFaults {
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
	case c.writes():
		out.Drop = takeOne(&f.DropWrites)
		out.Lose = !out.Drop && takeOne(&f.LoseWriteAnswers)
	case c.ofLease():
		out.Lose = takeOne(&f.LoseLeaseAnswers)
	}
	return out
}

func takeOne(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n == AllCalls
}
