package ownership

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Parameters of load balancing.
const (
	// planInterval is the time between two rounds of load balancing.
	planInterval = 150 * time.Millisecond
	// drainParts is the number of parts into which the load of a leaving target is
	// split. With smaller parts, a release waits for fewer running requests.
	drainParts = 12
	// uniformShare is the ratio of the weight that is distributed evenly over all keys
	// to the measured load, so that keys without requests have a weight as well.
	uniformShare = 0.3
	// A target is overloaded if its load is above overloadRatio times its fair share,
	// and more than overloadSigma standard deviations of a Poisson count above it.
	overloadRatio = 1.35
	overloadSigma = 2.5
	// emptyTargetShare is the fraction of a fair share below which a target that owns no
	// span gets keys although no target is overloaded.
	emptyTargetShare = 0.7
	// baseConcurrentMoves bounds the spans that are being moved at a time. The bound
	// rises by one for every targetsPerExtraMove targets.
	baseConcurrentMoves = 6
	targetsPerExtraMove = 6
	// A run with more than hotRunShare of its owner's load is hot. After it was moved away,
	// no other hot run of that owner is moved for moveEffectTime: until then the measured
	// loads and service times still show the load that has gone.
	hotRunShare    = 0.4
	moveEffectTime = 2 * loadWindow
	// minRequestCount is the total weight below which keys are only moved to targets that
	// own no span.
	minRequestCount = 20
)

// AddLoad counts requests for keys, each of the given weight.
func (e *Engine) AddLoad(keys []uint16, weight float32) {
	for _, k := range keys {
		e.load.add(k, weight)
	}
}

// decayLoad applies the decay of the measured load at most once per planInterval.
func (e *Engine) decayLoad(now time.Duration) {
	if now-e.load.decayedAt >= planInterval {
		e.load.decay(now)
	}
}

// weights holds the weight of each target, and the totals that fair shares depend on.
type weights struct {
	uniform  float64
	total    float64
	byTarget map[string]float64
	capacity float64
}

// fairShare returns the weight that a target has if weight is proportional to capacity.
func (w *weights) fairShare(t Target) float64 {
	if w.capacity == 0 {
		return 0
	}
	return w.total * t.Capacity / w.capacity
}

func (e *Engine) spanWeight(w *weights, s ranges.Span) float64 {
	return w.uniform*float64(s.Len()) + e.load.rangeLoad(s.From, s.To)
}

// keyWeight returns the measured load of a key plus the uniform weight of every key.
func (e *Engine) keyWeight(w *weights, key int) float64 { return float64(e.load.keys[key]) + w.uniform }

// computeWeights adds up the weights by target. A span that is being moved counts for its
// next owner.
func (e *Engine) computeWeights() *weights {
	w := &weights{byTarget: make(map[string]float64)}
	w.uniform = (e.load.total()*uniformShare + 1) / ranges.KeyCount
	for _, h := range e.spans {
		x := e.spanWeight(w, h.span)
		w.total += x
		switch {
		case h.phase == phaseGranted:
			w.byTarget[h.span.Owner] += x
		case h.nextOwner != "":
			w.byTarget[h.nextOwner] += x
		}
	}
	for _, t := range e.targets {
		if e.eligible(t) {
			w.capacity += t.Capacity
		}
	}
	return w
}

// plan starts the releases and moves that are due.
func (e *Engine) plan(now time.Duration) {
	e.releaseDeparted(now)
	if now-e.plannedAt < planInterval {
		return
	}
	e.plannedAt = now
	e.continueMoves(now)
	e.mergeSpans()
	if !e.noBalancing {
		e.rebalance(now)
	}
}

// releaseDeparted starts the release of spans whose owner is leaving or no longer
// registered. It frees spans whose owner has restarted, or reassigns them to the owner's
// next incarnation if that may have accepted grants for the previous one.
func (e *Engine) releaseDeparted(now time.Duration) {
	if !e.anyEligible() {
		return
	}
	var spans []*spanState
	var w *weights // computed for the first leaving target
	for _, h := range e.spans {
		t, known := e.targets[h.span.Owner]
		switch {
		case h.phase == phaseFree:
			spans = append(spans, h)
		case known && t.Incarnation != h.span.Incarnation() && e.config.GrantsNameIncarnation:
			h.phase, h.pendingGrant, h.releasePending, h.handover = phaseFree, 0, false, ""
			spans = append(spans, h)
		case h.phase == phaseGranted && known && t.Incarnation != h.span.Incarnation():
			h.reassignTo(t.Incarnation)
			spans = append(spans, h)
		case h.phase == phaseGranted && known && t.Leaving:
			if w == nil {
				w = e.computeWeights()
			}
			spans = append(spans, e.splitForRelease(w, h, now)...)
		case h.phase == phaseGranted && !known:
			h.startRelease(now)
			spans = append(spans, h)
		default:
			spans = append(spans, h)
		}
	}
	e.spans = spans
}

