package admission

import "time"

// item is one queued or running request.
type item struct {
	id uint64
	// class is -1 for a running request whose class no longer exists.
	class    int
	caller   string
	arrived  time.Time
	deadline time.Time
	running  bool
	// flow is nil for a request that is in the late list or running.
	flow  *flow
	place link[item]
}

// flow holds the queued requests of one caller in one class, oldest first.
type flow struct {
	caller string
	items  list[item]
	place  link[flow]
}

// classQueue holds the queued requests of one class. Callers are served in
// turn. A flow exists only while its caller has a queued request, so the number
// of flows is bounded by the queue.
type classQueue struct {
	flows map[string]*flow
	order list[flow]
	// late holds the requests that missed their objective, oldest first.
	late   list[item]
	queued int
	spare  []*flow
}

func newClassQueue() classQueue { return classQueue{flows: map[string]*flow{}} }

func (q *classQueue) push(it *item) {
	f := q.flows[it.caller]
	if f == nil {
		f = q.newFlow(it.caller)
		q.flows[it.caller] = f
		q.order.pushBack(&f.place)
	}
	it.flow = f
	f.items.pushBack(&it.place)
	q.queued++
}

func (q *classQueue) newFlow(caller string) *flow {
	if n := len(q.spare); n > 0 {
		f := q.spare[n-1]
		q.spare = q.spare[:n-1]
		f.caller = caller
		return f
	}
	f := &flow{caller: caller}
	f.place.value = f
	return f
}

// next returns the request whose turn it is, or nil.
func (q *classQueue) next() *item {
	f := q.order.front()
	if f == nil {
		return nil
	}
	return f.items.front()
}

// take removes the request whose turn it is and passes the turn on.
func (q *classQueue) take(it *item) {
	f := it.flow
	q.remove(it)
	if f != nil && f.items.len > 0 {
		q.order.remove(&f.place)
		q.order.pushBack(&f.place)
	}
}

func (q *classQueue) remove(it *item) {
	q.queued--
	if it.flow == nil {
		q.late.remove(&it.place)
		return
	}
	q.leaveFlow(it)
}

// setLate moves the request to the late list.
func (q *classQueue) setLate(it *item) {
	q.leaveFlow(it)
	q.late.pushBack(&it.place)
}

func (q *classQueue) leaveFlow(it *item) {
	f := it.flow
	f.items.remove(&it.place)
	it.flow = nil
	if f.items.len > 0 {
		return
	}
	q.order.remove(&f.place)
	delete(q.flows, f.caller)
	f.caller = ""
	q.spare = append(q.spare, f)
}

// ahead estimates how many requests of the class start before a new one of the
// caller, given that callers are served in turn.
func (q *classQueue) ahead(caller string) int {
	own := 0
	if f := q.flows[caller]; f != nil {
		own = f.items.len
	}
	return min(q.onTime(), (own+1)*q.order.len)
}

// onTime returns the number of queued requests that are not late.
func (q *classQueue) onTime() int { return q.queued - q.late.len }

// longest returns the flow with the most queued requests, or nil.
func (q *classQueue) longest() *flow {
	var most *flow
	for n := q.order.head; n != nil; n = n.next {
		if most == nil || n.value.items.len > most.items.len {
			most = n.value
		}
	}
	return most
}

// each calls do for every queued request; do may remove that request.
func (q *classQueue) each(do func(*item)) {
	for n := q.order.head; n != nil; {
		next := n.next
		eachItem(&n.value.items, do)
		n = next
	}
	eachItem(&q.late, do)
}

func eachItem(items *list[item], do func(*item)) {
	for n := items.head; n != nil; {
		next := n.next
		do(n.value)
		n = next
	}
}
