// Package target defines the registrations of targets.
package target

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state that a target is registered with.
type State uint8

// States of a target.
const (
	Ready State = iota
	// Draining targets finish their running requests and must not receive new ones.
	Draining
	// Leaving targets give up their keys and serve each key until it has moved.
	Leaving
)

// Record is the registration of one target.
type Record struct {
	ID      string
	Service string
	// Address is the IP address and port on which the target listens. After the target
	// has ended, a target of another service may reuse it.
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// WarmupRemaining is the warm-up time that remained when the target last registered.
	// Until it has passed, the target is slow.
	WarmupRemaining time.Duration
	// ColdSince and ColdUntil are the times on package clock between which the target is cold, as
	// far as the daemon knows. They are not part of the registration.
	ColdSince, ColdUntil time.Duration
	// ColdReported is set if the target said so in a response to this daemon, so that other
	// daemons may not know it.
	ColdReported bool
	// Epoch distinguishes incarnations with the same ID.
	Epoch int64
}

// SetCold records at the time now that the target is cold for the remaining time, by its
// registration.
func (r *Record) SetCold(now, remaining time.Duration) {
	if r.ColdUntil <= now {
		if remaining == 0 {
			return
		}
		r.ColdSince = now
	}
	r.ColdUntil, r.ColdReported = now+remaining, false
}

// Incarnation identifies one run of a target's process.
type Incarnation struct {
	ID    string
	Epoch int64
}

// Hash identifies the incarnation in hints between daemons. A collision only makes a hint
// about one target apply to another.
func (i Incarnation) Hash() uint64 {
	return xxhash.Sum64String(strconv.FormatInt(i.Epoch, 16) + "/" + i.ID)
}

// Incarnation returns the incarnation that registered the record.
func (r Record) Incarnation() Incarnation { return Incarnation{r.ID, r.Epoch} }

// Set is an immutable set of registrations.
type Set struct {
	byID      map[string]Record
	byService map[string][]Record
}

// NewSet returns a set of the given records. If several records have the same ID, the
// last one is kept.
func NewSet(records []Record) *Set {
	s := &Set{byID: make(map[string]Record, len(records)), byService: make(map[string][]Record)}
	for _, r := range records {
		s.byID[r.ID] = r
	}
	for _, r := range s.byID {
		s.byService[r.Service] = append(s.byService[r.Service], r)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Get returns the registration of a target and whether there is one.
func (s *Set) Get(id string) (Record, bool) {
	r, ok := s.byID[id]
	return r, ok
}

// Service returns the registrations of a service, ordered by ID. The slice must not be
// modified.
func (s *Set) Service(name string) []Record { return s.byService[name] }

// All calls f for every registration, in no particular order.
func (s *Set) All(f func(Record)) {
	for _, r := range s.byID {
		f(r)
	}
}

// Len returns the number of registrations.
func (s *Set) Len() int { return len(s.byID) }