// reassignTo keeps the span with its owner's next incarnation, which may have accepted
// grants for the previous incarnation. The span then counts as inherited, so that assign
// gives it a new fence.
func (h *spanState) reassignTo(next target.Incarnation) {
	h.span.Epoch = next.Epoch
	h.inherited, h.confirmed, h.handover = true, false, ""
}

func (e *Engine) anyEligible() bool {
	for _, t := range e.targets {
		if e.eligible(t) {
			return true
		}
	}
	return false
}

// startRelease puts the span into phaseReleasing, in which reclaim adds the release call.
func (h *spanState) startRelease(now time.Duration) {
	h.phase, h.releasePending, h.released, h.renewAt = phaseReleasing, false, false, now
}

// subspan returns the state of the part from..to of the span.
func (h *spanState) subspan(from, to uint16) *spanState {
	p := *h
	p.span.From, p.span.To = from, to
	return &p
}

// splitForRelease starts the release of a leaving target's span in parts of about the
// same load. The number of parts of all its spans together is bounded, because each part
// is a separate span until its keys have moved.
func (e *Engine) splitForRelease(w *weights, h *spanState, now time.Duration) []*spanState {
	share := w.byTarget[h.span.Owner] / drainParts
	var out []*spanState
	from, sum := h.span.From, 0.0
	for k := int(h.span.From); k <= int(h.span.To); k++ {
		sum += e.keyWeight(w, k)
		if sum < share && k < int(h.span.To) {
			continue
		}
		p := h.subspan(from, uint16(k))
		p.startRelease(now)
		out = append(out, p)
		from, sum = uint16(k)+1, 0
	}
	return out
}

// mergeSpans merges adjacent spans of one owner that have the same fence, so that one call
// renews them.
func (e *Engine) mergeSpans() {
	var spans []*spanState
	for _, h := range e.spans {
		if n := len(spans); n > 0 && mergeable(spans[n-1], h) {
			last := spans[n-1]
			last.span.To = h.span.To
			last.expiresAt = max(last.expiresAt, h.expiresAt)
			last.unansweredExpiresAt = max(last.unansweredExpiresAt, h.unansweredExpiresAt)
			last.lowerFenceExpiresAt = max(last.lowerFenceExpiresAt, h.lowerFenceExpiresAt)
			last.renewAt = min(last.renewAt, h.renewAt)
			continue
		}
		spans = append(spans, h)
	}
	e.spans = spans
}

func mergeable(a, b *spanState) bool {
	same := a.span.Fence == b.span.Fence && a.span.Incarnation() == b.span.Incarnation() && a.span.Owned() && a.inherited == b.inherited
	return same && a.phase == phaseGranted && b.phase == phaseGranted && a.pendingGrant == 0 && b.pendingGrant == 0 &&
		a.handover == "" && b.handover == ""
}

// rebalance moves load from the most to the least loaded targets. A target whose load
// cannot be moved is skipped and does not block moves from the others.
func (e *Engine) rebalance(now time.Duration) {
	moving := 0
	for _, h := range e.spans {
		if h.phase != phaseGranted || !h.confirmed {
			moving++
		}
	}
	skipped := make(map[string]bool)
	w := e.computeWeights()
	for limit := baseConcurrentMoves + len(e.targets)/targetsPerExtraMove; moving < limit; {
		high, low, found := e.mostAndLeastLoaded(w, skipped)
		if !found {
			return
		}
		toEmptyTarget := w.byTarget[low.Incarnation.ID] < e.emptyTargetThreshold(w, low)
		if !toEmptyTarget && (w.total < minRequestCount || w.byTarget[high.Incarnation.ID] <= overloadThreshold(high)*w.fairShare(high)) {
			return
		}
		if !e.moveBetween(w, high, low, toEmptyTarget, now) {
			skipped[high.Incarnation.ID] = true
			continue
		}
		moving++
		w = e.computeWeights()
	}
}

// moveBetween starts a move from one target to another. It returns false if there
// is no move that improves the balance.
func (e *Engine) moveBetween(w *weights, high, low Target, toEmptyTarget bool, now time.Duration) bool {
	if !toEmptyTarget && !overloaded(high, w.byTarget[high.Incarnation.ID], w.fairShare(high)) {
		return false
	}
	room := w.fairShare(low) - w.byTarget[low.Incarnation.ID]
	want := min(room, w.byTarget[high.Incarnation.ID]-w.fairShare(high))
	if toEmptyTarget {
		want = room / 2
		if low.MaxRate > 0 {
			want = limitedRoomShare * room
		}
	}
	p := e.densestRun(w, high.Incarnation, want)
	if p.span == nil {
		return false
	}
	hot := p.weight > hotRunShare*w.byTarget[high.Incarnation.ID]
	if since, moved := e.movedAway[high.Incarnation.ID]; hot && moved && now-since < moveEffectTime {
		return false
	}
	if low.exceeds(w.byTarget[low.Incarnation.ID] + p.weight) {
		return false
	}
	after := (w.byTarget[low.Incarnation.ID] + p.weight) / low.Capacity
	if !toEmptyTarget && after >= w.byTarget[high.Incarnation.ID]/high.Capacity {
		return false
	}
	e.startMove(p.span, p.from, p.to, low.Incarnation.ID, now)
	if hot {
		e.movedAway[high.Incarnation.ID] = now
	}
	return true
}

