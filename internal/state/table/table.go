// Package table defines the assignment table: the members of the fleet, the
// front and standby of every target, and the owner of every shard. A table is
// immutable once published; its revision grows by exactly one per change.
package table

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed reports a table that cannot be decoded or contradicts itself.
var ErrMalformed = errors.New("malformed assignment table")

// MemberID names one incarnation of a daemon, as RUN/N: RUN is one run of the
// daemon's process and N counts its memberships. It is never reused. Voters are
// named by their run alone, since a run keeps its promises through all of its
// memberships.
type MemberID string

// NewMemberID returns the id of the n-th membership of a run.
func NewMemberID(run MemberID, n int) MemberID {
	return MemberID(fmt.Sprintf("%s/%d", run, n))
}

// Run returns the run that the member belongs to.
func (id MemberID) Run() MemberID {
	run, _, _ := strings.Cut(string(id), "/")
	return MemberID(run)
}

// StoreVoter is the voter that stands for the platform's store.
const StoreVoter MemberID = "store"

// Member is one incarnation of a daemon that may hold authority.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Daemon  string   `cbor:"2,keyasint"`
	Address string   `cbor:"3,keyasint"`
	Admin   string   `cbor:"4,keyasint"`
	Domain  string   `cbor:"5,keyasint"`
	// Voters are the runs, or the store, that renew this member's serving
	// lease. The set never changes.
	Voters []MemberID `cbor:"6,keyasint"`
	// Draining members keep what they front until it is handed over, and get
	// nothing new.
	Draining bool `cbor:"7,keyasint,omitempty"`
}

// HasVoter reports whether the run, or the store, is among the member's voters.
func (m Member) HasVoter(run MemberID) bool { return slices.Contains(m.Voters, run) }

// TargetState tells whether a target may own shards.
type TargetState uint8

// States of a target.
const (
	TargetActive TargetState = iota
	TargetDraining
	TargetLost
)

