package ownership

// A target is proven once it has answered a grant of this coordinator. Until then it may not exist
// at all, whatever its registration says, and keys that move to it are served by nobody.

// proven reports whether a target has answered a grant.
func (e *Engine) proven(t Target) bool { return e.answered[t.Incarnation] }

// limitUnproven bounds the capacity of targets that are not proven by the largest capacity of those
// that are, so that a registration cannot claim most keys.
func (e *Engine) limitUnproven() {
	largest := 0.0
	for _, t := range e.targets {
		if e.proven(t) && e.eligible(t) {
			largest = max(largest, e.capacities[t.Incarnation.ID])
		}
	}
	for id, t := range e.targets {
		t.Capacity = e.capacities[id]
		if !e.proven(t) && largest > 0 {
			t.Capacity = min(t.Capacity, largest)
		}
		e.targets[id] = t
	}
}

// awaitsProof reports whether a target is not proven and keys are on their way to it already. It gets
// no more until it has answered.
func (e *Engine) awaitsProof(t Target) bool {
	if e.proven(t) {
		return false
	}
	for _, h := range e.spans {
		if h.span.Incarnation() == t.Incarnation || h.phase != phaseGranted && h.nextOwner == t.Incarnation.ID {
			return true
		}
	}
	return false
}

// forgetAnswers forgets the targets that are not registered any more.
func (e *Engine) forgetAnswers() {
	for incarnation := range e.answered {
		if t, known := e.targets[incarnation.ID]; !known || t.Incarnation != incarnation {
			delete(e.answered, incarnation)
		}
	}
}
