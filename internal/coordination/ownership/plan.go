package ownership

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Limits of planning.
const (
	// planEvery is the pause between moves that even out load.
	planEvery = 150 * time.Millisecond
	// leavePieces is the number of parts into which the load of a leaving target is
	// cut. A release waits for the running requests of its keys only.
	leavePieces = 12
	// uniformShare is the part of the weight that every key has alike, so that
	// keys without requests count as well.
	uniformShare = 0.3
	// overloadRatio and overloadSigma say when a target has too much: above this
	// multiple of its fair share, and beyond the scatter of the count.
	overloadRatio = 1.35
	overloadSigma = 2.5
	// newcomerShare is the part of its fair share below which a target without
	// keys is given some.
	newcomerShare = 0.7
	// movesAtOnce bounds the spans that are being moved to even out load;
	// targetsPerMove adds one for so many targets.
	movesAtOnce    = 6
	targetsPerMove = 6
	// minimumRate is the number of counted requests below which load is not
	// evened out.
	minimumRate = 20
)

// AddLoad counts requests for keys, each of the given weight.
func (e *Engine) AddLoad(keys []uint16, weight float32) {
	for _, k := range keys {
		e.load.add(k, weight)
	}
}

// decay ages the measured load.
func (e *Engine) decay(now time.Duration) {
	if now-e.load.aged >= planEvery {
		e.load.age(now)
	}
}

// weights is the load of keys, spans and targets.
type weights struct {
	uniform  float64
	total    float64
	byTarget map[string]float64
	capacity float64
}

func (w *weights) fair(t Target) float64 {
	if w.capacity == 0 {
		return 0
	}
	return w.total * t.Capacity / w.capacity
}

func (e *Engine) spanWeight(w *weights, s ranges.Span) float64 {
	return w.uniform*float64(s.Len()) + e.load.of(s.From, s.To)
}

// keyWeight is the weight of one key.
func (e *Engine) keyWeight(w *weights, key int) float64 { return float64(e.load.keys[key]) + w.uniform }

func (e *Engine) weigh() *weights {
	w := &weights{byTarget: make(map[string]float64)}
	w.uniform = (e.load.total()*uniformShare + 1) / ranges.Keys
	for _, h := range e.holds {
		x := e.spanWeight(w, h.span)
		w.total += x
		switch {
		case h.phase == holding:
			w.byTarget[h.span.Owner] += x
		case h.next != "":
			w.byTarget[h.next] += x
		}
	}
	for _, t := range e.targets {
		if e.eligible(t) {
			w.capacity += t.Capacity
		}
	}
	return w
}

// plan starts the moves that are due.
func (e *Engine) plan(now time.Duration) {
	e.takeBack(now)
	if now-e.planAt < planEvery {
		return
	}
	e.planAt = now
	e.merge()
	e.even(now)
}

// takeBack starts the release of spans whose owner leaves or is gone.
func (e *Engine) takeBack(now time.Duration) {
	if !e.anyEligible() {
		return
	}
	var holds []*hold
	var w *weights // weighed when the first leaving target is met
	for _, h := range e.holds {
		t, known := e.targets[h.span.Owner]
		switch {
		case h.phase == free:
			holds = append(holds, h)
		case known && t.Incarnation != h.span.Incarnation() && e.config.NamesLife:
			h.phase, h.grant, h.releasing, h.handover = free, 0, false, ""
			holds = append(holds, h)
		case h.phase == holding && known && t.Incarnation != h.span.Incarnation():
			h.passTo(t.Incarnation)
			holds = append(holds, h)
		case h.phase == holding && known && t.Leaving:
			if w == nil {
				w = e.weigh()
			}
			holds = append(holds, e.cut(w, h, now)...)
		case h.phase == holding && !known:
			h.release(now)
			holds = append(holds, h)
		default:
			holds = append(holds, h)
		}
	}
	e.holds = holds
}

