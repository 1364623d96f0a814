// Package memstore holds the state of a key-value store with the semantics of
// etcd's v3 API: revisions, multi-key transactions, leases and watches.
//
// State is deterministic: it reads no clock, and the time is passed in. SharedState makes a
// State safe for concurrent use, ends leases on time and holds the injected faults. Store
// is the in-process implementation of topo.Store and topo.Lister on top of SharedState.
package memstore

import (
	"errors"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// Errors of State. A call that returns one of them, or topo.ErrLeaseNotFound,
// changes nothing.
var (
	ErrCompacted     = errors.New("required revision has been compacted")
	ErrFutureRev     = errors.New("required revision is a future revision")
	ErrEmptyKey      = errors.New("key is not provided")
	ErrDuplicateKey  = errors.New("duplicate key given in txn request")
	ErrValueTooLarge = errors.New("value is too large")
	ErrTooManyOps    = errors.New("too many operations in txn request")
	ErrLeaseExists   = errors.New("lease already exists")
	ErrLeaseTTL      = errors.New("lease TTL out of range")
)

// KV is a stored key and its value. A missing key has CreateRev 0. Values are never
// modified in place and may be shared.
type KV struct {
	Key       string
	Value     []byte
	CreateRev int64
	ModRev    int64
	Version   int64
	Lease     topo.LeaseID
}

// EventKind is the kind of a change.
type EventKind int

// Kinds of events.
const (
	EventPut EventKind = iota
	EventDelete
)

// Event is one change of one key. For a deletion, KV holds only the key and the revision
// of the deletion. Prev is nil if the key did not exist before.
type Event struct {
	Kind EventKind
	KV   KV
	Prev *KV
}

// CompareTarget selects the field that a Compare checks.
type CompareTarget int

// Fields that a Compare can check.
const (
	TargetVersion CompareTarget = iota
	TargetCreateRev
	TargetModRev
	TargetValue
	TargetLease
)

// CompareResult is the relation between field and operand that a Compare requires.
type CompareResult int

// Relations of a Compare.
const (
	ResultEqual CompareResult = iota
	ResultGreater
	ResultLess
	ResultNotEqual
)

// Compare is a condition on one key. Number is the operand for all fields except
// TargetValue, which uses Value. All fields of a missing key are zero, except that a
// comparison of its value never holds.
type Compare struct {
	Key    string
	Target CompareTarget
	Result CompareResult
	Number int64
	Value  []byte
}

// Put is a write of one key. Lease 0 attaches the key to no lease.
type Put struct {
	Key   string
	Value []byte
	Lease topo.LeaseID
}

// Op is one operation of a transaction; exactly one field is set.
type Op struct {
	Put    *Put
	Delete *keyrange.Range
	Range  *keyrange.Range
}

// OpResult is the result of an Op. Put and Delete return the replaced entries in Prev;
// Range returns the entries that it found in Found.
type OpResult struct {
	Prev  []KV
	Found []KV
}

// Txn runs Success if all Compares hold and Failure otherwise.
type Txn struct {
	Compares []Compare
	Success  []Op
	Failure  []Op
}

// TxnResult reports which branch ran and the results of its operations.
type TxnResult struct {
	Succeeded bool
	Results   []OpResult
}
