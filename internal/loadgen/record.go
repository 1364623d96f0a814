package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms. A class keeps 3 digits, a second of
// the curve 2, so that an hour of seconds takes below 100 MB.
const (
	lowest       = int64(1)                                 // µs
	highest      = int64(2 * MaxTimeout / time.Microsecond) // µs
	classDigits  = 3
	secondDigits = 2
)

// recorder counts the ends of requests. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	classes map[string]*classRecord
	seconds []*secondRecord
	late    time.Duration // longest delay of sending
}

type classRecord struct {
	kind     *kind
	arrivals uint64
	notSent  uint64
	answered *hdrhistogram.Histogram
	all      *hdrhistogram.Histogram
	good     uint64
	refused  map[Refusal]uint64
	failed   map[string]uint64
}

type secondRecord struct {
	arrivals, good, notSent uint64
	latency                 *hdrhistogram.Histogram // nil until the first answer
}

func newRecorder(kinds []*kind, d time.Duration) *recorder {
	r := &recorder{classes: make(map[string]*classRecord)}
	for _, k := range kinds {
		r.classes[k.id] = &classRecord{
			kind:     k,
			answered: hdrhistogram.New(lowest, highest, classDigits),
			all:      hdrhistogram.New(lowest, highest, classDigits),
			refused:  make(map[Refusal]uint64),
			failed:   make(map[string]uint64),
		}
	}
	for range (d + time.Second - 1) / time.Second {
		r.seconds = append(r.seconds, &secondRecord{})
	}
	return r
}

// of returns the records of an arrival and counts it. The caller holds the
// mutex.
func (r *recorder) of(a arrival) (*classRecord, *secondRecord) {
	c, s := r.classes[a.kind.id], r.seconds[a.at/time.Second]
	c.arrivals++
	s.arrivals++
	return c, s
}

func (r *recorder) notSent(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, s := r.of(a)
	c.notSent++
	s.notSent++
}

func (r *recorder) ended(a arrival, e ending) {
	us := min(max(e.latency.Microseconds(), lowest), highest)
	r.mu.Lock()
	defer r.mu.Unlock()
	c, s := r.of(a)
	r.late = max(r.late, e.delay)
	_ = c.all.RecordValue(us) // us is within the range
	switch {
	case e.failure != "":
		c.failed[e.failure]++
		return
	case !e.answered():
		c.refused[e.refusal]++
		return
	}
	_ = c.answered.RecordValue(us)
	if s.latency == nil {
		s.latency = hdrhistogram.New(lowest, highest, secondDigits)
	}
	_ = s.latency.RecordValue(us)
	if e.latency <= time.Duration(c.kind.class.Objective.LatencyMs)*time.Millisecond {
		c.good++
		s.good++
	}
}

// result returns the totals of a run that took the given time.
func (r *recorder) result(c Config, took time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{
		Config: c, TookMs: took.Milliseconds(), Interrupted: took < c.Duration,
		SendDelayMaxMs: ms(r.late.Microseconds()),
	}
	for id, record := range r.classes {
		out.Classes = append(out.Classes, record.result(id, min(c.Duration, took)))
	}
	slices.SortFunc(out.Classes, func(a, b ClassResult) int { return cmp.Compare(a.Class, b.Class) })
	ran := min(len(r.seconds), int((took+time.Second-1)/time.Second))
	for i, s := range r.seconds[:ran] {
		out.Seconds = append(out.Seconds, s.result(i))
	}
	return out
}

func (c *classRecord) result(id string, span time.Duration) ClassResult {
	answered := uint64(c.answered.TotalCount())
	out := ClassResult{
		Class: id, Arrivals: c.arrivals, NotSent: c.notSent, Sent: c.arrivals - c.notSent,
		Answered: answered, Good: c.good, ObjectiveMs: c.kind.class.Objective.LatencyMs,
		Latency: latencyOf(c.answered), LatencyAll: latencyOf(c.all),
	}
	if span > 0 {
		out.Throughput = float64(answered) / span.Seconds()
		out.Goodput = float64(c.good) / span.Seconds()
	}
	for refusal, n := range c.refused {
		out.Refused = append(out.Refused, RefusalCount{Refusal: refusal, Count: n})
	}
	slices.SortFunc(out.Refused, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	for name, n := range c.failed {
		out.Failed = append(out.Failed, FailureCount{Failure: name, Count: n})
	}
	slices.SortFunc(out.Failed, func(a, b FailureCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Failure, b.Failure))
	})
	return out
}

func (s *secondRecord) result(i int) Second {
	out := Second{At: i, Arrivals: s.arrivals, Good: s.good, NotSent: s.notSent}
	if s.latency != nil {
		out.P99Ms = ms(s.latency.ValueAtQuantile(99))
	}
	return out
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		P50Ms: ms(h.ValueAtQuantile(50)), P90Ms: ms(h.ValueAtQuantile(90)), P99Ms: ms(h.ValueAtQuantile(99)),
		P999Ms: ms(h.ValueAtQuantile(99.9)), MaxMs: ms(h.Max()),
	}
}

func ms(us int64) float64 { return float64(us) / 1000 }
