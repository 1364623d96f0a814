package experiment

import (
	"container/heap"
	"time"
)

// event is something that happens at a time. Events at the same time happen in
// the order in which they were scheduled.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// policy decides on the requests of a run. It calls sim.start, sim.refused and
// sim.after.
type policy interface {
	offer(r *request)
	done(r *request)
}

// sim is one run.
type sim struct {
	c        Config
	now      time.Duration
	pending  events
	order    uint64
	workload *workload
	policy   policy
	measure  *measure
	running  int
	attempts uint64
}

func newSim(c Config) *sim {
	s := &sim{c: c, workload: newWorkload(c), measure: newMeasure(c)}
	s.policy = newPolicy(s)
	return s
}

func newPolicy(s *sim) policy {
	switch s.c.Policy {
	case FIFO:
		return &fifo{sim: s}
	case FIFOTimeout:
		return &fifo{sim: s, timeout: true}
	default:
		return newControlled(s)
	}
}

// run handles the events until the end and drops what is then unfinished.
func (s *sim) run() {
	s.scheduleArrival()
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(event)
		if e.at > s.c.Scenario.Duration {
			break
		}
		s.advance(e.at)
		e.do()
	}
}

func (s *sim) advance(to time.Duration) {
	s.measure.integrate(to - s.now)
	s.now = to
}

// after schedules do for a time from now.
func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.pending, event{at: s.now + d, order: s.order, do: do})
}

func (s *sim) scheduleArrival() {
	r := s.workload.draw()
	if r == nil {
		return
	}
	s.after(r.arrived-s.now, func() {
		s.scheduleArrival()
		s.measure.arrived(r)
		s.offer(r)
	})
}

// offer gives a new attempt of the request to the policy.
func (s *sim) offer(r *request) {
	s.attempts++
	r.attempts++
	r.attempt = s.attempts
	s.measure.offered(r)
	s.policy.offer(r)
}

// queued records that the present attempt waits.
func (s *sim) queued(r *request) {
	r.queued, r.queuedAt = true, s.now
	s.measure.waiting(r, 1)
}

// unqueued records that the present attempt no longer waits.
func (s *sim) unqueued(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	r.waited += s.now - r.queuedAt
	s.measure.waiting(r, -1)
}

// start runs the present attempt of the request.
func (s *sim) start(r *request) {
	s.unqueued(r)
	s.running++
	r.running = true
	s.measure.started(r)
	r.ran = s.c.Scenario.slowed(r.work, s.now, s.running)
	s.after(r.ran, func() { s.finish(r) })
}

func (s *sim) finish(r *request) {
	s.running--
	r.running = false
	s.measure.finished(r)
	if !r.ended {
		r.ended = true
		s.measure.answered(r, s.now)
	}
	s.policy.done(r)
}

// refused records that the request ended without an answer.
func (s *sim) refused(r *request) { r.ended = true }
