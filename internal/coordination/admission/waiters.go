package admission

import "slices"

// Waiter is a request that is held until its target has room.
type Waiter struct{ priority int }

// Waiters are the requests that one daemon holds for one target, the most urgent first and
// within a priority in the order of their arrival. The zero value is ready for use. It is not
// safe for concurrent use.
type Waiters struct{ list []*Waiter }

// Join adds a request. It returns nil if as many requests are held as may be at the target:
// further ones would not be served while they may be held.
func (w *Waiters) Join(priority, slots int) *Waiter {
	if len(w.list) >= queueFactor*max(slots, 1) {
		return nil
	}
	joined := &Waiter{priority: priority}
	w.list = slices.Insert(w.list, w.Ahead(nil, priority), joined)
	return joined
}

// Leave removes a request.
func (w *Waiters) Leave(waiter *Waiter) {
	if i := slices.Index(w.list, waiter); i >= 0 {
		w.list = slices.Delete(w.list, i, i+1)
	}
}

// Ahead returns the number of held requests that are sent before the waiter, or before a new
// request of the priority if waiter is nil.
func (w *Waiters) Ahead(waiter *Waiter, priority int) int {
	for i, other := range w.list {
		if other == waiter || waiter == nil && other.priority > priority {
			return i
		}
	}
	return len(w.list)
}
