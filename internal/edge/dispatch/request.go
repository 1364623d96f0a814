package dispatch

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// Request is a caller's request.
type Request struct {
	ID, Method, URI, Host string
	Header                http.Header
	Body                  []byte
	Route                 *route.Route
	Service               string
	Key                   uint16
	HasKey                bool
	// Arrived is when the request was received, and Deadline when the caller's
	// waiting time ends.
	Arrived, Deadline time.Duration

	sends atomic.Int32
}

// Sends returns how often the request has been sent so far.
func (r *Request) Sends() int { return int(r.sends.Load()) }

// Reason is why a request got no usable response from a target.
type Reason string

// Values of Reason.
const (
	NoTarget             Reason = "no target registered"
	NoOwner              Reason = "key has no owner"
	NoKey                Reason = "key missing"
	TargetsFull          Reason = "targets full"
	TargetPaused         Reason = "target asked for a pause"
	TargetCold           Reason = "target is cold"
	DeadlineExceeded     Reason = "time is up"
	TargetUnreachable    Reason = "target not reached"
	TargetReplaced       Reason = "address has another target"
	RetryBudgetExhausted Reason = "retry budget used up"
	KeyNotHeld           Reason = "owner does not hold the key"
	ConnectionLost       Reason = "connection ended without an answer"
	InvalidResponse      Reason = "answer not usable"
	CallerDisconnected   Reason = "caller left"
	NoConfig             Reason = "no configuration known"
	NoMemory             Reason = "no memory left for the body"
	Stopping             Reason = "daemon is stopping"
	TooManyConnections   Reason = "too many connections"
)

// Reasons returns all values of Reason.
func Reasons() []Reason {
	return []Reason{
		NoTarget, NoOwner, NoKey, TargetsFull, TargetPaused, TargetCold, DeadlineExceeded, TargetUnreachable, TargetReplaced, RetryBudgetExhausted, KeyNotHeld, ConnectionLost, InvalidResponse,
		CallerDisconnected, NoConfig, NoMemory, Stopping, TooManyConnections,
	}
}

// SelectionInputs are the values that the last selection of a target was based on.
type SelectionInputs struct {
	ConfigVersion uint64
	// TableRev is the store's revision of the range table; 0 if none was used.
	TableRev int64
	// CopyAge is the age of the daemon's local copy of the store.
	CopyAge time.Duration
	// ReadyTargets is the number of ready targets of a service without keys.
	ReadyTargets int
	// Load and Slots describe the target that was too busy, and ExpectedTime is how
	// long the request was expected to take there.
	Load, Slots  int
	ExpectedTime time.Duration
	// Admission is why admission refused the request at that target; empty if it did not.
	Admission string
}

// Refusal describes a request that ended without a usable response from a target.
type Refusal struct {
	Reason Reason
	Inputs SelectionInputs
	// MayHaveRun is false only if the request has not run and will not run.
	MayHaveRun bool
	RetryAfter time.Duration
	Sends      int
	Target     string
	Cause      error
}
