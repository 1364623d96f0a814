package ownership

import "time"

// limitedSigma is overloadSigma for targets with a maximum rate. Such a target may fail above
// it, so its load is moved away earlier.
const limitedSigma = 1

// limitedRoomShare is the part of its room that an empty target with a maximum rate gets in one
// move. Such a target is empty after it has started, and its room is small.
const limitedRoomShare = 0.8

// maxWeight returns the weight that corresponds to the target's maximum rate, with the weight that
// is distributed evenly.
func (t Target) maxWeight() float64 {
	return t.MaxRate * float64(loadWindow) / float64(time.Second) * (1 + uniformShare)
}

// exceeds reports whether the weight is above the target's maximum rate.
func (t Target) exceeds(weight float64) bool { return t.MaxRate > 0 && weight > t.maxWeight() }

// limitCapacities lowers the capacities of targets with a maximum rate so that their fair shares
// of the present load do not exceed it. The other targets take the rest. If all targets have a
// maximum rate, the load is shared in proportion to these rates.
func (e *Engine) limitCapacities() {
	limited := false
	others := 0.0
	rest := e.load.total()*(1+uniformShare) + 1
	for _, t := range e.targets {
		if t.MaxRate > 0 {
			limited = true
		}
		if !e.eligible(t) {
			continue
		}
		if t.MaxRate > 0 {
			rest -= t.maxWeight()
		} else {
			others += t.Capacity
		}
	}
	if !limited {
		return
	}
	for id, t := range e.targets {
		switch {
		case t.MaxRate <= 0:
			continue
		case others == 0:
			t.Capacity = t.MaxRate
		case rest > 0:
			t.Capacity = min(e.capacities[id], t.maxWeight()*others/rest)
		default:
			t.Capacity = e.capacities[id]
		}
		e.targets[id] = t
	}
}
