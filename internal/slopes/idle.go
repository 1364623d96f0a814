package slopes

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// idleSamples collects the results of runs with a fleet by size.
type idleSamples struct {
	core, alone, heap, aloneHeap, requests, bytes, watches, inForce samples
	calls                                                           map[memstore.Call]samples
}

func newIdleSamples() *idleSamples {
	return &idleSamples{
		core: samples{}, alone: samples{}, heap: samples{}, aloneHeap: samples{}, requests: samples{},
		bytes: samples{}, watches: samples{}, inForce: samples{}, calls: make(map[memstore.Call]samples),
	}
}

func (s samples) add(x float64, y ...float64) { s[x] = append(s[x], y...) }

func (s *idleSamples) add(x float64, alone, fleet idleCost) {
	s.alone.add(x, 100*alone.core)
	s.core.add(x, 100*fleet.core)
	s.aloneHeap.add(x, alone.heapMB)
	s.heap.add(x, fleet.heapMB)
	s.requests.add(x, fleet.requests)
	s.bytes.add(x, fleet.bytes)
	s.watches.add(x, fleet.watches)
	s.inForce.add(x, fleet.inForce...)
	for kind, rate := range fleet.calls {
		if s.calls[kind] == nil {
			s.calls[kind] = samples{}
		}
		s.calls[kind].add(x, rate)
	}
}

// perDaemon divides totals by the number of daemons.
func (s samples) perDaemon() samples {
	out := samples{}
	for n, values := range s {
		for _, v := range values {
			out.add(n, v/n)
		}
	}
	return out
}

// measureDaemons varies the number of daemons. Totals are of the process.
func measureDaemons(ctx context.Context, o Options) ([]Series, error) {
	s := newIdleSamples()
	for range o.Repetitions {
		for _, n := range daemonCounts {
			o.note("%d idle daemons", n)
			alone, fleet, err := runFleet(ctx, n, n*targetsPerDaemon)
			if err != nil {
				return nil, fmt.Errorf("%d daemons: %w", n, err)
			}
			s.add(float64(n), alone, fleet)
		}
	}
	const x = "daemons"
	out := []Series{
		s.alone.series("idle targets alone, total", x, "% core"),
		s.core.series("idle fleet with targets and store, total", x, "% core"),
		s.core.perDaemon().series("the same per daemon", x, "% core"),
		s.aloneHeap.series("heap of targets alone, total", x, "MB"),
		s.heap.series("heap of fleet with targets and store, total", x, "MB"),
		s.heap.perDaemon().series("the same per daemon", x, "MB"),
		s.requests.perDaemon().series("control requests sent per daemon", x, "1/s"),
		s.bytes.perDaemon().series("peer UDP payload sent per daemon", x, "B/s"),
	}
	out = append(out, s.storeSeries(x)...)
	return append(out, s.inForce.series("configuration in force everywhere", x, "ms")), nil
}

func (s *idleSamples) storeSeries(x string) []Series {
	var out []Series
	for _, kind := range slices.Sorted(maps.Keys(s.calls)) {
		out = append(out, s.calls[kind].series("store calls "+string(kind)+", fleet", x, "1/s"))
	}
	return append(out, s.watches.series("store watches waiting, fleet", x, "count"))
}

// measureTargets varies the number of targets of nine daemons.
func measureTargets(ctx context.Context, o Options) ([]Series, error) {
	s := newIdleSamples()
	for range o.Repetitions {
		for _, n := range targetCounts {
			o.note("%d targets of %d idle daemons", n, sweepDaemons)
			alone, fleet, err := runFleet(ctx, sweepDaemons, n)
			if err != nil {
				return nil, fmt.Errorf("%d targets: %w", n, err)
			}
			s.add(float64(n), alone, fleet)
		}
	}
	const x = "targets of 9 daemons"
	return []Series{
		s.alone.series("idle targets alone, total", x, "% core"),
		s.core.series("idle fleet with targets and store, total", x, "% core"),
		s.aloneHeap.series("heap of targets alone, total", x, "MB"),
		s.heap.series("heap of fleet with targets and store, total", x, "MB"),
		s.bytes.series("peer UDP payload sent, total", x, "B/s"),
	}, nil
}
