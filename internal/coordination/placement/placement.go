// Package placement plans which target owns each shard. Plans are
// deterministic and move only what must move: shards without a usable owner,
// and the excess of targets whose load leaves the tolerated band.
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Tolerance is the relative distance from its fair share that a target's load
// may have before shards are moved. Lower values cost churn, higher ones
// imbalance.
const Tolerance = 0.10

// Candidate is a target that may own shards. Capacity weighs its fair share.
type Candidate struct {
	Index    uint16
	Name     string
	Capacity int
}

// Input describes the shards of one service.
type Input struct {
	Owners     []uint16
	Candidates []Candidate
	// Load is the relative load of each shard; nil means equal loads.
	Load []float64
	// MaxMoves bounds the shards that leave a usable owner in one plan; 0 means
	// no bound. Shards without a usable owner are always placed.
	MaxMoves int
}

// Change assigns a shard to a new owner.
type Change struct {
	Shard uint32
	To    uint16
}

// Plan holds the changes of one plan. Orphans had no usable owner; Moves leave
// an owner that still serves.
type Plan struct {
	Orphans []Change
	Moves   []Change
}

// Make plans the changes that bring every shard to a candidate and every
// candidate's load into the tolerated band. Without candidates the plan is
// empty.
func Make(in Input) Plan {
	if len(in.Candidates) == 0 || len(in.Owners) == 0 {
		return Plan{}
	}
	p := newPlanner(in)
	p.placeOrphans()
	p.rebalance()
	return p.plan
}

// bin is a candidate with the load it holds under the plan so far.
type bin struct {
	Candidate
	load   float64
	share  float64
	shards []uint32
}

func (b *bin) fill() float64 { return b.load / b.share }

type planner struct {
	in      Input
	bins    []*bin
	byIndex map[uint16]*bin
	plan    Plan
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, byIndex: make(map[uint16]*bin, len(in.Candidates))}
	var capacity, total float64
	for _, c := range in.Candidates {
		b := &bin{Candidate: c}
		p.bins = append(p.bins, b)
		p.byIndex[c.Index] = b
		capacity += float64(max(c.Capacity, 1))
	}
	for shard, owner := range in.Owners {
		total += p.loadOf(uint32(shard))
		if b := p.byIndex[owner]; b != nil {
			b.add(uint32(shard), p.loadOf(uint32(shard)))
		}
	}
	for _, b := range p.bins {
		b.share = math.Max(total*float64(max(b.Capacity, 1))/capacity, math.SmallestNonzeroFloat32)
	}
	return p
}

func (p *planner) loadOf(shard uint32) float64 {
	if p.in.Load == nil {
		return 1
	}
	return p.in.Load[shard]
}

func (b *bin) add(shard uint32, load float64) {
	b.shards = append(b.shards, shard)
	b.load += load
}

// placeOrphans gives each shard without a candidate owner to its first choice
// that has room, heaviest shard first.
func (p *planner) placeOrphans() {
	var orphans []uint32
	for shard, owner := range p.in.Owners {
		if p.byIndex[owner] == nil {
			orphans = append(orphans, uint32(shard))
		}
	}
	slices.SortStableFunc(orphans, func(a, b uint32) int { return cmp.Compare(p.loadOf(b), p.loadOf(a)) })
	for _, shard := range orphans {
		b := p.choose(shard)
		b.add(shard, p.loadOf(shard))
		p.plan.Orphans = append(p.plan.Orphans, Change{Shard: shard, To: b.Index})
	}
}

// choose returns the highest-scored candidate that stays within its share, or
// else the emptiest one.
func (p *planner) choose(shard uint32) *bin {
	var best, emptiest *bin
	var bestScore uint64
	for _, b := range p.bins {
		if emptiest == nil || b.fill() < emptiest.fill() {
			emptiest = b
		}
		if b.load+p.loadOf(shard) > b.share {
			continue
		}
		if s := score(shard, b.Name); best == nil || s > bestScore {
			best, bestScore = b, s
		}
	}
	if best != nil {
		return best
	}
	return emptiest
}

// rebalance moves shards from the fullest to the emptiest candidate while one
// of the two is outside the band.
func (p *planner) rebalance() {
	for p.in.MaxMoves == 0 || len(p.plan.Moves) < p.in.MaxMoves {
		from, to := p.extremes()
		if from == to || (from.fill() <= 1+Tolerance && to.fill() >= 1-Tolerance) {
			return
		}
		i := p.pick(from, to)
		if i < 0 {
			return
		}
		p.move(from, to, i)
	}
}

func (p *planner) extremes() (fullest, emptiest *bin) {
	fullest, emptiest = p.bins[0], p.bins[0]
	for _, b := range p.bins[1:] {
		if b.fill() > fullest.fill() {
			fullest = b
		}
		if b.fill() < emptiest.fill() {
			emptiest = b
		}
	}
	return fullest, emptiest
}

// pick returns the position of the shard of from that prefers to most, among
// those whose move lowers the larger of the two fills; -1 if there is none.
// Shards placed by this plan are not moved again.
func (p *planner) pick(from, to *bin) int {
	best, bestScore := -1, uint64(0)
	for i, shard := range from.shards {
		load := p.loadOf(shard)
		if p.in.Owners[shard] != from.Index || load <= 0 {
			continue
		}
		if (to.load+load)/to.share >= from.fill() {
			continue
		}
		if s := score(shard, to.Name); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func (p *planner) move(from, to *bin, i int) {
	shard := from.shards[i]
	load := p.loadOf(shard)
	from.shards = slices.Delete(from.shards, i, i+1)
	from.load -= load
	to.add(shard, load)
	p.plan.Moves = append(p.plan.Moves, Change{Shard: shard, To: to.Index})
}

// score is the rendezvous weight of a target for a shard.
func score(shard uint32, name string) uint64 {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], shard)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Imbalance returns the largest load of a candidate relative to its fair
// share. Shards without a candidate owner are left out.
func Imbalance(in Input) float64 {
	p := newPlanner(in)
	worst := 0.0
	for _, b := range p.bins {
		worst = math.Max(worst, b.fill())
	}
	return worst
}