// emptyTargetThreshold returns the weight below which a target gets keys although no
// target is overloaded. It is 0 for a target that already owns a span.
func (e *Engine) emptyTargetThreshold(w *weights, t Target) float64 {
	for _, h := range e.spans {
		if h.span.Owner == t.Incarnation.ID && h.phase == phaseGranted && h.span.Incarnation() == t.Incarnation {
			return 0
		}
	}
	return w.fairShare(t) * emptyTargetShare
}

// overloaded reports whether a target's weight is too far above the fair share. It takes the
// weight as a Poisson count, whose standard deviation is the square root of the mean.
func overloaded(t Target, weight, fair float64) bool {
	sigma := overloadSigma
	if t.MaxRate > 0 {
		sigma = limitedSigma
	}
	return weight > overloadThreshold(t)*fair && weight > fair+sigma*math.Sqrt(fair)
}

// overloadThreshold returns the multiple of its fair share from which a target may be overloaded.
func overloadThreshold(t Target) float64 {
	if t.MaxRate > 0 {
		return 1
	}
	return overloadRatio
}

// mostAndLeastLoaded returns the targets with the most and the least load per capacity.
// The targets in skipped cannot be the most loaded one, and targets that await their proof not the
// least loaded one.
func (e *Engine) mostAndLeastLoaded(w *weights, skipped map[string]bool) (high, low Target, found bool) {
	most, least := -1.0, math.Inf(1)
	for _, id := range e.targetIDs() {
		t := e.targets[id]
		if !e.eligible(t) {
			continue
		}
		u := w.byTarget[id] / t.Capacity
		if u > most && !skipped[id] {
			most, high = u, t
		}
		if u < least && !e.awaitsProof(t) {
			least, low = u, t
		}
	}
	return high, low, most >= 0 && !math.IsInf(least, 1) && high.Incarnation != low.Incarnation
}

// targetIDs returns the IDs of the targets in ascending order.
func (e *Engine) targetIDs() []string {
	ids := make([]string, 0, len(e.targets))
	for id := range e.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

const (
	// oversizeRatio is the multiple of the wanted weight above which a single key is not
	// moved. The keys around it are moved instead.
	oversizeRatio = 1.6
	// minMoveShare is the fraction of the wanted weight below which a move is not worth
	// the time in which its keys have no owner.
	minMoveShare = 0.1
)

// keyRun is a sequence of adjacent keys of one span.
type keyRun struct {
	span     *spanState
	from, to uint16
	weight   float64
}

func (p keyRun) len() int { return int(p.to) - int(p.from) + 1 }

// densestRun returns the shortest run of adjacent keys of an owner that weighs at least
// want, as fewer keys are cheaper to move. If every run between oversized or pinned keys
// weighs less, it returns the heaviest run. Spans with an unanswered grant are left out:
// the grant may take effect after their release, so their keys could not be assigned to
// another target until it has expired.
func (e *Engine) densestRun(w *weights, owner target.Incarnation, want float64) keyRun {
	var best, heaviest keyRun
	for _, h := range e.spans {
		if h.phase != phaseGranted || !h.confirmed || h.span.Incarnation() != owner || e.plannedAt < h.unansweredExpiresAt {
			continue
		}
		sum, start := 0.0, int(h.span.From)
		for k := int(h.span.From); k <= int(h.span.To); k++ {
			x := e.keyWeight(w, k)
			if x > oversizeRatio*want || e.pinned(uint16(k)) {
				sum, start = 0, k+1
				continue
			}
			sum += x
			for first := e.keyWeight(w, start); sum-first >= want && start < k; {
				sum -= first
				start++
				first = e.keyWeight(w, start)
			}
			found := keyRun{h, uint16(start), uint16(k), sum}
			if sum >= want && (best.span == nil || found.len() < best.len()) {
				best = found
			}
			if sum > max(heaviest.weight, minMoveShare*want) {
				heaviest = found
			}
		}
	}
	if best.span == nil {
		return heaviest
	}
	return best
}

// startMove starts the move of the keys from..to of a span to the target next. It splits
// off the other keys of the span.
func (e *Engine) startMove(h *spanState, from, to uint16, next string, now time.Duration) {
	var parts []*spanState
	if h.span.From < from {
		parts = append(parts, h.subspan(h.span.From, from-1))
	}
	moving := h.subspan(from, to)
	moving.startRelease(now)
	moving.nextOwner = next
	parts = append(parts, moving)
	if to < h.span.To {
		parts = append(parts, h.subspan(to+1, h.span.To))
	}
	i := slices.Index(e.spans, h)
	e.spans = slices.Replace(e.spans, i, i+1, parts...)
}
