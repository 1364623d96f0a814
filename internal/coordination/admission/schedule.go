package admission

import "time"

// dispatch starts requests until no slot is free or none is startable.
func (t *Controller) dispatch(now time.Time, ch *Changes) {
	for !t.held && t.queued > 0 && t.running < t.limit.whole() {
		it := t.choose(now)
		if it == nil {
			return
		}
		if !t.inTime(it, now) {
			t.expire(it, ch)
			continue
		}
		t.start(it, now, ch)
	}
}

func (t *Controller) start(it *item, now time.Time, ch *Changes) {
	class := &t.classes[it.class]
	class.take(it)
	t.queued--
	it.running = true
	class.running++
	t.running++
	t.counts.Started++
	ch.Starts = append(ch.Starts, Start{ID: it.id, Class: it.class, Waited: now.Sub(it.arrived)})
}

// choose returns the startable request that goes first, or nil. Requests that
// can still meet their objective go before those that cannot: at overload the
// queue would otherwise consist of requests that are all served too late. This
// holds across classes: late requests of a harmful class that went first would
// make the others late too.
func (t *Controller) choose(now time.Time) *item {
	var best *item
	var first precedence
	for i := range t.classes {
		class := &t.classes[i]
		if class.queued == 0 || !t.mayStart(class, now) {
			continue
		}
		it := t.nextOnTime(class, now)
		if it == nil {
			continue
		}
		if p := t.precedence(class, it, now); best == nil || p.before(first) {
			best, first = it, p
		}
	}
	if best == nil {
		best = t.chooseLate(now)
	}
	return best
}

// chooseLate returns the startable late request of the most harmful class.
func (t *Controller) chooseLate(now time.Time) *item {
	var best *item
	for i := range t.classes {
		class := &t.classes[i]
		if class.late.len == 0 || !t.mayStart(class, now) {
			continue
		}
		if best == nil || class.Harm > t.classes[best.class].Harm {
			best = class.late.front()
		}
	}
	return best
}

// nextOnTime returns the class's next request that can meet its objective and
// moves those before it that cannot to the late list.
func (t *Controller) nextOnTime(class *classState, now time.Time) *item {
	for {
		it := class.next()
		if it == nil || !t.has(PartLate) || !class.isLate(it, now) {
			return it
		}
		class.setLate(it)
	}
}

func (c *classState) isLate(it *item, now time.Time) bool {
	return c.Objective > 0 && now.Add(c.typical()).After(it.arrived.Add(c.Objective))
}

// precedence orders the requests that can meet their objective.
type precedence struct {
	urgent bool
	harm   int
	rank   time.Time
}

func (p precedence) before(q precedence) bool {
	if (p.urgent || q.urgent) && p.harm != q.harm {
		if p.harm > q.harm {
			return p.urgent
		}
		return !q.urgent
	}
	return p.rank.Before(q.rank)
}

// precedence ranks a request by its arrival plus agingRatio times its expected
// cost: short requests go first, but overtake a longer one for a bounded time
// only. A request that has used up a part of its objective is urgent and goes
// before all less harmful ones, so that at overload those are shed.
func (t *Controller) precedence(class *classState, it *item, now time.Time) precedence {
	p := precedence{harm: class.Harm, rank: it.arrived}
	if t.has(PartOrder) {
		p.rank = p.rank.Add(time.Duration(class.mean * agingRatio))
	}
	if t.has(PartHarm) {
		p.urgent = now.Sub(it.arrived) >= class.Objective/urgentPart
	}
	return p
}

// mayStart keeps one slot free of stragglers while shorter requests wait or are
// expected. With a limit of one slot, stragglers only give way to waiting ones
// through the order.
func (t *Controller) mayStart(class *classState, now time.Time) bool {
	if !t.has(PartReserve) || !t.straggler(class) {
		return true
	}
	most := t.limit.whole() - 1
	if most < 1 || t.stragglersRunning() < most {
		return true
	}
	return !t.shorterExpected(now)
}

