// Package ranges holds the table of which target owns which keys of a service.
package ranges

import (
	"errors"
	"fmt"
	"slices"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// MaxKey is the highest key. Keys begin at 0.
const MaxKey = 1<<16 - 1

// Keys is the number of keys of a service.
const Keys = MaxKey + 1

// ErrInvalid reports a table that is not a partition of the keys.
var ErrInvalid = errors.New("range table invalid")

// Span is a run of keys with one owner.
type Span struct {
	From, To uint16 // both included
	Owner    string
	// Epoch is that of the owner's life. Another life holds nothing.
	Epoch int64
	// Fence is above that of every earlier owner of any of the keys.
	Fence uint64
}

// Owned reports whether the span has an owner.
func (s Span) Owned() bool { return s.Owner != "" }

// Incarnation returns the run of the owner that the span was given to.
func (s Span) Incarnation() target.Incarnation {
	return target.Incarnation{ID: s.Owner, Epoch: s.Epoch}
}

// Len returns the number of keys.
func (s Span) Len() int { return int(s.To) - int(s.From) + 1 }

// Contains reports whether the key is in the span.
func (s Span) Contains(key uint16) bool { return s.From <= key && key <= s.To }

// Table is the assignment of all keys of a service. Its spans are ordered,
// adjacent, and cover all keys.
type Table struct {
	Spans []Span
	// Fence is the highest fence ever given out.
	Fence uint64
	// WriteID names the write, so that its author finds out whether a write
	// without an answer took effect.
	WriteID string
}

// Empty returns a table without owners.
func Empty() Table { return Table{Spans: []Span{{From: 0, To: MaxKey}}} }

// Lookup returns the span of a key.
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

// Clone returns a copy that can be changed.
func (t *Table) Clone() Table {
	c := *t
	c.Spans = slices.Clone(t.Spans)
	return c
}

// Validate returns ErrInvalid unless the table is a partition of the keys.
func (t *Table) Validate() error {
	next := 0
	for _, s := range t.Spans {
		if int(s.From) != next || s.To < s.From {
			return fmt.Errorf("%w: span %d-%d where %d is due", ErrInvalid, s.From, s.To, next)
		}
		if s.Fence > t.Fence {
			return fmt.Errorf("%w: span %d-%d has fence %d above %d", ErrInvalid, s.From, s.To, s.Fence, t.Fence)
		}
		next = int(s.To) + 1
	}
	if next != Keys {
		return fmt.Errorf("%w: keys from %d are missing", ErrInvalid, next)
	}
	return nil
}

// Assign gives the keys from..to to an owner under a new fence. Spans that reach
// beyond the keys are split.
func (t *Table) Assign(from, to uint16, owner target.Incarnation) Span {
	t.Fence++
	given := Span{From: from, To: to, Owner: owner.ID, Epoch: owner.Epoch, Fence: t.Fence}
	spans := make([]Span, 0, len(t.Spans)+2)
	placed := false
	for _, s := range t.Spans {
		if s.To < from || s.From > to {
			if s.From > to && !placed {
				spans, placed = append(spans, given), true
			}
			spans = append(spans, s)
			continue
		}
		if s.From < from {
			left := s
			left.To = from - 1
			spans = append(spans, left)
		}
		if !placed {
			spans, placed = append(spans, given), true
		}
		if s.To > to {
			right := s
			right.From = to + 1
			spans = append(spans, right)
		}
	}
	t.Spans = spans
	return given
}
