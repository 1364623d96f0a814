package edge

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against an accepted announcement with an address or a capacity that cannot be used,
// and against a panic.
func FuzzDecodeAnnouncement(f *testing.F) {
	for _, a := range []announcement{
		{RunID: "r", Domain: "z", PeerAddress: "10.0.0.1:7540", Capacity: 0.32},
		{PeerAddress: "10.0.0.1:0"}, {PeerAddress: "10.0.0.1:7540", Capacity: math.NaN()}, {PeerAddress: "10.0.0.1:7540", Capacity: math.Inf(1)},
	} {
		b, err := cbor.Marshal(a)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		a, address, err := decodeAnnouncement(b)
		if err == nil && (address.Port() == 0 || !(a.Capacity >= 0 && a.Capacity <= maxCapacity)) {
			t.Errorf("accepted %+v", a)
		}
	})
}
