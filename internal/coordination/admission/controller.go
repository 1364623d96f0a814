package admission

import "time"

const (
	// agingRatio bounds overtaking: a request is overtaken by a shorter one only
	// if that arrives within agingRatio times the difference of their costs.
	agingRatio = 10
	// urgentPart: a request is urgent after this part of its objective.
	urgentPart = 4
	// probeEvery lets one in so many requests pass that the estimate alone would
	// refuse, since a class that never runs never corrects its estimate.
	probeEvery = 16
	// expectedWindow: requests of a class count as expected for this long after
	// its last arrival.
	expectedWindow = 500 * time.Millisecond
)

// classState is the state of one class.
type classState struct {
	Class
	classQueue
	cost
	running     int
	lastArrival time.Time
	// doubted counts consecutive requests that the estimate alone would refuse.
	doubted int
}

// Controller is the limiter and queue of one target.
type Controller struct {
	slots   int
	bound   int
	classes []classState
	overall cost
	limit   limit
	items   map[uint64]*item
	spare   []*item
	running int
	queued  int
	held    bool
	without Part
	counts  Counts
}

// New returns a Controller for a cold target: one slot until it succeeds.
func New(c Config) (*Controller, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	t := &Controller{
		slots:   c.Slots,
		bound:   c.queueBound(),
		classes: make([]classState, len(c.Classes)),
		limit:   newLimit(c.Slots),
		items:   map[uint64]*item{},
		without: c.Without,
	}
	t.limit.ignoreSlowdown = !t.has(PartGradient)
	for i, class := range c.Classes {
		t.classes[i] = class.state()
	}
	return t, nil
}

// Offer admits, queues or refuses a request.
func (t *Controller) Offer(r Request, now time.Time) Decision {
	t.counts.Offered++
	if r.Class < 0 || r.Class >= len(t.classes) || t.items[r.ID] != nil {
		return t.refuse(ReasonInvalid)
	}
	class := &t.classes[r.Class]
	class.lastArrival = now
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(class.Deadline)
	}
	if !t.canComplete(class, r, now) {
		return t.refuse(ReasonDeadline)
	}
	var d Decision
	if t.queued >= t.bound {
		reason := t.makeRoom(class, r, &d.Changes)
		if reason != "" {
			return t.refuse(reason)
		}
	}
	it := t.enqueue(r, now)
	t.dispatch(now, &d.Changes)
	d.Verdict = Queued
	if it.running {
		d.Verdict = Run
		d.dropStart(r.ID)
	}
	return d
}

// Done reports the end of a started request, which frees its slot.
func (t *Controller) Done(id uint64, result Result, ran time.Duration, now time.Time) Changes {
	var ch Changes
	it := t.items[id]
	if it == nil || !it.running {
		return ch
	}
	t.running--
	t.counts.Done[result]++
	if it.class >= 0 {
		class := &t.classes[it.class]
		class.running--
		t.learn(class, result, ran, now)
	}
	t.release(it)
	t.dispatch(now, &ch)
	return ch
}

// Cancel removes a queued request and reports whether it was queued. A running
// request keeps its slot until Done.
func (t *Controller) Cancel(id uint64, now time.Time) (queued bool, ch Changes) {
	it := t.items[id]
	if it != nil && !it.running {
		t.dequeue(it)
		t.release(it)
		t.counts.Cancelled++
		queued = true
	}
	t.dispatch(now, &ch)
	return queued, ch
}

// Tick removes requests that have passed their deadline and starts what has
// become startable. It should be called a few times per shortest deadline.
func (t *Controller) Tick(now time.Time) Changes {
	var ch Changes
	for i := range t.classes {
		class := &t.classes[i]
		class.each(func(it *item) {
			if !now.Before(it.deadline) {
				t.expire(it, &ch)
			}
		})
	}
	t.dispatch(now, &ch)
	return ch
}

// Hold stops starting requests until Resume; requests are still queued.
func (t *Controller) Hold() { t.held = true }

// Resume ends Hold.
func (t *Controller) Resume(now time.Time) Changes {
	var ch Changes
	t.held = false
	t.dispatch(now, &ch)
	return ch
}

// Abort removes all queued requests for the reason. Running ones keep their
// slots.
func (t *Controller) Abort(reason Reason) []Removed {
	var ch Changes
	for i := range t.classes {
		t.abort(&t.classes[i], reason, &ch)
	}
	return ch.Removed
}

func (t *Controller) abort(class *classState, reason Reason, ch *Changes) {
	class.each(func(it *item) {
		t.counts.Aborted++
		t.drop(it, reason, ch)
	})
}

// SetSlots changes the number of slots. Running requests above a lower number
// finish; none is started until they have.
func (t *Controller) SetSlots(slots int, now time.Time) Changes {
	var ch Changes
	t.bound = t.bound / t.slots * slots
	t.slots = slots
	t.limit.setSlots(slots)
	t.dispatch(now, &ch)
	return ch
}

// Cold tells that the target has restarted: the limit starts at one slot again.
func (t *Controller) Cold() {
	ignore := t.limit.ignoreSlowdown
	t.limit = newLimit(t.slots)
	t.limit.ignoreSlowdown = ignore
}

func (t *Controller) has(p Part) bool { return t.without&p == 0 }

func (t *Controller) refuse(reason Reason) Decision {
	t.counts.refused(reason)
	return Decision{Verdict: Refused, Reason: reason}
}

func (t *Controller) enqueue(r Request, now time.Time) *item {
	it := t.newItem()
	it.id, it.class, it.caller = r.ID, r.Class, r.Caller
	if !t.has(PartTurns) {
		it.caller = ""
	}
	it.arrived, it.deadline = now, r.Deadline
	it.running = false
	t.items[r.ID] = it
	t.classes[r.Class].push(it)
	t.queued++
	return it
}

func (t *Controller) newItem() *item {
	if n := len(t.spare); n > 0 {
		it := t.spare[n-1]
		t.spare = t.spare[:n-1]
		return it
	}
	it := &item{}
	it.place.value = it
	return it
}

func (t *Controller) dequeue(it *item) {
	t.classes[it.class].remove(it)
	t.queued--
}

func (t *Controller) release(it *item) {
	delete(t.items, it.id)
	it.caller = ""
	t.spare = append(t.spare, it)
}

func (t *Controller) drop(it *item, reason Reason, ch *Changes) {
	ch.Removed = append(ch.Removed, Removed{ID: it.id, Class: it.class, Reason: reason})
	t.dequeue(it)
	t.release(it)
}

func (t *Controller) expire(it *item, ch *Changes) {
	t.counts.Expired++
	t.drop(it, ReasonDeadline, ch)
}

func (t *Controller) learn(class *classState, result Result, ran time.Duration, now time.Time) {
	switch result {
	case OK:
		class.observe(ran)
		t.overall.observe(ran)
		t.limit.success(ran, class.unslowed(now), t.running+1, now)
	case Shed:
		t.limit.halve(ran, now)
	case Silent:
		class.observeAtLeast(ran)
		t.limit.halve(ran, now)
	case Cancelled:
		class.observeAtLeast(ran)
	}
}

func (d *Decision) dropStart(id uint64) {
	for i, s := range d.Starts {
		if s.ID == id {
			d.Starts = append(d.Starts[:i], d.Starts[i+1:]...)
			return
		}
	}
}
