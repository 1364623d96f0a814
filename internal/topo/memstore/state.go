package memstore

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// firstRev is the revision of an empty store, as in etcd.
const firstRev = 1

// State is the content of the store. It is not safe for concurrent use. Its clock is the
// time last passed to Advance.
type State struct {
	now         time.Time
	rev         int64
	keys        map[string]KV
	leases      map[topo.LeaseID]*lease
	lastLeaseID topo.LeaseID
	history     history
}

// NewState returns an empty store at revision 1 whose clock is at now.
func NewState(now time.Time, limits HistoryLimits) *State {
	return &State{
		now:         now,
		rev:         firstRev,
		keys:        make(map[string]KV),
		leases:      make(map[topo.LeaseID]*lease),
		lastLeaseID: leaseIDBase,
		history:     history{limits: limits.withDefaults()},
	}
}

// Rev returns the revision of the last change.
func (s *State) Rev() int64 { return s.rev }

// Range returns the entries in r, ordered by key.
func (s *State) Range(r keyrange.Range) []KV {
	if r.End == "" {
		kv, ok := s.keys[r.Key]
		if !ok {
			return nil
		}
		return []KV{kv}
	}
	var found []KV
	for key, kv := range s.keys {
		if r.Contains(key) {
			found = append(found, kv)
		}
	}
	slices.SortFunc(found, func(a, b KV) int { return strings.Compare(a.Key, b.Key) })
	return found
}

// At returns the entries at revision rev, as a State without leases and history. Revision
// 0 means the current one.
func (s *State) At(rev int64) (*State, error) {
	if rev == 0 {
		rev = s.rev
	}
	if rev > s.rev {
		return nil, ErrFutureRev
	}
	if rev < s.history.compactRev {
		return nil, ErrCompacted
	}
	old := NewState(s.now, s.history.limits)
	old.rev = rev
	old.keys = maps.Clone(s.keys)
	s.history.undo(old.keys, rev)
	return old, nil
}

// EventsFrom returns the events of keys in r, starting at revision from, in the order of
// their revisions. It returns a bounded number of complete revisions, and the revision at
// which the next call continues.
func (s *State) EventsFrom(r keyrange.Range, from int64) ([]Event, int64, error) {
	if from < s.history.compactRev {
		return nil, from, ErrCompacted
	}
	if from > s.rev {
		return nil, from, nil
	}
	events, next := s.history.batchFrom(r, from, s.rev+1)
	return events, next, nil
}

// CompactRev returns the lowest revision at which reads and watches can still start; it is
// 0 as long as nothing has been compacted.
func (s *State) CompactRev() int64 { return s.history.compactRev }

// Compact discards the history before rev.
func (s *State) Compact(rev int64) error {
	if rev > s.rev {
		return ErrFutureRev
	}
	if rev <= s.history.compactRev {
		return ErrCompacted
	}
	s.history.compact(rev)
	return nil
}
