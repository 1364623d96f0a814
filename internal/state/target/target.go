// Package target describes the targets that registered themselves.
package target

import (
	"cmp"
	"slices"
	"time"
)

// State is what a target says about itself.
type State uint8

// States of a target.
const (
	Ready State = iota
	// Draining targets finish what they run and must receive nothing new.
	Draining
	// Leaving targets give up their keys and serve them until then.
	Leaving
)

// Record is the registration of one target.
type Record struct {
	ID      string
	Service string
	// Address is the IP address and port that the target listens at. It may
	// pass to a target of another service once this one has ended.
	Address string
	Domain  string
	Version string
	Slots   int
	State   State
	// ColdFor is how much longer the target was slow when it last registered.
	ColdFor time.Duration
	// Epoch tells two lives under the same ID apart.
	Epoch int64
}

// Incarnation names one run of a target.
type Incarnation struct {
	ID    string
	Epoch int64
}

// Incarnation returns the run that the record describes.
func (r Record) Incarnation() Incarnation { return Incarnation{r.ID, r.Epoch} }

// Set is an immutable set of registrations.
type Set struct {
	byID      map[string]Record
	byService map[string][]Record
}

// NewSet returns the set of the records. A later record with the same ID
// replaces an earlier one.
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

// Get returns the registration of a target.
func (s *Set) Get(id string) (Record, bool) {
	r, ok := s.byID[id]
	return r, ok
}

// Service returns the targets of a service ordered by ID. The slice must not be
// changed.
func (s *Set) Service(name string) []Record { return s.byService[name] }

// All calls f for every registration.
func (s *Set) All(f func(Record)) {
	for _, r := range s.byID {
		f(r)
	}
}

// Len returns the number of registrations.
func (s *Set) Len() int { return len(s.byID) }