// passTo leaves the span with the next life of its owner, which may have taken grants
// that were meant for the one before. It gets the span under a fence of its own.
func (h *hold) passTo(next target.Incarnation) {
	h.span.Epoch = next.Epoch
	h.inherited, h.granted, h.handover = true, false, ""
}

func (e *Engine) anyEligible() bool {
	for _, t := range e.targets {
		if e.eligible(t) {
			return true
		}
	}
	return false
}

// release starts taking the span back.
func (h *hold) release(now time.Duration) {
	h.phase, h.releasing, h.released, h.renewAt = releasing, false, false, now
}

// part returns the knowledge of a part of the span.
func (h *hold) part(from, to uint16) *hold {
	p := *h
	p.span.From, p.span.To = from, to
	return &p
}

// cut starts the release of a leaving target's span, in pieces of about the same
// load. The pieces of all its spans together are few: each is renewed by itself
// until its keys have moved on.
func (e *Engine) cut(w *weights, h *hold, now time.Duration) []*hold {
	share := w.byTarget[h.span.Owner] / leavePieces
	var out []*hold
	from, sum := h.span.From, 0.0
	for k := int(h.span.From); k <= int(h.span.To); k++ {
		sum += e.keyWeight(w, k)
		if sum < share && k < int(h.span.To) {
			continue
		}
		p := h.part(from, uint16(k))
		p.release(now)
		out = append(out, p)
		from, sum = uint16(k)+1, 0
	}
	return out
}

// merge joins neighbouring parts of one grant, so that one call renews them.
func (e *Engine) merge() {
	var holds []*hold
	for _, h := range e.holds {
		if n := len(holds); n > 0 && mergeable(holds[n-1], h) {
			last := holds[n-1]
			last.span.To = h.span.To
			last.until = max(last.until, h.until)
			last.unanswered = max(last.unanswered, h.unanswered)
			last.earlier = max(last.earlier, h.earlier)
			last.renewAt = min(last.renewAt, h.renewAt)
			continue
		}
		holds = append(holds, h)
	}
	e.holds = holds
}

func mergeable(a, b *hold) bool {
	same := a.span.Fence == b.span.Fence && a.span.Incarnation() == b.span.Incarnation() && a.span.Owned() && a.inherited == b.inherited
	return same && a.phase == holding && b.phase == holding && a.grant == 0 && b.grant == 0 &&
		a.handover == "" && b.handover == ""
}

// even moves load from targets that have too much to those with little. A target
// with nothing that can be moved does not hold up the others.
func (e *Engine) even(now time.Duration) {
	moving := 0
	for _, h := range e.holds {
		if h.phase != holding || !h.granted {
			moving++
		}
	}
	passed := make(map[string]bool)
	w := e.weigh()
	for most := movesAtOnce + len(e.targets)/targetsPerMove; moving < most; {
		high, low, found := e.extremes(w, passed)
		if !found {
			return
		}
		newcomer := w.byTarget[low.Incarnation.ID] < e.newcomerWeight(w, low)
		if !newcomer && (w.total < minimumRate || w.byTarget[high.Incarnation.ID] <= overloadRatio*w.fair(high)) {
			return
		}
		if !e.moveBetween(w, high, low, newcomer, now) {
			passed[high.Incarnation.ID] = true
			continue
		}
		moving++
		w = e.weigh()
	}
}

// moveBetween starts a move from one target to another, and reports whether there
// was one to make.
func (e *Engine) moveBetween(w *weights, high, low Target, newcomer bool, now time.Duration) bool {
	if !newcomer && !overloaded(w.byTarget[high.Incarnation.ID], w.fair(high)) {
		return false
	}
	room := w.fair(low) - w.byTarget[low.Incarnation.ID]
	want := min(room, w.byTarget[high.Incarnation.ID]-w.fair(high))
	if newcomer {
		want = room / 2
	}
	p := e.densest(w, high.Incarnation, want)
	if p.of == nil {
		return false
	}
	after := (w.byTarget[low.Incarnation.ID] + p.weight) / low.Capacity
	if !newcomer && after >= w.byTarget[high.Incarnation.ID]/high.Capacity {
		return false
	}
	e.split(p.of, p.from, p.to, low.Incarnation.ID, now)
	return true
}

