// Package topo defines the interface to the key-value store, which holds the state
// that must survive a restart. Implementations are in its subpackages.
package topo

import (
	"context"
	"errors"
	"time"
)

// Errors returned by stores. ErrUnknownResult means that a write may or may not
// have taken effect; the writer finds out by reading back. ErrRefused means that
// the request is invalid and had no effect, so retrying it does not help. ErrBadReply
// means that the reply is invalid; for a write it comes together with
// ErrUnknownResult. After any other error, nothing was written.
var (
	ErrUnavailable   = errors.New("store unavailable")
	ErrUnknownResult = errors.New("store write result unknown")
	ErrLeaseNotFound = errors.New("store lease not found")
	ErrBadReply      = errors.New("invalid reply of the store")
	ErrRefused       = errors.New("store refused the request")
)

// ErrCompacted is returned by Feed.Changes if the store no longer holds the changes
// after the given revision.
var ErrCompacted = errors.New("store has discarded the requested changes")

// MaxValueBytes is the largest value that the store accepts. A write of a larger one
// fails with ErrRefused.
const MaxValueBytes = 1 << 20

// LeaseID identifies a store lease. Zero means no lease.
type LeaseID int64

// Entry is a key and its value, with the store revisions at which the key was created
// and last modified. CreateRev is 0 if the key does not exist.
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

// Compare is the condition that the key's revision equals Rev. Rev 0 means that the
// key does not exist.
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

// TxnResult reports whether the conditions held, and the store revision after the
// transaction.
type TxnResult struct {
	Succeeded bool
	Rev       int64
}

// Event is a change of a watched key. For a deleted key, Entry.Exists returns false.
type Event struct {
	Entry Entry
}

// Store is a key-value store. All methods are safe for concurrent use and honour the
// context's deadline. Reads are linearizable unless the store breaks that guarantee.
type Store interface {
	// Get returns the entry of key. A missing key is not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Commit runs the transaction. After ErrUnknownResult it may have run.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// GrantLease creates a lease that expires ttl after its last renewal. ttl is
	// rounded up to whole seconds.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease. ErrLeaseNotFound means that it no longer exists.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch sends changes of keys with the prefix until ctx ends, the connection
	// fails or the store cancels the watch; then the channel is closed. The first
	// change sent is one at fromRev or later, or, if fromRev is 0, one made after
	// Watch returned. If the store has compacted fromRev, the channel is closed at
	// once; to miss no change, open the watch with 0 and read the entries
	// afterwards. Watch does not detect a store that stops sending on an open
	// connection.
	Watch(ctx context.Context, prefix string, fromRev int64) (<-chan Event, error)
}

// Lister reads entries together with the store revision that they reflect.
type Lister interface {
	// ListWithRevision returns all entries whose key has the prefix, and the store revision
	// at which they were read.
	ListWithRevision(ctx context.Context, prefix string) ([]Entry, int64, error)
}

// Feed returns changes by revision, for readers that keep a copy of the store.
type Feed interface {
	// Snapshot returns the entries with the prefix. Changes continues from the
	// returned revision without a gap.
	Snapshot(ctx context.Context, prefix string) ([]Entry, Progress, error)
	// Changes returns the changes made after a revision. It waits up to wait for the
	// first one. The Entry of a deleted key has only Key and ModRev. The error is
	// ErrCompacted if the changes are no longer available.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, Progress, error)
}

// Progress is the position of a reader of a Feed.
type Progress struct {
	// Rev is the revision to pass to the next call of Changes.
	Rev int64
	// Age is an upper bound on the time since the reader's copy was last known to
	// match the store.
	Age time.Duration
	// Relayed is true if another daemon answered and not the store.
	Relayed bool
}

// Keys in the store.
const (
	Prefix         = "/jackdawloom/"
	KeyConfig      = Prefix + "config"
	KeyCoordinator = Prefix + "coordinator"
	PrefixTargets  = Prefix + "targets/"
)
