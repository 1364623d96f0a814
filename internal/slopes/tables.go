package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/daemon"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

// Sizes of the tables.
const (
	baseShards   = 1024
	baseTargets  = 64
	baseMembers  = 9
	cellMembers  = 80
	tick         = 25 * time.Millisecond
	idleProposes = 10
	maxProposes  = 60
)

// tableSize is one size of the table.
type tableSize struct{ shards, targets, members int }

// world drives one coordinator with reports of members that keep up with every
// table, at a time of its own.
type world struct {
	machine *coordinator.Machine
	config  *manifest.Accepted
	now     time.Time
	seq     uint64
	size    tableSize
	lost    string
}

func newWorld(size tableSize) *world {
	now := time.Unix(1_000, 0)
	w := &world{machine: coordinator.New(1, now), now: now.Add(2 * coordinator.JoinGrace), size: size}
	s := manifest.Service{Name: "keys", Shards: size.shards}
	s.Key = manifest.KeySource{From: manifest.KeyFromPath}
	for i := range size.targets {
		s.Targets = append(s.Targets, manifest.Target{
			Name: fmt.Sprintf("t-%04d", i), Address: "10.0.0.1:8080", Domain: string(rune('a' + i%3)),
			Slots: 3, Connections: 60, ChecksGrants: true,
		})
	}
	w.config = &manifest.Accepted{Revision: 1, Manifest: manifest.Manifest{Services: []manifest.Service{s}}}
	w.machine.SetConfig(w.config)
	return w
}

// report lets every member report, as of the stored table.
func (w *world) report() {
	w.now = w.now.Add(tick)
	w.seq++
	stored := w.machine.Stored()
	for i := range w.size.members {
		run := fmt.Sprintf("loom-%04d.0123456789", i)
		r := peer.Report{
			From: table.NewMemberID(table.MemberID(run), 1), Daemon: run, Sequence: w.seq,
			Address: "10.0.0.1:8081", Admin: "10.0.0.1:8082", Domain: string(rune('a' + i%3)),
		}
		if stored != nil {
			r.Revisions = peer.Revisions{Config: stored.Config, Table: stored.Revision}
			r.Targets = w.targetReports(stored, r.From)
		}
		w.machine.Report(r, w.now)
	}
}

func (w *world) targetReports(t *table.Table, member table.MemberID) []peer.TargetReport {
	var out []peer.TargetReport
	s := &t.Services[0]
	for _, target := range s.Targets {
		if target.Front != member {
			continue
		}
		health := peer.TargetServing
		if target.Name == w.lost {
			health = peer.TargetEnded
		}
		out = append(out, peer.TargetReport{Service: s.Name, Target: target.Name, Epoch: target.Epoch, Health: health})
	}
	return out
}

// propose makes one proposal, stores it and returns the time that it took.
func (w *world) propose() (changed bool, took time.Duration) {
	began := time.Now()
	next := w.machine.Propose("op", w.now)
	took = time.Since(began)
	if next != nil {
		w.machine.SetStored(next)
	}
	return next != nil, took
}

// settle proposes until nothing changes and returns the longest proposal.
func (w *world) settle() (longest time.Duration, tables int, err error) {
	for range maxProposes {
		w.report()
		changed, took := w.propose()
		longest = max(longest, took)
		if !changed {
			return longest, tables, nil
		}
		tables++
	}
	return longest, tables, fmt.Errorf("coordinator did not settle within %d tables", maxProposes)
}

// tableCost is what a table of one size costs.
type tableCost struct {
	bytes, configBytes                           float64
	idleMs, lostMs, encodeMs, decodeMs, assignMs float64
}

func ms(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e6 }

