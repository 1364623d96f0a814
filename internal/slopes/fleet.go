package slopes

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/embedded"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
	"github.com/jackdawloom/jackdawloom/internal/transport/peernet"
)

// Sizes and times of the runs with a fleet.
const (
	targetsPerDaemon  = 4
	targetsPerService = 12
	fleetShards       = 64
	sweepDaemons      = 9
	readyLimit        = 20 * time.Second
	settleTime        = 700 * time.Millisecond
	// windowTime is a multiple of every period of control, so that counts of
	// periodic calls have no bias.
	windowTime      = 2 * time.Second
	changeLimit     = 5 * time.Second
	changePoll      = 500 * time.Microsecond
	changesPerFleet = 2
)

var (
	daemonCounts = []int{3, 6, 9, 18, 36}
	targetCounts = []int{9, 54, 144}
)

// idleCost is what a fleet without requests uses.
type idleCost struct {
	core     float64 // share of one core
	heapMB   float64
	requests float64
	bytes    float64
	calls    map[memstore.Call]float64
	watches  float64
	inForce  []float64 // ms
}

// fleetManifest declares targets on free loopback ports, in services of equal
// size, since each target needs a shard.
func fleetManifest(targets int) (*manifest.Manifest, error) {
	m := &manifest.Manifest{Schema: manifest.Schema, Name: "slopes"}
	for i := range targets {
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // finds a free port
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		if i%targetsPerService == 0 {
			m.Services = append(m.Services, fleetService(len(m.Services)))
		}
		s := &m.Services[len(m.Services)-1]
		s.Targets = append(s.Targets, manifest.Target{
			Name: fmt.Sprintf("t-%04d", i), Address: l.Addr().String(), Domain: string(rune('a' + i%3)),
			Slots: 3, Connections: 60, ChecksGrants: true,
		})
	}
	return m, nil
}

func fleetService(i int) manifest.Service {
	name := fmt.Sprintf("keys-%d", i)
	return manifest.Service{
		Name: name, PathPrefix: "/" + name, Shards: fleetShards,
		Key: manifest.KeySource{From: manifest.KeyFromPath},
		Classes: []manifest.Class{{
			Name: "read", Repeat: manifest.RepeatIdempotent, DeadlineMs: 1000,
			Objective: manifest.Objective{LatencyMs: 100, Ratio: 0.99},
		}},
	}
}

// runFleet measures one idle fleet, and the targets alone before it.
func runFleet(ctx context.Context, daemons, targets int) (alone, fleet idleCost, err error) {
	m, err := fleetManifest(targets)
	if err != nil {
		return alone, fleet, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := settledHeapMB()
	servers, err := embedded.StartTargets(ctx, m, nil)
	if err != nil {
		return alone, fleet, err
	}
	defer servers.Close()
	alone.core = coreShare(settleTime)
	alone.heapMB = heapMB() - before
	f, err := embedded.StartFleet(ctx, m, daemons, slog.New(slog.DiscardHandler))
	if err != nil {
		return alone, fleet, err
	}
	defer f.Stop()
	ready, done := context.WithTimeout(ctx, readyLimit)
	defer done()
	if err := f.AwaitReady(ready); err != nil {
		return alone, fleet, err
	}
	time.Sleep(settleTime)
	fleet = idleWindow(f)
	fleet.heapMB = heapMB() - before
	for i := range changesPerFleet {
		ms, err := timeChange(ctx, f, fmt.Sprintf("slopes-%d", i))
		if err != nil {
			return alone, fleet, err
		}
		fleet.inForce = append(fleet.inForce, ms)
	}
	return alone, fleet, nil
}

// coreShare returns the share of a core that the process uses for a while.
func coreShare(d time.Duration) float64 {
	began, used := time.Now(), cpuTime()
	time.Sleep(d)
	return float64(cpuTime()-used) / float64(time.Since(began))
}

func idleWindow(f *embedded.Fleet) idleCost {
	traffic, calls := totalTraffic(f), f.Store.Shared().Counters()
	began := time.Now()
	c := idleCost{core: coreShare(windowTime), calls: make(map[memstore.Call]float64)}
	seconds := time.Since(began).Seconds()
	after := totalTraffic(f)
	c.requests = float64(after.Requests-traffic.Requests) / seconds
	c.bytes = float64(after.BytesSent-traffic.BytesSent) / seconds
	counters := f.Store.Shared().Counters()
	for kind, n := range counters.Calls {
		c.calls[kind] = float64(n-calls.Calls[kind]) / seconds
	}
	c.watches = float64(counters.OpenWatches)
	return c
}

func totalTraffic(f *embedded.Fleet) peernet.Traffic {
	var sum peernet.Traffic
	for _, d := range f.Daemons {
		t := d.PeerTraffic()
		sum.Requests += t.Requests
		sum.BytesSent += t.BytesSent
	}
	return sum
}

// timeChange stores a new configuration and returns the milliseconds until it
// is in force at every daemon. It enters by the store alone, so the
// coordinator's watch is part of the path.
func timeChange(ctx context.Context, f *embedded.Fleet, operation string) (float64, error) {
	entry, err := f.Store.Get(ctx, topo.KeyConfig)
	if err != nil {
		return 0, err
	}
	current, err := manifest.DecodeAccepted(entry.Value)
	if err != nil {
		return 0, err
	}
	m := current.Manifest
	m.Name = operation
	next, err := manifest.Accept(current, current.Revision, m, operation)
	if err != nil {
		return 0, err
	}
	encoded, err := manifest.EncodeAccepted(next)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if _, err := f.Store.Commit(ctx, topo.Txn{Puts: []topo.Put{{Key: topo.KeyConfig, Value: encoded}}}); err != nil {
		return 0, err
	}
	for !allInForce(f, next.Revision) {
		if time.Since(began) > changeLimit {
			return 0, fmt.Errorf("configuration %d not in force after %v", next.Revision, changeLimit)
		}
		time.Sleep(changePoll)
	}
	return float64(time.Since(began).Microseconds()) / 1000, nil
}

func allInForce(f *embedded.Fleet, revision uint64) bool {
	for _, d := range f.Daemons {
		if d.InForce().Config < revision {
			return false
		}
	}
	return true
}
