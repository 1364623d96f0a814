package ownership

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// Parameters of the assignment of keys.
const (
	// registrationWait is the delay between the first registration and the first
	// assignment, in which other targets can register.
	registrationWait = 1200 * time.Millisecond
	// initialSpansPerTarget is the number of spans that each target gets in the first
	// assignment. Hot keys are often adjacent, so several spans per target spread them.
	initialSpansPerTarget = 3
	// adjacentShareLimit is the multiple of its fair share up to which a target gets
	// keys adjacent to its own. Adjacent spans of one owner can be merged, and fewer
	// spans are cheaper to renew.
	adjacentShareLimit = 1.1
	// mergeShareLimit is the fraction of a fair share up to which a span is merged with
	// an adjacent span of its owner. Spans with more load are not merged, because a new
	// grant may delay requests for their keys.
	mergeShareLimit = 0.1
)

// assign returns a table that assigns free spans to new owners and gives inherited spans
// a new fence. It returns nil if there are no such spans or no eligible targets, and
// before the first assignment until registrationWait has passed.
func (e *Engine) assign(now time.Duration) *ranges.Table {
	if !e.anyEligible() || now-e.firstTargetAt < registrationWait && e.table.Unassigned() {
		return nil
	}
	var unowned []*spanState
	inherited := false
	for _, h := range e.spans {
		if h.phase == phaseFree {
			unowned = append(unowned, h)
		}
		inherited = inherited || h.inherited && h.phase == phaseGranted
	}
	if len(unowned) == 0 && !inherited {
		return nil
	}
	w := e.computeWeights()
	t := e.table.Clone()
	for _, h := range unowned {
		for _, s := range e.splitUnassigned(h.span) {
			weight := e.spanWeight(w, s)
			owner := e.chooseOwner(w, weight, h.nextOwner, e.adjacentOwner(w, &t, s, weight))
			w.byTarget[owner.ID] += weight
			assigned := t.Assign(s.From, s.To, owner)
			e.pendingHandovers[keyRange{assigned.From, assigned.To}] = h.handover
		}
	}
	for _, h := range e.spans {
		if h.inherited && h.phase == phaseGranted {
			t.Assign(h.span.From, h.span.To, h.span.Incarnation())
		}
	}
	e.mergeTableSpans(w, &t)
	return &t
}

// adjacentOwner returns the owner of the key before or after a span, or an empty string
// if neither owner has capacity for the span. If both have capacity, it returns the owner
// with the lower load per capacity.
func (e *Engine) adjacentOwner(w *weights, t *ranges.Table, s ranges.Span, weight float64) string {
	if s.Fence == 0 {
		return "" // the first assignment spreads adjacent keys over targets
	}
	best, least := "", math.Inf(1)
	consider := func(key int) {
		if key < 0 || key > ranges.MaxKey {
			return
		}
		id := t.Lookup(uint16(key)).Owner
		owner, known := e.targets[id]
		if !known || !e.eligible(owner) || w.byTarget[id]+weight > adjacentShareLimit*w.fairShare(owner) {
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

// mergeTableSpans merges adjacent spans of one owner under a new fence, so that one grant
// renews them. It leaves out spans with much load, spans that are being moved, and spans
// whose grant is in flight or not yet confirmed.
func (e *Engine) mergeTableSpans(w *weights, t *ranges.Table) {
	var unsettled []ranges.Span
	for _, h := range e.spans {
		if h.phase != phaseGranted || !h.confirmed || h.pendingGrant != 0 || h.inherited || h.handover != "" {
			unsettled = append(unsettled, h.span)
		}
	}
	settled := func(s ranges.Span) bool {
		if e.spanWeight(w, s) > mergeShareLimit*w.fairShare(e.targets[s.Owner]) {
			return false
		}
		return !slices.ContainsFunc(unsettled, func(m ranges.Span) bool { return m.From <= s.To && s.From <= m.To })
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

// splitUnassigned splits a span that never had an owner, so that every target gets
// several spans. It does not split a span that had an owner.
func (e *Engine) splitUnassigned(s ranges.Span) []ranges.Span {
	n := initialSpansPerTarget * len(e.targets)
	step := max(ranges.KeyCount/max(n, 1), 1)
	if s.Fence != 0 || s.Len() <= step {
		return []ranges.Span{s}
	}
	var out []ranges.Span
	for from := int(s.From); from <= int(s.To); from += step {
		out = append(out, ranges.Span{From: uint16(from), To: uint16(min(from+step-1, int(s.To)))})
	}
	return out
}

// chooseOwner returns the first of the preferred targets that is eligible, or else the
// eligible target with the least load per capacity. It passes over targets that would exceed
// their maximum rate with the weight, if there are others.
func (e *Engine) chooseOwner(w *weights, weight float64, preferred ...string) target.Incarnation {
	for _, id := range preferred {
		if t, ok := e.targets[id]; ok && e.eligible(t) {
			return t.Incarnation
		}
	}
	var best, exceeding Target
	least, leastExceeding := math.Inf(1), math.Inf(1)
	for _, id := range e.targetIDs() {
		t := e.targets[id]
		if !e.eligible(t) {
			continue
		}
		u := w.byTarget[id] / max(t.Capacity, 0.01)
		switch {
		case t.exceeds(w.byTarget[id] + weight):
			if u < leastExceeding {
				leastExceeding, exceeding = u, t
			}
		case u < least:
			least, best = u, t
		}
	}
	if best.Incarnation == (target.Incarnation{}) {
		best = exceeding
	}
	return best.Incarnation
}
