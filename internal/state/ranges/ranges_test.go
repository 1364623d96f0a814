package ranges

import (
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Guards against keys that are lost or assigned twice when spans are split, and against
// a fence that does not increase.
func TestAssignKeepsPartition(t *testing.T) {
	proptest.Check(t, 2, 300, func(t *rapid.T) {
		table := Empty()
		owner := make(map[uint16]string)
		probes := rapid.SliceOfN(rapid.Uint16(), 20, 20).Draw(t, "probes")
		for i := range rapid.IntRange(1, 30).Draw(t, "assignments") {
			from := rapid.Uint16().Draw(t, "from")
			to := rapid.Uint16Range(from, MaxKey).Draw(t, "to")
			before := table.Fence
			assigned := table.Assign(from, to, target.Incarnation{ID: string(rune('a' + i%26)), Epoch: int64(i)})
			if assigned.Fence <= before {
				t.Fatalf("got fence %d after %d, want a higher one", assigned.Fence, before)
			}
			for _, k := range probes {
				if assigned.Contains(k) {
					owner[k] = assigned.Owner
				}
			}
			if err := table.Validate(); err != nil {
				t.Fatal(err)
			}
		}
		b, err := table.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range probes {
			if got := decoded.Lookup(k); got != table.Lookup(k) || got.Owner != owner[k] || !got.Contains(k) {
				t.Fatalf("key %d belongs to %q, want %q", k, got.Owner, owner[k])
			}
		}
	})
}

// Guards against accepting an invalid table from another writer.
func TestDecodeRejectsNonPartition(t *testing.T) {
	for name, table := range map[string]Table{
		"empty":      {},
		"gap":        {Spans: []Span{{From: 0, To: 10}, {From: 12, To: MaxKey}}},
		"overlap":    {Spans: []Span{{From: 0, To: 10}, {From: 10, To: MaxKey}}},
		"end":        {Spans: []Span{{From: 0, To: 10}}},
		"high fence": {Spans: []Span{{From: 0, To: MaxKey, Fence: 3}}, Fence: 2},
	} {
		b, err := table.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v, want ErrInvalid", name, err)
		}
	}
	if _, err := Decode([]byte("\x00\xff")); !errors.Is(err, ErrInvalid) {
		t.Errorf("bytes: %v, want ErrInvalid", err)
	}
}

// Guards against tables so large that they saturate the network links of small
// instances. In a benchmark, tables of 40 KB that were sent with each change kept a
// daemon ten seconds behind.
func TestEncodedSize(t *testing.T) {
	table := Empty()
	for i := range 1000 {
		table.Assign(uint16(i*65), uint16(i*65+64), target.Incarnation{ID: fmt.Sprintf("i-%010d", i%100), Epoch: 1_790_000_000_000 + int64(i%100)})
	}
	b, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	// At this limit, eight changes per second take a sixth of a 10 Mbit/s link.
	if limit := 10_000_000 / 8 / 8 / 6; len(b) > limit {
		t.Errorf("%d spans of 100 owners take %d bytes, want at most %d", len(table.Spans), len(b), limit)
	}
}

// Guards against a span that refers to an owner outside the list of owners.
func TestDecodeRejectsUnknownOwner(t *testing.T) {
	b, err := cbor.Marshal(storedTable{Spans: []storedSpan{{From: 0, To: MaxKey, Owner: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); !errors.Is(err, ErrInvalid) {
		t.Errorf("got %v, want ErrInvalid", err)
	}
}