// String returns the state's name.
func (s TargetState) String() string {
	switch s {
	case TargetActive:
		return "active"
	case TargetDraining:
		return "draining"
	case TargetLost:
		return "lost"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Target is a served back end with its front and standby.
type Target struct {
	Name    string      `cbor:"1,keyasint"`
	Front   MemberID    `cbor:"2,keyasint"`
	Standby MemberID    `cbor:"3,keyasint,omitempty"`
	Next    MemberID    `cbor:"4,keyasint,omitempty"`
	Epoch   uint64      `cbor:"5,keyasint"`
	State   TargetState `cbor:"6,keyasint,omitempty"`
	// Release asks the front to hand the target over to its standby.
	Release bool `cbor:"7,keyasint,omitempty"`
}

// NoOwner is the owner index of a shard without an owner.
const NoOwner = uint16(0xffff)

// Move is a planned change of a shard's owner that its present owner has not
// yet released.
type Move struct {
	Shard uint32 `cbor:"1,keyasint"`
	To    uint16 `cbor:"2,keyasint"`
}

// Override assigns one hot key, named by its hash, to a target.
type Override struct {
	Hash  uint64 `cbor:"1,keyasint"`
	Owner uint16 `cbor:"2,keyasint"`
	Epoch uint32 `cbor:"3,keyasint"`
	// To is the next owner while a move is under way, else NoOwner.
	To uint16 `cbor:"4,keyasint"`
}

// Service is the assignment of one service's key space.
type Service struct {
	Name      string     `cbor:"1,keyasint"`
	Targets   []Target   `cbor:"2,keyasint"`
	Owners    []uint16   `cbor:"3,keyasint"`
	Epochs    []uint32   `cbor:"4,keyasint"`
	Moves     []Move     `cbor:"5,keyasint,omitempty"`
	Overrides []Override `cbor:"6,keyasint,omitempty"`
}

// Table is one revision of the assignment.
type Table struct {
	Revision  uint64    `cbor:"1,keyasint"`
	Term      int64     `cbor:"2,keyasint"`
	Operation string    `cbor:"3,keyasint"`
	Config    uint64    `cbor:"4,keyasint"`
	Members   []Member  `cbor:"5,keyasint"`
	Services  []Service `cbor:"6,keyasint"`
	// Removed lists the members removed last, the latest at the end. They must
	// not be admitted again: voters forget the fences of removed members.
	Removed []MemberID `cbor:"7,keyasint,omitempty"`
}

// MaxRemoved bounds Removed. A request to join would have to be delayed by as
// many removals to revive a member, which takes days.
const MaxRemoved = 256

// Remove notes a member as removed.
func (t *Table) Remove(id MemberID) {
	t.Removed = append(t.Removed, id)
	if extra := len(t.Removed) - MaxRemoved; extra > 0 {
		t.Removed = slices.Delete(t.Removed, 0, extra)
	}
}

// WasRemoved reports whether the member was removed lately.
func (t *Table) WasRemoved(id MemberID) bool { return slices.Contains(t.Removed, id) }

// KeyHash returns the hash that places a key.
func KeyHash(key string) uint64 { return xxhash.Sum64String(key) }

// Member returns the member with the id.
func (t *Table) Member(id MemberID) (Member, bool) {
	for _, m := range t.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service {
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}

// TargetIndex returns the index of the target with the name, or NoOwner.
func (s *Service) TargetIndex(name string) uint16 {
	for i := range s.Targets {
		if s.Targets[i].Name == name {
			return uint16(i)
		}
	}
	return NoOwner
}

// Unit names a unit of assignment: a shard, or an override if Hot is set.
type Unit struct {
	Shard uint32
	Hash  uint64
	Hot   bool
}

// String formats the unit as used in request headers.
func (u Unit) String() string {
	if u.Hot {
		return fmt.Sprintf("h%016x", u.Hash)
	}
	return fmt.Sprintf("s%d", u.Shard)
}

// Placement is where a key belongs under one table.
type Placement struct {
	Unit  Unit
	Owner uint16
	Epoch uint32
	// To is the next owner while a move is under way, else NoOwner.
	To uint16
}

// Place returns the placement of a key's hash.
func (s *Service) Place(hash uint64) Placement {
	for _, o := range s.Overrides {
		if o.Hash == hash {
			return Placement{Unit: Unit{Hash: hash, Hot: true}, Owner: o.Owner, Epoch: o.Epoch, To: o.To}
		}
	}
	return s.PlaceShard(uint32(hash % uint64(len(s.Owners))))
}

// PlaceShard returns the placement of a shard, which must exist.
func (s *Service) PlaceShard(shard uint32) Placement {
	return Placement{Unit: Unit{Shard: shard}, Owner: s.Owners[shard], Epoch: s.Epochs[shard], To: s.moveTo(shard)}
}

// Moving reports whether the shard is moving.
func (s *Service) Moving(shard uint32) bool {
	return slices.ContainsFunc(s.Moves, func(m Move) bool { return m.Shard == shard })
}

func (s *Service) moveTo(shard uint32) uint16 {
	for _, m := range s.Moves {
		if m.Shard == shard {
			return m.To
		}
	}
	return NoOwner
}

// Refers reports whether any unit is owned by the target or moves to it.
func (s *Service) Refers(target uint16) bool {
	if slices.Contains(s.Owners, target) {
		return true
	}
	toTarget := func(m Move) bool { return m.To == target }
	hotAt := func(o Override) bool { return o.Owner == target || o.To == target }
	return slices.ContainsFunc(s.Moves, toTarget) || slices.ContainsFunc(s.Overrides, hotAt)
}

// Vacate leaves the target's units without an owner, under the epoch, and
// cancels the moves from and to it. A cancelled move gives
// its unit the epoch too, since the owner may have released the unit already,
// which is final under an epoch. Its overrides are dropped: their keys fall
// back to their shards.
func (s *Service) Vacate(target uint16, epoch uint32) {
	s.Moves = slices.DeleteFunc(s.Moves, func(m Move) bool {
		if m.To != target && s.Owners[m.Shard] != target {
			return false
		}
		s.Epochs[m.Shard] = epoch
		return true
	})
	for shard, owner := range s.Owners {
		if owner == target {
			s.Owners[shard] = NoOwner
			s.Epochs[shard] = epoch
		}
	}
	s.Overrides = slices.DeleteFunc(s.Overrides, func(o Override) bool { return o.Owner == target })
	for i := range s.Overrides {
		if s.Overrides[i].To == target {
			s.Overrides[i].To = NoOwner
			s.Overrides[i].Epoch = epoch
		}
	}
}

// RemoveTarget takes a target that no unit refers to out of the service and
// renumbers those behind it.
func (s *Service) RemoveTarget(target uint16) {
	s.Targets = slices.Delete(s.Targets, int(target), int(target)+1)
	renumber := func(i *uint16) {
		if *i != NoOwner && *i > target {
			*i--
		}
	}
	for i := range s.Owners {
		renumber(&s.Owners[i])
	}
	for i := range s.Moves {
		renumber(&s.Moves[i].To)
	}
	for i := range s.Overrides {
		renumber(&s.Overrides[i].Owner)
		renumber(&s.Overrides[i].To)
	}
}

// Vacant reports whether no shard has an owner and nothing moves.
func (s *Service) Vacant() bool {
	owned := slices.ContainsFunc(s.Owners, func(o uint16) bool { return o != NoOwner })
	return !owned && len(s.Moves) == 0 && len(s.Overrides) == 0
}

// Clone returns a deep copy, the starting point of the next revision.
func (t *Table) Clone() *Table {
	c := *t
	c.Removed = slices.Clone(t.Removed)
	c.Members = make([]Member, len(t.Members))
	for i, m := range t.Members {
		m.Voters = append([]MemberID(nil), m.Voters...)
		c.Members[i] = m
	}
	c.Services = make([]Service, len(t.Services))
	for i, s := range t.Services {
		s.Targets = append([]Target(nil), s.Targets...)
		s.Owners = append([]uint16(nil), s.Owners...)
		s.Epochs = append([]uint32(nil), s.Epochs...)
		s.Moves = append([]Move(nil), s.Moves...)
		s.Overrides = append([]Override(nil), s.Overrides...)
		c.Services[i] = s
	}
	return &c
}

// Encode returns the table's CBOR form.
func (t *Table) Encode() ([]byte, error) { return cbor.Marshal(t) }

// Decode reads a table and checks that its indexes are in range.
func Decode(b []byte) (*Table, error) {
	var t Table
	if err := cbor.Unmarshal(b, &t); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for i := range t.Services {
		if err := t.Services[i].check(); err != nil {
			return nil, err
		}
	}
	return &t, nil
}

func (s *Service) check() error {
	if len(s.Owners) == 0 || len(s.Owners) != len(s.Epochs) {
		return fmt.Errorf("%w: service %q has %d owners and %d epochs", ErrMalformed, s.Name, len(s.Owners), len(s.Epochs))
	}
	valid := func(i uint16) bool { return i == NoOwner || int(i) < len(s.Targets) }
	for shard, o := range s.Owners {
		if !valid(o) {
			return fmt.Errorf("%w: service %q shard %d has owner %d of %d targets", ErrMalformed, s.Name, shard, o, len(s.Targets))
		}
	}
	for _, m := range s.Moves {
		if int(m.Shard) >= len(s.Owners) || !valid(m.To) {
			return fmt.Errorf("%w: service %q moves shard %d to %d", ErrMalformed, s.Name, m.Shard, m.To)
		}
	}
	for _, o := range s.Overrides {
		if !valid(o.Owner) || !valid(o.To) {
			return fmt.Errorf("%w: service %q override %016x", ErrMalformed, s.Name, o.Hash)
		}
	}
	return nil
}

// Durations that bound leases and grants. They are facts of the protocol:
// daemons that disagree on them break sole ownership.
const (
	HeartbeatInterval = 250 * time.Millisecond
	VoteLife          = 1000 * time.Millisecond
	GrantInterval     = 250 * time.Millisecond
	GrantLife         = 1000 * time.Millisecond
	AuthorityReserve  = 100 * time.Millisecond
	DriftPercent      = 1
)