func measureTable(size tableSize) (tableCost, error) {
	var c tableCost
	w := newWorld(size)
	if _, _, err := w.settle(); err != nil {
		return c, err
	}
	config, err := manifest.EncodeAccepted(*w.config)
	if err != nil {
		return c, err
	}
	c.configBytes = float64(len(config))
	began := time.Now()
	encoded, err := w.machine.Stored().Encode()
	if err != nil {
		return c, err
	}
	c.encodeMs, c.bytes = ms(time.Since(began)), float64(len(encoded))
	began = time.Now()
	decoded, err := table.Decode(encoded)
	if err != nil {
		return c, err
	}
	c.decodeMs = ms(time.Since(began))
	s := &decoded.Services[0]
	began = time.Now()
	daemon.Assignments(s, s.Targets[0].Front)
	c.assignMs = ms(time.Since(began))
	for range idleProposes {
		w.report()
		_, took := w.propose()
		c.idleMs += ms(took) / idleProposes
	}
	w.lost = s.Targets[0].Name
	longest, _, err := w.settle()
	c.lostMs = ms(longest)
	return c, err
}

// tableSamples collects the results of one sweep.
type tableSamples struct{ bytes, config, idle, lost, encode, decode, assign samples }

func sweep(ctx context.Context, o Options, sizes []tableSize, x func(tableSize) float64) (*tableSamples, error) {
	out := &tableSamples{samples{}, samples{}, samples{}, samples{}, samples{}, samples{}, samples{}}
	for range o.Repetitions {
		for _, size := range sizes {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			o.note("table of %d shards, %d targets, %d members", size.shards, size.targets, size.members)
			c, err := measureTable(size)
			if err != nil {
				return nil, fmt.Errorf("table %+v: %w", size, err)
			}
			at := x(size)
			out.bytes.add(at, c.bytes)
			out.config.add(at, c.configBytes)
			out.idle.add(at, c.idleMs)
			out.lost.add(at, c.lostMs)
			out.encode.add(at, c.encodeMs)
			out.decode.add(at, c.decodeMs)
			out.assign.add(at, c.assignMs)
		}
	}
	return out, nil
}

func (s *tableSamples) series(x string) []Series {
	return []Series{
		s.bytes.series("table encoded", x, "B"),
		s.config.series("configuration encoded", x, "B"),
		s.encode.series("table encode", x, "ms"),
		s.decode.series("table decode", x, "ms"),
		s.assign.series("one member's assignment of the table", x, "ms"),
		s.idle.series("Propose without a change", x, "ms"),
		s.lost.series("longest Propose after a lost target", x, "ms"),
	}
}

// measureTables varies shards, targets, members and shards x targets.
func measureTables(ctx context.Context, o Options) ([]Series, error) {
	var shards, targets, members, products, cells []tableSize
	for _, n := range []int{1024, 4096, 16384, 65536} {
		shards = append(shards, tableSize{n, baseTargets, baseMembers})
	}
	for _, n := range []int{16, 64, 256, 512} {
		targets = append(targets, tableSize{baseShards, n, baseMembers})
		products = append(products, tableSize{16 * baseShards, n, baseMembers})
	}
	for _, n := range []int{9, 20, 40, 80} {
		members = append(members, tableSize{baseShards, baseTargets, n})
	}
	for _, n := range []int{250, 500, 1000, 2000} {
		cells = append(cells, tableSize{manifest.MaxShards, n, cellMembers})
	}
	var out []Series
	for _, part := range []struct {
		x     string
		sizes []tableSize
		of    func(tableSize) float64
	}{
		{"shards (64 targets, 9 members)", shards, func(s tableSize) float64 { return float64(s.shards) }},
		{"targets (1024 shards, 9 members)", targets, func(s tableSize) float64 { return float64(s.targets) }},
		{"members (1024 shards, 64 targets)", members, func(s tableSize) float64 { return float64(s.members) }},
		{"shards x targets (16384 shards)", products, func(s tableSize) float64 { return float64(s.shards * s.targets) }},
		{"targets of a cell (65536 shards, 80 members)", cells, func(s tableSize) float64 { return float64(s.targets) }},
	} {
		s, err := sweep(ctx, o, part.sizes, part.of)
		if err != nil {
			return nil, err
		}
		out = append(out, s.series(part.x)...)
	}
	return out, nil
}
