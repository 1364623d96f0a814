package ownership

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Limits of assignment.
const (
	// gatherTime is the wait for registrations before the first assignment.
	gatherTime = 1200 * time.Millisecond
	// firstPieces is the number of spans that each target gets at first. Busy
	// keys lie close together, so several spans even them out.
	firstPieces = 3
	// neighbourShare is the multiple of its fair share up to which a target gets
	// keys beside its own. Spans that touch are joined, and few are cheap to renew.
	neighbourShare = 1.1
	// joinShare is the part of a fair share below which a span is joined with its
	// neighbour. Busy spans stay as they are: another grant may slow their keys.
	joinShare = 0.1
)

// assign returns a table in which free spans have new owners, or nil if there is
// nothing to give or nobody to give it to.
func (e *Engine) assign(now time.Duration) *ranges.Table {
	if !e.anyEligible() || now-e.firstAt < gatherTime && e.table.Fence == 0 {
		return nil
	}
	var unowned []*hold
	inherited := false
	for _, h := range e.holds {
		if h.phase == free {
			unowned = append(unowned, h)
		}
		inherited = inherited || h.inherited && h.phase == holding
	}
	if len(unowned) == 0 && !inherited {
		return nil
	}
	w := e.weigh()
	t := e.table.Clone()
	for _, h := range unowned {
		for _, s := range e.pieces(h.span) {
			weight := e.spanWeight(w, s)
			owner := e.choose(w, h.next, e.beside(w, &t, s, weight))
			w.byTarget[owner.ID] += weight
			given := t.Assign(s.From, s.To, owner)
			e.claims[claim{given.From, given.To}] = h.handover
		}
	}
	for _, h := range e.holds {
		if h.inherited && h.phase == holding {
			t.Assign(h.span.From, h.span.To, h.span.Incarnation())
		}
	}
	e.join(w, &t)
	return &t
}

// beside returns the owner of keys next to a span if it can take the span as well.
func (e *Engine) beside(w *weights, t *ranges.Table, s ranges.Span, weight float64) string {
	if s.Fence == 0 {
		return "" // the first assignment spreads neighbouring keys
	}
	best, least := "", math.Inf(1)
	consider := func(key int) {
		if key < 0 || key > ranges.MaxKey {
			return
		}
		id := t.Lookup(uint16(key)).Owner
		owner, known := e.targets[id]
		if !known || !e.eligible(owner) || w.byTarget[id]+weight > neighbourShare*w.fair(owner) {
			return
		}
		if u := w.byTarget[id] / owner.Capacity; u < least {
			best, least = id, u
		}
	}
	consider(int(s.From) - 1)
	consider(int(s.To) + 1)
	return best
}

// join gives neighbouring spans of one owner a common fence, so that one grant
// renews them. Busy spans, those that are being moved, and those whose grant is on
// its way stay.
func (e *Engine) join(w *weights, t *ranges.Table) {
	var moving []ranges.Span
	for _, h := range e.holds {
		if h.phase != holding || !h.granted || h.grant != 0 || h.inherited || h.handover != "" {
			moving = append(moving, h.span)
		}
	}
	settled := func(s ranges.Span) bool {
		if e.spanWeight(w, s) > joinShare*w.fair(e.targets[s.Owner]) {
			return false
		}
		return !slices.ContainsFunc(moving, func(m ranges.Span) bool { return m.From <= s.To && s.From <= m.To })
	}
	for i := 0; i < len(t.Spans)-1; i++ {
		first, last := t.Spans[i], t.Spans[i]
		if !first.Owned() || !settled(first) {
			continue
		}
		for _, s := range t.Spans[i+1:] {
			if s.Incarnation() != first.Incarnation() || !settled(s) {
				break
			}
			last = s
		}
		if last != first {
			t.Assign(first.From, last.To, first.Incarnation())
		}
	}
}

// pieces cuts a span that nobody owned yet, so that every target gets several.
func (e *Engine) pieces(s ranges.Span) []ranges.Span {
	n := firstPieces * len(e.targets)
	step := max(ranges.Keys/max(n, 1), 1)
	if s.Fence != 0 || s.Len() <= step {
		return []ranges.Span{s}
	}
	var out []ranges.Span
	for from := int(s.From); from <= int(s.To); from += step {
		out = append(out, ranges.Span{From: uint16(from), To: uint16(min(from+step-1, int(s.To)))})
	}
	return out
}

// choose returns the first of the preferred owners that still takes keys, and
// otherwise the target with the least load for its capacity.
func (e *Engine) choose(w *weights, preferred ...string) target.Incarnation {
	for _, id := range preferred {
		if t, ok := e.targets[id]; ok && e.eligible(t) {
			return t.Incarnation
		}
	}
	var best Target
	least := math.Inf(1)
	for _, id := range e.ids() {
		t := e.targets[id]
		if u := w.byTarget[id] / max(t.Capacity, 0.01); e.eligible(t) && u < least {
			least, best = u, t
		}
	}
	return best.Incarnation
}