func (t *Controller) straggler(class *classState) bool {
	return class.mean > stragglerRatio*t.overall.median
}

func (t *Controller) stragglersRunning() int {
	n := 0
	for i := range t.classes {
		if t.straggler(&t.classes[i]) {
			n += t.classes[i].running
		}
	}
	return n
}

func (t *Controller) shorterExpected(now time.Time) bool {
	for i := range t.classes {
		class := &t.classes[i]
		if t.straggler(class) {
			continue
		}
		if class.queued > 0 || t.arrivedLately(class, now) {
			return true
		}
	}
	return false
}

func (t *Controller) arrivedLately(class *classState, now time.Time) bool {
	return !class.lastArrival.IsZero() && now.Sub(class.lastArrival) < expectedWindow
}

// inTime reports whether a typical request of the class started now completes
// before the deadline. An idle target tries regardless of the estimate.
func (t *Controller) inTime(it *item, now time.Time) bool {
	if !now.Before(it.deadline) {
		return false
	}
	class := &t.classes[it.class]
	if t.running == 0 || !t.has(PartEarly) || !now.Add(class.typical()).After(it.deadline) {
		return true
	}
	return class.probe()
}

// canComplete is inTime for a request that has yet to wait for those ahead.
func (t *Controller) canComplete(class *classState, r Request, now time.Time) bool {
	if !now.Before(r.Deadline) {
		return false
	}
	if t.held || t.running == 0 || !t.has(PartEarly) {
		return true
	}
	ready := now.Add(t.expectedWait(class, r.Caller)).Add(class.typical())
	if !ready.After(r.Deadline) {
		class.doubted = 0
		return true
	}
	return class.probe()
}

func (c *classState) probe() bool {
	c.doubted++
	if c.doubted < probeEvery {
		return false
	}
	c.doubted = 0
	return true
}

// expectedWait estimates the time until a new request of the caller starts.
func (t *Controller) expectedWait(class *classState, caller string) time.Duration {
	if t.queued == 0 {
		return 0
	}
	work := float64(class.ahead(caller)) * class.mean
	for i := range t.classes {
		other := &t.classes[i]
		if other != class && other.mean <= class.mean {
			work += float64(other.onTime()) * other.mean
		}
	}
	return time.Duration(work / t.limit.value)
}

// makeRoom sheds the least harmful queued request in favour of the new one, or
// returns the reason why the new one is to be refused. Among equals it sheds a
// late request, and otherwise the newest one of the caller that has the most.
func (t *Controller) makeRoom(class *classState, r Request, ch *Changes) Reason {
	victim := t.leastHarmful()
	if victim.Harm > class.Harm {
		return ReasonQueueFull
	}
	if late := victim.late.front(); late != nil {
		t.shed(late, ch)
		return ""
	}
	most := victim.longest()
	if victim.Harm == class.Harm && most.items.len <= t.share(class, r.Caller)+1 {
		return t.fullReason(class, r.Caller)
	}
	t.shed(most.items.back(), ch)
	return ""
}

func (t *Controller) shed(it *item, ch *Changes) {
	t.counts.Shed++
	t.drop(it, ReasonShed, ch)
}

func (t *Controller) leastHarmful() *classState {
	var least *classState
	for i := range t.classes {
		class := &t.classes[i]
		if class.queued > 0 && (least == nil || class.Harm < least.Harm) {
			least = class
		}
	}
	return least
}

func (t *Controller) share(class *classState, caller string) int {
	if f := class.flows[caller]; f != nil {
		return f.items.len
	}
	return 0
}

// fullReason blames the caller only if it waits with more than an equal share.
func (t *Controller) fullReason(class *classState, caller string) Reason {
	if class.order.len > 1 && t.share(class, caller)*class.order.len > class.queued {
		return ReasonFairShare
	}
	return ReasonQueueFull
}
