package peers

import (
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
)

// Guards against a message whose figures are out of range, which would spoil the sums of a
// whole domain, and against a panic of the daemon that receives it.
func FuzzReceive(f *testing.F) {
	for _, m := range []message{
		{From: "a", Domain: "z", Scope: scopeDaemon, Sequence: 1, Loads: Loads{7: 3}, Keys: []KeySample{{"s", []uint16{1, 2}, 2}}, Measured: []ServiceTime{{Target: 7, Millis: 40}}},
		{From: "a", Scope: scopeFleet, Chunk: 9, Chunks: 3, Loads: Loads{7: -1}, Estimates: ServiceTimes{7: 1}},
		{From: "a", Scope: scopeDomain, Loads: Loads{7: math.MaxInt}, Keys: []KeySample{{"s", []uint16{1}, float32(math.NaN())}}},
		{From: "a", Scope: scopeLeaving, Leaving: []uint64{1, 2}},
	} {
		b, err := m.encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		exchange := NewStatsExchange(StatsExchangeConfig{
			Log: slog.New(slog.DiscardHandler), OnServiceTimes: func(ServiceTimes) {}, OnLeaving: func(uint64, string) {},
			OnFleetLoads: func(l Loads) {
				for _, load := range l {
					if load < 0 || load > maxLoad {
						t.Errorf("accepted the load %d", load)
					}
				}
			},
			OnKeySample: func(s KeySample) {
				if !(s.Weight > 0 && s.Weight <= maxWeight) {
					t.Errorf("accepted the weight %v", s.Weight)
				}
			},
		})
		exchange.Receive(b)
		exchange.Receive(b)
	})
}

// Guards against a handover that lets keys be assigned before their grants have expired.
func FuzzHandover(f *testing.F) {
	for _, remaining := range []time.Duration{time.Second, -time.Second, math.MaxInt64} {
		b, err := cbor.Marshal(Handover{GrantExpiries: map[string][]ownership.GrantExpiry{"s": {{From: 1, To: 2, Fence: 3, Remaining: remaining}}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var h Handover
		if cbor.Unmarshal(b, &h) != nil || h.validate() != nil {
			return
		}
		for _, expiries := range h.GrantExpiries {
			for _, e := range expiries {
				if e.Remaining < 0 || e.Remaining > maxGrantTime || e.From > e.To {
					t.Errorf("accepted %+v", e)
				}
			}
		}
	})
}
