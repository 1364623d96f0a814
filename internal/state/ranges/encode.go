package ranges

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// storedTable is the stored form of a table. Every change of a table is sent to all
// daemons, so each owner is stored once and spans refer to it by number. A span then
// takes twelve bytes.
type storedTable struct {
	Owners  []storedOwner `cbor:"1,keyasint"`
	Spans   []storedSpan  `cbor:"2,keyasint"`
	Fence   uint64        `cbor:"3,keyasint"`
	WriteID string        `cbor:"4,keyasint"`
}

type storedOwner struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Epoch int64
}

type storedSpan struct {
	_        struct{} `cbor:",toarray"`
	From, To uint16
	// Owner is the one-based position in the list of owners; 0 means no owner.
	Owner int
	Fence uint64
}

// Encode returns the stored form.
func (t *Table) Encode() ([]byte, error) {
	s := storedTable{Fence: t.Fence, WriteID: t.WriteID, Spans: make([]storedSpan, len(t.Spans))}
	ownerIndexes := make(map[target.Incarnation]int)
	for i, span := range t.Spans {
		s.Spans[i] = storedSpan{From: span.From, To: span.To, Fence: span.Fence}
		if !span.Owned() {
			continue
		}
		incarnation := span.Incarnation()
		if ownerIndexes[incarnation] == 0 {
			s.Owners = append(s.Owners, storedOwner{ID: incarnation.ID, Epoch: incarnation.Epoch})
			ownerIndexes[incarnation] = len(s.Owners)
		}
		s.Spans[i].Owner = ownerIndexes[incarnation]
	}
	return cbor.Marshal(s)
}

// Decode decodes the stored form. It returns ErrInvalid if the bytes are malformed, the
// spans do not cover every key exactly once, a fence is higher than that of the table,
// or a span refers to an owner that is not in the list.
func Decode(b []byte) (*Table, error) {
	var s storedTable
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	t := &Table{Fence: s.Fence, WriteID: s.WriteID, Spans: make([]Span, len(s.Spans))}
	for i, span := range s.Spans {
		t.Spans[i] = Span{From: span.From, To: span.To, Fence: span.Fence}
		switch {
		case span.Owner < 0 || span.Owner > len(s.Owners):
			return nil, fmt.Errorf("%w: span %d-%d refers to owner %d of %d", ErrInvalid, span.From, span.To, span.Owner, len(s.Owners))
		case span.Owner > 0:
			owner := s.Owners[span.Owner-1]
			t.Spans[i].Owner, t.Spans[i].Epoch = owner.ID, owner.Epoch
		}
	}
	return t, t.Validate()
}
