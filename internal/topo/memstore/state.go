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

// State is the content of the store. It is not safe for concurrent use. The
// time is the one last passed to Advance.
type State struct {
	now       time.Time
	rev       int64
	keys      map[string]KV
	leases    map[topo.LeaseID]*lease
	lastLease topo.LeaseID
	history   history
}

// NewState returns an empty store at revision 1 whose time is now.
func NewState(now time.Time, limits HistoryLimits) *State {
	return &State{
		now:       now,
		rev:       firstRev,
		keys:      make(map[string]KV),
		leases:    make(map[topo.LeaseID]*lease),
		lastLease: firstLease,
		history:   history{limits: limits.withDefaults()},
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

// At returns the entries as they were at revision rev, as a State that has no
// leases and no history. Revision 0 stands for the current one.
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
	past := NewState(s.now, s.history.limits)
	past.rev = rev
	past.keys = maps.Clone(s.keys)
	s.history.undo(past.keys, rev)
	return past, nil
}

// EventsFrom returns the events of keys in r, starting with revision from, in
// the order of their revisions. It returns a bounded number of complete
// revisions, and the revision from which the next call continues.
func (s *State) EventsFrom(r keyrange.Range, from int64) ([]Event, int64, error) {
	if from < s.history.compactRev {
		return nil, from, ErrCompacted
	}
	if from > s.rev {
		return nil, from, nil
	}
	events, next := s.history.from(r, from, s.rev+1)
	return events, next, nil
}

// CompactRev returns the lowest revision that reads and watches can still
// start from; it is 0 as long as nothing has been discarded.
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
