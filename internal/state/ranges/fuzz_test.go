package ranges

import (
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Guards against a table of another writer in which a key has no span or more than one, and
// against a panic when a key is looked up.
func FuzzDecode(f *testing.F) {
	table := Empty()
	table.Assign(10, 20, target.Incarnation{ID: "a", Epoch: 1})
	table.Assign(15, MaxKey, target.Incarnation{ID: "b", Epoch: 2})
	b, err := table.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		table, err := Decode(b)
		if err != nil {
			return
		}
		for _, key := range []uint16{0, 1, 10, 15, 20, MaxKey} {
			if span := table.Lookup(key); !span.Contains(key) || span.Fence > table.Fence {
				t.Errorf("key %d is in span %+v of a table with the fence %d", key, span, table.Fence)
			}
		}
	})
}
