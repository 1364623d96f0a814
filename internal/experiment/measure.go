package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured after its warm-up. Ratios are of the
// requests that arrived, unless said otherwise.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     Policy `json:"policy"`
	Seed       uint64 `json:"seed"`
	Requests   int    `json:"requests"`
	// Goodput is the answers within the deadline as a ratio of the capacity.
	Goodput float64 `json:"goodput"`
	// Objective is the answers within the objective as a ratio of the capacity.
	Objective float64 `json:"objective"`
	// Window is the ratio of the requests arriving in the scenario's window that
	// were answered within their objective.
	Window float64 `json:"window"`
	// NeverRepeat is the ratio of never-repeat requests answered in time.
	NeverRepeat float64 `json:"never_repeat"`
	// Light is the ratio answered in time of requests not sent by the heavy
	// caller.
	Light float64 `json:"light"`
	// LongGood is the ratio of requests of long classes answered in time.
	LongGood float64 `json:"long_good"`
	// P50Ms, P99Ms and P999Ms are percentiles of the time until the answer to
	// short requests, in ms, whether in time or not.
	P50Ms  float64 `json:"p50_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	// BlockedMs is the mean time in ms that an answered short request waited,
	// weighted with the share of the slots held by long ones.
	BlockedMs float64 `json:"blocked_ms"`
	// Attempts is the number of attempts per request.
	Attempts float64 `json:"attempts"`
	// Wasted is the ratio of runs that ended after the caller had given up.
	Wasted float64 `json:"wasted"`
}

const (
	histogramLowest  = 1
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// tail is the last part of a run, whose requests are not counted since they may
// end after the run. It is the longest deadline of the workloads.
const tail = 3 * time.Second

// ratio counts how many of all were good.
type ratio struct{ good, all int }

func (r ratio) value() float64 {
	if r.all == 0 {
		return 0
	}
	return float64(r.good) / float64(r.all)
}

// measure collects the figures of a run.
type measure struct {
	c         Config
	deadline  ratio
	objective ratio
	window    ratio
	never     ratio
	light     ratio
	long      ratio
	wasted    ratio
	attempts  int
	short     *hdrhistogram.Histogram

	// Present state for the blocking integral.
	shortWaiting, longRunning int
	blocked                   time.Duration
	now                       time.Duration
}

func newMeasure(c Config) *measure {
	return &measure{c: c, short: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

func (m *measure) class(r *request) Class { return m.c.Deployment.Classes[r.class] }

// counted reports whether the request arrived in the measured part of the run.
func (m *measure) counted(r *request) bool {
	return r.arrived >= m.c.Scenario.Warmup && r.arrived < m.c.Scenario.Duration-tail
}

func (m *measure) measured() time.Duration {
	return m.c.Scenario.Duration - tail - m.c.Scenario.Warmup
}

func (m *measure) integrate(d time.Duration) {
	m.now += d
	if m.shortWaiting == 0 || m.longRunning == 0 || m.now < m.c.Scenario.Warmup {
		return
	}
	share := float64(m.longRunning) / float64(m.c.Deployment.Slots)
	m.blocked += time.Duration(float64(d) * float64(m.shortWaiting) * share)
}

// arrived counts the request as not answered; answered corrects that.
func (m *measure) arrived(r *request) {
	if !m.counted(r) {
		return
	}
	m.inTime(r, func(x *ratio) { x.all++ })
	m.inObjective(r, func(x *ratio) { x.all++ })
}

// inTime calls do for the ratios of answers within the deadline.
func (m *measure) inTime(r *request, do func(*ratio)) {
	do(&m.deadline)
	c := m.class(r)
	if c.NeverRepeat {
		do(&m.never)
	}
	if c.Long {
		do(&m.long)
	}
	if r.caller != heavyCaller {
		do(&m.light)
	}
}

// inObjective calls do for the ratios of answers within the objective.
func (m *measure) inObjective(r *request, do func(*ratio)) {
	do(&m.objective)
	if m.inWindow(r) {
		do(&m.window)
	}
}

func (m *measure) inWindow(r *request) bool {
	s := m.c.Scenario
	if s.WindowTo == 0 {
		return true
	}
	return r.arrived >= s.WindowFrom && r.arrived < s.WindowTo
}

func (m *measure) offered(r *request) {
	if m.counted(r) {
		m.attempts++
	}
}

func (m *measure) waiting(r *request, n int) {
	if !m.class(r).Long {
		m.shortWaiting += n
	}
}

func (m *measure) started(r *request) { m.running(r, 1) }

func (m *measure) finished(r *request) {
	m.running(r, -1)
	if m.counted(r) {
		m.wasted.all++
		if r.ended || m.now > r.deadline {
			m.wasted.good++
		}
	}
}

func (m *measure) running(r *request, n int) {
	if m.class(r).Long {
		m.longRunning += n
	}
}

func (m *measure) answered(r *request, now time.Duration) {
	if !m.counted(r) {
		return
	}
	c := m.class(r)
	took := now - r.arrived
	if !c.Long {
		_ = m.short.RecordValue(min(took.Microseconds(), histogramHighest))
	}
	good := func(x *ratio) { x.good++ }
	if now <= r.deadline {
		m.inTime(r, good)
	}
	if took <= c.Objective {
		m.inObjective(r, good)
	}
}

func (m *measure) result(c Config) Result {
	capacity := c.Deployment.Capacity() * m.measured().Seconds()
	ms := func(quantile float64) float64 {
		return float64(m.short.ValueAtQuantile(quantile)) / 1000
	}
	return Result{
		Deployment: c.Deployment.Name, Scenario: c.Scenario.Name, Policy: c.Policy, Seed: c.Seed,
		Requests: m.deadline.all,
		Goodput:  float64(m.deadline.good) / capacity, Objective: float64(m.objective.good) / capacity,
		Window: m.window.value(), NeverRepeat: m.never.value(), Light: m.light.value(), LongGood: m.long.value(),
		P50Ms: ms(50), P99Ms: ms(99), P999Ms: ms(99.9),
		BlockedMs: perShort(m.blocked, m.short.TotalCount()),
		Attempts:  float64(m.attempts) / float64(max(m.deadline.all, 1)), Wasted: m.wasted.value(),
	}
}

func perShort(blocked time.Duration, answered int64) float64 {
	return blocked.Seconds() * 1000 / float64(max(answered, 1))
}
