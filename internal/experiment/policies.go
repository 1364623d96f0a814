package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/retry"
)

const (
	// maxAttempts of the baseline with retries.
	maxAttempts = 3
	// tickInterval of the controller.
	tickInterval = 10 * time.Millisecond
)

// fifo is a queue in order of arrival without a bound. With timeout, each
// attempt is given up after a third of the request's deadline and sent again at
// once. A queued attempt is removed then; a running one runs on, and only an
// idempotent request is sent again while it does.
type fifo struct {
	sim     *sim
	timeout bool
	queue   []*waiter
}

// waiter is one attempt in the queue.
type waiter struct {
	r       *request
	attempt uint64
}

func (f *fifo) offer(r *request) {
	f.sim.queued(r)
	f.queue = append(f.queue, &waiter{r: r, attempt: r.attempt})
	if f.timeout {
		f.scheduleTimeout(r)
	}
	f.dispatch()
}

func (f *fifo) done(*request) { f.dispatch() }

func (f *fifo) dispatch() {
	for len(f.queue) > 0 && f.sim.running < f.sim.c.Deployment.Slots {
		w := f.queue[0]
		f.queue = f.queue[1:]
		if w.r.queued && w.r.attempt == w.attempt {
			f.sim.start(w.r)
		}
	}
}

func (f *fifo) scheduleTimeout(r *request) {
	attempt := r.attempt
	limit := f.sim.c.Deployment.Classes[r.class].Deadline / maxAttempts
	f.sim.after(limit, func() {
		if r.ended || r.attempt != attempt {
			return
		}
		f.timedOut(r)
	})
}

func (f *fifo) timedOut(r *request) {
	never := f.sim.c.Deployment.Classes[r.class].NeverRepeat
	if r.running && never {
		return
	}
	f.sim.unqueued(r)
	if r.attempts >= maxAttempts {
		if !r.running {
			f.sim.refused(r)
		}
		return
	}
	if r.running {
		f.duplicate(r)
		return
	}
	f.sim.offer(r)
}

// duplicate sends a request again whose attempt still runs. The copy occupies
// the queue and a slot like any request; the first response answers the caller.
func (f *fifo) duplicate(r *request) {
	r.attempts++
	c := *r
	c.running, c.queued, c.ended = false, false, true
	f.sim.attempts++
	c.attempt = f.sim.attempts
	f.sim.measure.offered(&c)
	f.sim.queued(&c)
	f.queue = append(f.queue, &waiter{r: &c, attempt: c.attempt})
}

// controlled is the admission controller with the retry policy.
type controlled struct {
	sim     *sim
	admit   *admission.Controller
	retry   *retry.Policy
	rng     *rand.Rand
	waiting map[uint64]*request
}

func newControlled(s *sim) *controlled {
	classes := make([]admission.Class, len(s.c.Deployment.Classes))
	for i, c := range s.c.Deployment.Classes {
		classes[i] = c.Class
	}
	admit, err := admission.New(admission.Config{
		Slots: s.c.Deployment.Slots, Classes: classes, Without: s.c.Without,
	})
	if err != nil {
		panic(err) // the deployments of this package are valid
	}
	c := &controlled{
		sim: s, admit: admit, retry: retry.New(retry.Config{}),
		rng:     rand.New(rand.NewPCG(s.c.Seed, 1)),
		waiting: map[uint64]*request{},
	}
	c.scheduleTick()
	return c
}

// clock maps virtual time to the time type of the pure packages.
func (c *controlled) clock(t time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(t) }

func (c *controlled) now() time.Time { return c.clock(c.sim.now) }

func (c *controlled) scheduleTick() {
	c.sim.after(tickInterval, func() {
		c.apply(c.admit.Tick(c.now()))
		c.scheduleTick()
	})
}

func (c *controlled) offer(r *request) {
	if r.attempts == 1 {
		c.retry.Request(c.now())
	}
	d := c.admit.Offer(admission.Request{
		ID: r.attempt, Class: r.class, Caller: r.caller, Deadline: c.clock(r.deadline),
	}, c.now())
	switch d.Verdict {
	case admission.Run:
		c.sim.start(r)
	case admission.Queued:
		c.waiting[r.attempt] = r
		c.sim.queued(r)
	default:
		c.refused(r)
	}
	c.apply(d.Changes)
}

func (c *controlled) done(r *request) {
	c.apply(c.admit.Done(r.attempt, admission.OK, r.ran, c.now()))
}

func (c *controlled) apply(ch admission.Changes) {
	for _, s := range ch.Starts {
		c.sim.start(c.take(s.ID))
	}
	for _, x := range ch.Removed {
		r := c.take(x.ID)
		c.sim.unqueued(r)
		c.refused(r)
	}
}

func (c *controlled) take(id uint64) *request {
	r := c.waiting[id]
	delete(c.waiting, id)
	return r
}

// refused lets the retry policy decide on a request that was not run.
func (c *controlled) refused(r *request) {
	d := c.retry.Decide(retry.Attempt{
		NeverRepeat: c.sim.c.Deployment.Classes[r.class].NeverRepeat,
		Number:      r.attempts, Outcome: retry.NotRun, Overload: true,
		Deadline: c.clock(r.deadline), BodyReplayable: true, Jitter: c.rng.Float64(),
	}, c.now())
	if !d.Retry {
		c.sim.refused(r)
		return
	}
	c.sim.after(d.After, func() { c.sim.offer(r) })
}
