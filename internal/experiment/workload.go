package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	callers = 50
	// zipfExponent of the popularity of keys; each caller uses the keys of its
	// rank.
	zipfExponent = 1.1
	keys         = 10_000
	// heavyCaller sends the requests of Scenario.HeavyCaller.
	heavyCaller = "heavy"
)

// request is one request of a caller through all its attempts.
type request struct {
	id       uint64
	class    int
	caller   string
	arrived  time.Duration
	deadline time.Duration
	work     time.Duration
	// attempts counts how often the request was offered.
	attempts int
	// attempt is the id of the present attempt.
	attempt uint64
	// queued and running describe the present attempt.
	queued, running bool
	ended           bool
	queuedAt        time.Duration
	waited          time.Duration
	ran             time.Duration
}

// workload draws the requests of a run. Its draws do not depend on the policy.
type workload struct {
	c    Config
	rng  *rand.Rand
	zipf *rand.Zipf
	next uint64
	at   time.Duration
	rate float64
}

func newWorkload(c Config) *workload {
	rng := rand.New(rand.NewPCG(c.Seed, 0x6a61636b))
	return &workload{
		c: c, rng: rng, rate: c.Deployment.Capacity(),
		zipf: rand.NewZipf(rng, zipfExponent, 1, keys-1),
	}
}

// draw returns the next request, or nil after the end of the run. Arrivals are a
// Poisson process whose rate follows the phases; it is drawn by thinning.
func (w *workload) draw() *request {
	peak := w.c.Scenario.peak()
	for {
		gap := w.rng.ExpFloat64() / (peak * w.rate)
		w.at += time.Duration(gap * float64(time.Second))
		if w.at >= w.c.Scenario.Duration {
			return nil
		}
		if w.rng.Float64()*peak < w.c.Scenario.loadAt(w.at) {
			return w.request()
		}
	}
}

func (s Scenario) peak() float64 {
	peak := s.Load
	for _, p := range s.Phases {
		peak = max(peak, p.Load)
	}
	return peak
}

func (s Scenario) loadAt(t time.Duration) float64 {
	for _, p := range s.Phases {
		if p.Load > 0 && p.contains(t) {
			return p.Load
		}
	}
	return s.Load
}

func (w *workload) request() *request {
	w.next++
	i := w.class()
	c := w.c.Deployment.Classes[i]
	return &request{
		id: w.next, class: i, caller: w.caller(), arrived: w.at,
		deadline: w.at + c.Deadline, work: w.work(c),
	}
}

func (w *workload) class() int {
	classes := w.c.Deployment.Classes
	var total float64
	for _, c := range classes {
		total += c.Share
	}
	x := w.rng.Float64() * total
	for i, c := range classes {
		if x -= c.Share; x < 0 {
			return i
		}
	}
	return len(classes) - 1
}

func (w *workload) caller() string {
	key := w.zipf.Uint64()
	if w.rng.Float64() < w.c.Scenario.HeavyCaller {
		return heavyCaller
	}
	return fmt.Sprintf("caller-%d", key%callers)
}

// work draws a log-normal service time with the class's mean.
func (w *workload) work(c Class) time.Duration {
	x := math.Exp(w.rng.NormFloat64()*c.Sigma - c.Sigma*c.Sigma/2)
	if w.rng.Float64() < c.HiddenShare {
		x *= c.HiddenFactor
	}
	return time.Duration(x * float64(c.Mean))
}

// slowed returns the run time of a request started now beside the others that
// run.
func (s Scenario) slowed(work time.Duration, now time.Duration, running int) time.Duration {
	factor := 1.0
	for _, p := range s.Phases {
		if !p.contains(now) {
			continue
		}
		if p.Slowdown > 0 {
			factor *= p.Slowdown
		}
		if p.Contention > 0 {
			factor *= math.Pow(float64(running), p.Contention)
		}
	}
	return time.Duration(float64(work) * factor)
}
