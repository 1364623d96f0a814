// Package topo defines the interface to the platform's key-value store, which
// keeps what must last. Back ends live in sub-packages.
package topo

import (
	"context"
	"errors"
	"time"
)

// Errors returned by stores. ErrUnknownResult means that a write may or may not
// have taken effect; the writer resolves it by reading back. ErrRefused means
// that the request is invalid and had no effect; repeating it does not help.
// With any other error except ErrBadReply alone on a read, nothing was written.
var (
	ErrUnavailable   = errors.New("store unavailable")
	ErrUnknownResult = errors.New("store write result unknown")
	ErrLeaseNotFound = errors.New("store lease not found")
	ErrBadReply      = errors.New("store reply not understood")
	ErrRefused       = errors.New("store refused the request")
)

// ErrCompacted is returned by Feed.Changes if the store no longer has the
// changes after the given revision.
var ErrCompacted = errors.New("store history discarded")

// MaxValueBytes is the largest value that the store accepts. A larger one is
// refused with ErrRefused.
const MaxValueBytes = 1 << 20

// LeaseID names a store lease. Zero means no lease.
type LeaseID int64

// Entry is a stored key with the store revisions of its creation and its last
// change. CreateRev is 0 if the key does not exist.
type Entry struct {
	Key       string
	Value     []byte
	CreateRev int64
	ModRev    int64
	Lease     LeaseID
}

// Exists reports whether the key is in the store.
func (e Entry) Exists() bool { return e.CreateRev != 0 }

// CompareField selects the revision that a Compare looks at.
type CompareField int

// Fields of a Compare.
const (
	CompareCreateRev CompareField = iota
	CompareModRev
)

// Compare is a condition that the key's revision equals Rev. Rev 0 means that
// the key does not exist.
type Compare struct {
	Key   string
	Field CompareField
	Rev   int64
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn writes all Puts and Deletes if all Compares hold, and nothing otherwise.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// TxnResult tells whether the conditions held, and the store revision after
// the transaction.
type TxnResult struct {
	Succeeded bool
	Rev       int64
}

// Event is a change of a watched key. A deleted key has an Entry that does not
// exist.
type Event struct {
	Entry Entry
}

// Store is the platform's key-value store. All methods are safe for concurrent
// use and honour the context's deadline. Reads are linearizable unless the
// store lies.
type Store interface {
	// Get returns the entry of key; a missing key is no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Commit runs the transaction. On ErrUnknownResult it may have run.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// GrantLease creates a lease that ends ttl after its last renewal. ttl is
	// rounded up to whole seconds.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease; ErrLeaseNotFound means that it has ended.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch sends changes of keys with the prefix until ctx ends, the connection
	// fails or the store cancels the watch; then the channel is closed. The
	// first change sent is one at fromRev or later, or one made after Watch
	// returned if fromRev is 0. A fromRev that the store no longer has closes
	// the channel at once, so a caller that wants no gap opens the watch with
	// 0 and reads afterwards. A store that has fallen silent is not noticed.
	Watch(ctx context.Context, prefix string, fromRev int64) (<-chan Event, error)
}

// Lister reads a prefix together with the revision of the store.
type Lister interface {
	// ListAt returns all entries whose key has the prefix, and the revision of the
	// store that they are of.
	ListAt(ctx context.Context, prefix string) ([]Entry, int64, error)
}

// Feed reads changes by revision, for readers that keep a copy of the store.
type Feed interface {
	// Snapshot returns the entries with the prefix. Changes continues from its
	// revision without a gap.
	Snapshot(ctx context.Context, prefix string) ([]Entry, Progress, error)
	// Changes returns the changes after a revision. It waits up to wait for the
	// first one. A deleted key has an Entry with only Key and ModRev. The error is
	// ErrCompacted if the changes are no longer known.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, Progress, error)
}

// Progress tells how far a reader of a Feed has come.
type Progress struct {
	// Rev is the revision to go on from.
	Rev int64
	// Age is how long ago, at most, the store had no change beyond what was read.
	Age time.Duration
}

// Keys in the store.
const (
	Prefix         = "/jackdawloom/"
	KeyConfig      = Prefix + "config"
	KeyCoordinator = Prefix + "coordinator"
	PrefixTargets  = Prefix + "targets/"
)