// newcomerWeight is the load below which a target is given keys although nobody
// has too much.
func (e *Engine) newcomerWeight(w *weights, t Target) float64 {
	for _, h := range e.holds {
		if h.span.Owner == t.Incarnation.ID && h.phase == holding && h.span.Incarnation() == t.Incarnation {
			return 0
		}
	}
	return w.fair(t) * newcomerShare
}

func overloaded(weight, fair float64) bool {
	return weight > overloadRatio*fair && weight > fair+overloadSigma*math.Sqrt(fair)
}

// extremes returns the targets with the most and the least load for their
// capacity. Targets that were passed over are not looked at for the most.
func (e *Engine) extremes(w *weights, passed map[string]bool) (high, low Target, found bool) {
	most, least := -1.0, math.Inf(1)
	for _, id := range e.ids() {
		t := e.targets[id]
		if !e.eligible(t) {
			continue
		}
		u := w.byTarget[id] / t.Capacity
		if u > most && !passed[id] {
			most, high = u, t
		}
		if u < least {
			least, low = u, t
		}
	}
	return high, low, most >= 0 && high.Incarnation != low.Incarnation
}

// ids returns the targets in a fixed order.
func (e *Engine) ids() []string {
	ids := make([]string, 0, len(e.targets))
	for id := range e.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

const (
	// oversize is the multiple of the wanted weight from which a single key is not
	// moved: it stays where it is, and its neighbours go.
	oversize = 1.6
	// leastPart is the part of the wanted weight below which a move is not worth
	// the time without an owner.
	leastPart = 0.1
)

// piece is a run of neighbouring keys of one span.
type piece struct {
	of       *hold
	from, to uint16
	weight   float64
}

func (p piece) len() int { return int(p.to) - int(p.from) + 1 }

// densest returns the fewest neighbouring keys of an owner that weigh about want,
// as few keys are cheap to move. If all runs between oversized keys weigh less, it
// returns the heaviest one. Spans with a grant that got no answer stay for now: it may
// take effect after their release, so nobody could have them until it has run out.
func (e *Engine) densest(w *weights, owner target.Incarnation, want float64) piece {
	var best, heaviest piece
	for _, h := range e.holds {
		if h.phase != holding || !h.granted || h.span.Incarnation() != owner || e.planAt < h.unanswered {
			continue
		}
		sum, start := 0.0, int(h.span.From)
		for k := int(h.span.From); k <= int(h.span.To); k++ {
			x := e.keyWeight(w, k)
			if x > oversize*want || e.pinned(uint16(k)) {
				sum, start = 0, k+1
				continue
			}
			sum += x
			for first := e.keyWeight(w, start); sum-first >= want && start < k; {
				sum -= first
				start++
				first = e.keyWeight(w, start)
			}
			found := piece{h, uint16(start), uint16(k), sum}
			if sum >= want && (best.of == nil || found.len() < best.len()) {
				best = found
			}
			if sum > max(heaviest.weight, leastPart*want) {
				heaviest = found
			}
		}
	}
	if best.of == nil {
		return heaviest
	}
	return best
}

// split starts the move of a part of a span.
func (e *Engine) split(h *hold, from, to uint16, next string, now time.Duration) {
	var parts []*hold
	if h.span.From < from {
		parts = append(parts, h.part(h.span.From, from-1))
	}
	moving := h.part(from, to)
	moving.release(now)
	moving.next = next
	parts = append(parts, moving)
	if to < h.span.To {
		parts = append(parts, h.part(to+1, h.span.To))
	}
	i := slices.Index(e.holds, h)
	e.holds = slices.Replace(e.holds, i, i+1, parts...)
}
