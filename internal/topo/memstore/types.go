// Package memstore holds the state of a key-value store with the semantics of
// etcd's v3 API: revisions, multi-key transactions, leases and watches.
//
// State is pure; time is passed in. Shared makes a State safe for concurrent
// use, ends leases on time and applies injected faults. Store is the in-process
// implementation of topo.Store and topo.InstanceList on top of Shared.
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

// KV is a stored key. A missing key has CreateRev 0. Values are never modified
// in place and may be shared.
type KV struct {
	Key       string
	Value     []byte
	CreateRev int64
	ModRev    int64
	Version   int64
	Lease     topo.LeaseID
}

// EventKind tells whether a key was put or deleted.
type EventKind int

// Kinds of events.
const (
	EventPut EventKind = iota
	EventDelete
)

// Event is one change of one key. For a deletion KV holds only the key and the
// revision of the deletion. Prev is nil if the key did not exist before.
type Event struct {
	Kind EventKind
	KV   KV
	Prev *KV
}

// CompareTarget selects what a Compare looks at.
type CompareTarget int

// Targets of a Compare.
const (
	TargetVersion CompareTarget = iota
	TargetCreateRev
	TargetModRev
	TargetValue
	TargetLease
)

// CompareResult is the relation that a Compare requires.
type CompareResult int

// Relations of a Compare.
const (
	ResultEqual CompareResult = iota
	ResultGreater
	ResultLess
	ResultNotEqual
)

// Compare is a condition on one key. Number is used for all targets except
// TargetValue, which uses Value. A missing key counts as all zeros, except that
// a comparison of its value never holds.
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

// OpResult is the result of an Op. Put and Delete report the replaced entries
// in Prev; Range reports the found ones in Found.
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
