// Package ranges defines the range table, which assigns the keys of a service to
// targets.
package ranges

import (
	"errors"
	"fmt"
	"slices"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// MaxKey is the highest key. The lowest is 0.
const MaxKey = 1<<16 - 1

// KeyCount is the number of keys of a service.
const KeyCount = MaxKey + 1

// ErrInvalid reports a table that cannot be decoded or violates an invariant, for
// example because its spans are not a partition of the keys.
var ErrInvalid = errors.New("range table invalid")

// Span is a range of consecutive keys with one owner.
type Span struct {
	From, To uint16 // both inclusive
	Owner    string
	// Epoch is the epoch of the owner's incarnation. Other incarnations of the owner do
	// not own the keys.
	Epoch int64
	// Fence is higher than the fence of every earlier owner of any of the keys.
	Fence uint64
}

// Owned reports whether the span has an owner.
func (s Span) Owned() bool { return s.Owner != "" }

// Incarnation returns the incarnation to which the span is assigned.
func (s Span) Incarnation() target.Incarnation {
	return target.Incarnation{ID: s.Owner, Epoch: s.Epoch}
}

// Len returns the number of keys in the span.
func (s Span) Len() int { return int(s.To) - int(s.From) + 1 }

// Contains reports whether the key is in the span.
func (s Span) Contains(key uint16) bool { return s.From <= key && key <= s.To }

// Table is the assignment of all keys of a service. Its spans are ordered and
// contiguous, and cover all keys.
type Table struct {
	Spans []Span
	// Fence is the highest fence that has been assigned.
	Fence uint64
	// WriteID identifies the write that stored the table, so that a writer that got no
	// response can determine whether its write took effect.
	WriteID string
}

// Empty returns a table in which no key has an owner.
func Empty() Table { return Table{Spans: []Span{{From: 0, To: MaxKey}}} }

// Lookup returns the span that contains a key.
func (t *Table) Lookup(key uint16) Span {
	i, _ := slices.BinarySearchFunc(t.Spans, key, func(s Span, k uint16) int {
		switch {
		case s.To < k:
			return -1
		case s.From > k:
			return 1
		default:
			return 0
		}
	})
	return t.Spans[i]
}

// Clone returns a copy that can be modified independently.
func (t *Table) Clone() Table {
	c := *t
	c.Spans = slices.Clone(t.Spans)
	return c
}

// Validate returns ErrInvalid if the spans are not a partition of the keys in ascending
// order, or if a span's fence is higher than that of the table.
func (t *Table) Validate() error {
	next := 0
	for _, s := range t.Spans {
		if int(s.From) != next || s.To < s.From {
			return fmt.Errorf("%w: found span %d-%d; expected one that starts at %d and does not end before", ErrInvalid, s.From, s.To, next)
		}
		if s.Fence > t.Fence {
			return fmt.Errorf("%w: span %d-%d has fence %d, higher than the table's fence %d", ErrInvalid, s.From, s.To, s.Fence, t.Fence)
		}
		next = int(s.To) + 1
	}
	if next != KeyCount {
		return fmt.Errorf("%w: no span covers the keys from %d on", ErrInvalid, next)
	}
	return nil
}

// Assign assigns the keys from..to, both inclusive, to an owner under a new fence and
// returns the new span. Spans that overlap the range partially are split.
func (t *Table) Assign(from, to uint16, owner target.Incarnation) Span {
	t.Fence++
	assigned := Span{From: from, To: to, Owner: owner.ID, Epoch: owner.Epoch, Fence: t.Fence}
	spans := make([]Span, 0, len(t.Spans)+2)
	inserted := false
	for _, s := range t.Spans {
		if s.To < from || s.From > to {
			if s.From > to && !inserted {
				spans, inserted = append(spans, assigned), true
			}
			spans = append(spans, s)
			continue
		}
		if s.From < from {
			left := s
			left.To = from - 1
			spans = append(spans, left)
		}
		if !inserted {
			spans, inserted = append(spans, assigned), true
		}
		if s.To > to {
			right := s
			right.From = to + 1
			spans = append(spans, right)
		}
	}
	t.Spans = spans
	return assigned
}

// fencesPerEra is the distance between the lowest fences of consecutive eras of the store. Together
// with topo.MaxEra it keeps fences below 2^53, up to which JSON numbers are exact.
const fencesPerEra = 1 << 32

// LowestFence returns a fence that is higher than all that were assigned in earlier eras of the store.
// Writers raise the fence of a table to it, as the store may have lost higher fences of earlier eras.
func LowestFence(era int64) uint64 { return uint64(era) * fencesPerEra }

// WrittenIn reports whether the table was written in an era or a later one, so that it is not one of
// an earlier era after which tables were lost.
func (t *Table) WrittenIn(era int64) bool { return t.Fence >= LowestFence(era) }

// Unassigned reports whether no key has ever had an owner.
func (t *Table) Unassigned() bool {
	return !slices.ContainsFunc(t.Spans, func(s Span) bool { return s.Fence != 0 })
}
