package ranges

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// storedTable is the stored form. Every change of a table goes to all daemons, so
// owners are written once and spans name them by number: twelve bytes a span.
type storedTable struct {
	Owners []storedOwner `cbor:"1,keyasint"`
	Spans  []storedSpan  `cbor:"2,keyasint"`
	Fence  uint64        `cbor:"3,keyasint"`
	Writer string        `cbor:"4,keyasint"`
}

type storedOwner struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

type storedSpan struct {
	_        struct{} `cbor:",toarray"`
	From, To uint16
	// Owner is the place in the list of owners, from 1; 0 is none.
	Owner int
	Fence uint64
}

// Encode returns the stored form.
func (t *Table) Encode() ([]byte, error) {
	s := storedTable{Fence: t.Fence, Writer: t.WriteID, Spans: make([]storedSpan, len(t.Spans))}
	places := make(map[target.Incarnation]int)
	for i, span := range t.Spans {
		s.Spans[i] = storedSpan{From: span.From, To: span.To, Fence: span.Fence}
		if !span.Owned() {
			continue
		}
		life := span.Incarnation()
		if places[life] == 0 {
			s.Owners = append(s.Owners, storedOwner{ID: life.ID, Born: life.Epoch})
			places[life] = len(s.Owners)
		}
		s.Spans[i].Owner = places[life]
	}
	return cbor.Marshal(s)
}

// Decode reads the stored form. It returns ErrInvalid if the spans do not cover
// all keys once, a fence is above the highest, or an owner is missing.
func Decode(b []byte) (*Table, error) {
	var s storedTable
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	t := &Table{Fence: s.Fence, WriteID: s.Writer, Spans: make([]Span, len(s.Spans))}
	for i, span := range s.Spans {
		t.Spans[i] = Span{From: span.From, To: span.To, Fence: span.Fence}
		switch {
		case span.Owner < 0 || span.Owner > len(s.Owners):
			return nil, fmt.Errorf("%w: span %d-%d has owner %d of %d", ErrInvalid, span.From, span.To, span.Owner, len(s.Owners))
		case span.Owner > 0:
			owner := s.Owners[span.Owner-1]
			t.Spans[i].Owner, t.Spans[i].Epoch = owner.ID, owner.Born
		}
	}
	return t, t.Validate()
}
