package hotkey

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against estimates outside their stated error, a hot key that is
// evicted, and memory that grows with the number of keys.
func TestDetectorBounds(t *testing.T) {
	proptest.Check(t, 21, 60, func(t *rapid.T) {
		const tracked = 8
		d := NewDetector(tracked)
		exact, total := map[uint64]float64{}, 0.0
		for range rapid.IntRange(1, 5).Draw(t, "intervals") {
			for range rapid.IntRange(0, 200).Draw(t, "requests") {
				hash := uint64(rapid.IntRange(0, 40).Draw(t, "key"))
				if rapid.Bool().Draw(t, "hot") {
					hash %= 3
				}
				busy := time.Duration(rapid.IntRange(1, 50).Draw(t, "busy")) * time.Millisecond
				d.Add(hash, busy, false)
				exact[hash] += busy.Seconds()
				total += busy.Seconds()
			}
			checkLoads(t, d.Close(time.Second, tracked), exact, total/tracked)
			for hash := range exact {
				exact[hash] *= keepPerInterval
			}
			total *= keepPerInterval
			if len(d.entries) > tracked || len(d.least) > tracked {
				t.Fatalf("%d keys tracked", len(d.entries))
			}
		}
	})
}

func checkLoads(t *rapid.T, loads []KeyLoad, exact map[uint64]float64, certain float64) {
	const tolerance, scale = 1e-9, 1 - keepPerInterval
	seen := map[uint64]bool{}
	for _, l := range loads {
		seen[l.Hash] = true
		want := exact[l.Hash] * scale
		if l.Load > want+tolerance || l.Load+l.Error < want-tolerance {
			t.Fatalf("key %d: load %v with error %v, expected %v", l.Hash, l.Load, l.Error, want)
		}
	}
	for hash, load := range exact {
		if load > certain+tolerance && !seen[hash] {
			t.Fatalf("key %d with load %v of %v is not tracked", hash, load, certain)
		}
	}
}

// cluster applies a planner's moves to a service whose keys have given loads.
type cluster struct {
	rng       *rand.Rand
	planner   *Planner
	capacity  float64
	targets   int
	loads     []float64
	never     map[uint64]bool
	overrides map[uint64]Override
	moves     map[uint64][]time.Time
	now       time.Time
}

func newCluster(seed uint64, targets, keys int, exponent, total float64) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), planner: NewPlanner(Config{}), capacity: 3, targets: targets,
		never: map[uint64]bool{}, overrides: map[uint64]Override{}, moves: map[uint64][]time.Time{}, now: epoch,
	}
	sum := 0.0
	for rank := range keys {
		w := math.Pow(float64(rank+1), -exponent)
		c.loads = append(c.loads, w)
		sum += w
	}
	for i := range c.loads {
		c.loads[i] *= total / sum
	}
	return c
}

func (c *cluster) home(hash uint64) uint16 { return uint16(hash * 7 % uint64(c.targets)) }

// interval reports noisy loads to the planner and carries out its moves.
func (c *cluster) interval(t *rapid.T) {
	c.now = c.now.Add(time.Second)
	in := Input{Targets: make([]Target, c.targets)}
	for i := range in.Targets {
		in.Targets[i] = Target{Capacity: c.capacity, Usable: true}
	}
	for i, load := range c.loads {
		hash := uint64(i)
		noisy := load * (1 + 0.1*c.rng.NormFloat64())
		k := Key{KeyLoad: KeyLoad{Hash: hash, Load: max(noisy, 0)}, Home: c.home(hash)}
		if c.never[hash] {
			k.NeverRepeat = k.Load
		}
		owner := k.Home
		if o, ok := c.overrides[hash]; ok {
			owner = o.Owner
		}
		in.Targets[owner].Load += k.Load
		in.Keys = append(in.Keys, k)
	}
	for _, o := range c.overrides {
		in.Overrides = append(in.Overrides, o)
	}
	moves := c.planner.Plan(in, c.now)
	if len(moves) > DefaultMaxMoves {
		t.Fatalf("%d moves in one interval", len(moves))
	}
	for _, m := range moves {
		c.apply(t, m)
	}
}

func (c *cluster) apply(t *rapid.T, m Move) {
	past := c.moves[m.Hash]
	if n := len(past); n > 0 && c.now.Sub(past[n-1]) < DefaultMinGap {
		t.Fatalf("key %d moved again after %v", m.Hash, c.now.Sub(past[n-1]))
	}
	c.moves[m.Hash] = append(past, c.now)
	if m.Kind == Return {
		delete(c.overrides, m.Hash)
		return
	}
	c.overrides[m.Hash] = Override{Hash: m.Hash, Owner: m.To, Home: c.home(m.Hash)}
}

func (c *cluster) total() int {
	n := 0
	for _, m := range c.moves {
		n += len(m)
	}
	return n
}

// Guards against keys that move back and forth under a load that does not
// change: only keys near or above the threshold may move, each but a few times,
// and none long after the start.
func TestStationaryLoadSettles(t *testing.T) {
	proptest.Check(t, 22, 25, func(t *rapid.T) {
		targets := rapid.IntRange(2, 15).Draw(t, "targets")
		total := rapid.Float64Range(0.3, 0.95).Draw(t, "utilization") * 3 * float64(targets)
		exponent := rapid.Float64Range(0.5, 1.5).Draw(t, "exponent")
		c := newCluster(rapid.Uint64().Draw(t, "seed"), targets, 100, exponent, total)
		for range 120 {
			c.interval(t)
		}
		candidates := 0
		for _, load := range c.loads {
			if load >= c.capacity*DefaultEnterShare/2 {
				candidates++
			}
		}
		if n := c.total(); n > 2*candidates {
			t.Fatalf("%d moves of %d candidates", n, candidates)
		}
		settled := c.total()
		for range 200 {
			c.interval(t)
		}
		if n := c.total() - settled; n > candidates/10+1 {
			t.Fatalf("%d moves in the steady state of %d candidates", n, candidates)
		}
	})
}

// Guards against overrides that end while their key is still warm, and against
// ones that outlive their cause and fill the table.
func TestOverridesReturn(t *testing.T) {
	proptest.Check(t, 23, 20, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), 5, 100, 0, 5)
		hot := rapid.IntRange(2, 3).Draw(t, "hot")
		for i := range hot {
			c.loads[i*c.targets] = 1.2 // all at target 0
		}
		for range 60 {
			c.interval(t)
		}
		if len(c.overrides) == 0 {
			t.Fatal("no key was moved away from an overloaded target")
		}
		moved := c.total()
		for i := range hot {
			c.loads[i*c.targets] = c.capacity * (DefaultEnterShare + DefaultLeaveShare) / 2
		}
		for range 60 {
			c.interval(t)
		}
		if c.total() != moved {
			t.Fatalf("%d moves of keys between the thresholds", c.total()-moved)
		}
		for i := range c.loads {
			c.loads[i] = 0
		}
		for range 120 {
			c.interval(t)
		}
		if len(c.overrides) > 0 {
			t.Fatalf("%d overrides are left without load", len(c.overrides))
		}
	})
}

// Guards against moves of never-repeat keys for a small gain, and against a
// planner that never moves them.
func TestNeverRepeatNeedsGoodCause(t *testing.T) {
	for _, c := range []struct {
		share float64
		never bool
		want  int
	}{
		{0.2, false, 0}, {0.3, false, 1}, {0.3, true, 0}, {0.6, true, 1},
	} {
		p := NewPlanner(Config{})
		k := Key{KeyLoad: KeyLoad{Hash: 9, Load: 3 * c.share}, Home: 0}
		if c.never {
			k.NeverRepeat = k.Load
		}
		in := Input{Targets: []Target{{Load: 3, Capacity: 3, Usable: true}, {Load: 0.3, Capacity: 3, Usable: true}}, Keys: []Key{k}}
		moves := 0
		for i := range DefaultEnterAfter {
			moves += len(p.Plan(in, epoch.Add(time.Duration(i)*time.Second)))
		}
		if moves != c.want {
			t.Errorf("share %v, never-repeat %v: %d moves, expected %d", c.share, c.never, moves, c.want)
		}
	}
}

// Guards against moves to targets that cannot take the key, of keys that are
// moving, and past the bound of the table.
func TestPlannerRefusals(t *testing.T) {
	hot := []Key{{KeyLoad: KeyLoad{Hash: 9, Load: 2}, Home: 0}}
	warm := []Key{{KeyLoad: KeyLoad{Hash: 9, Load: 1}, Home: 0}}
	idle := Target{Load: 0, Capacity: 3, Usable: true}
	full := Target{Load: 3, Capacity: 3, Usable: true}
	for name, in := range map[string]Input{
		"unusable":   {Targets: []Target{full, {Capacity: 3}}, Keys: hot},
		"no gain":    {Targets: []Target{full, full}, Keys: hot},
		"no need":    {Targets: []Target{{Load: 2, Capacity: 3, Usable: true}, idle}, Keys: warm},
		"moving":     {Targets: []Target{full, idle}, Keys: hot, Overrides: []Override{{Hash: 9, Moving: true}}},
		"many":       {Targets: []Target{full, idle}, Keys: hot, Overrides: make([]Override, DefaultMaxOverrides)},
		"bad owner":  {Targets: []Target{full, idle}, Keys: []Key{{KeyLoad: KeyLoad{Hash: 9, Load: 2}, Home: 7}}},
		"one target": {Targets: []Target{full}, Keys: hot},
	} {
		p := NewPlanner(Config{})
		for i := range 5 {
			if moves := p.Plan(in, epoch.Add(time.Duration(i)*time.Second)); len(moves) > 0 {
				t.Errorf("%s: moves %+v", name, moves)
			}
		}
	}
}

// Guards against a key that follows every change of the targets' load: its
// requests are held during each move.
func TestKeyRestsBetweenMoves(t *testing.T) {
	p := NewPlanner(Config{})
	idle, full := Target{Capacity: 3, Usable: true}, Target{Load: 3, Capacity: 3, Usable: true}
	owner, moves := uint16(0), []int{}
	for second := range 3 * int(DefaultMinGap/time.Second) {
		in := Input{Targets: []Target{idle, idle}, Keys: []Key{{KeyLoad: KeyLoad{Hash: 9, Load: 1}, Home: 0}}}
		in.Targets[owner] = full
		if owner != 0 {
			in.Overrides = []Override{{Hash: 9, Owner: owner, Home: 0}}
		}
		for _, m := range p.Plan(in, epoch.Add(time.Duration(second)*time.Second)) {
			owner = m.To
			moves = append(moves, second)
		}
	}
	if len(moves) < 2 {
		t.Fatalf("moves at %v s, expected several", moves)
	}
	for i := 1; i < len(moves); i++ {
		if gap := moves[i] - moves[i-1]; gap < int(DefaultMinGap/time.Second) {
			t.Errorf("moves at %v s", moves)
		}
	}
}

// BenchmarkAdd measures the cost per request of a Zipf load on more keys than
// are tracked, drawing the key included.
func BenchmarkAdd(b *testing.B) {
	d := NewDetector(0)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, 1<<20)
	b.ReportAllocs()
	for b.Loop() {
		d.Add(zipf.Uint64(), time.Millisecond, false)
	}
}
