package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms. Those of classes keep 3 significant
// digits. Those of single seconds keep 2, so that an hour of them takes less than 100 MB.
const (
	minLatencyUs = int64(1)                                 // µs
	maxLatencyUs = int64(2 * MaxTimeout / time.Microsecond) // µs
	classDigits  = 3
	secondDigits = 2
)

// recorder collects the results of requests. It is safe for concurrent use.
type recorder struct {
	mu           sync.Mutex
	classes      map[string]*classRecord
	seconds      []*secondRecord
	maxSendDelay time.Duration // from the intended arrival to the sending
}

type classRecord struct {
	class    *requestClass
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
	latency                 *hdrhistogram.Histogram // nil until the first answered request
}

func newRecorder(classes []*requestClass, d time.Duration) *recorder {
	r := &recorder{classes: make(map[string]*classRecord)}
	for _, k := range classes {
		r.classes[k.id] = &classRecord{
			class:    k,
			answered: hdrhistogram.New(minLatencyUs, maxLatencyUs, classDigits),
			all:      hdrhistogram.New(minLatencyUs, maxLatencyUs, classDigits),
			refused:  make(map[Refusal]uint64),
			failed:   make(map[string]uint64),
		}
	}
	for range (d + time.Second - 1) / time.Second {
		r.seconds = append(r.seconds, &secondRecord{})
	}
	return r
}

// countArrival counts an arrival and returns the records of its class and its second. The
// mutex must be held.
func (r *recorder) countArrival(a arrival) (*classRecord, *secondRecord) {
	c, s := r.classes[a.class.id], r.seconds[a.at/time.Second]
	c.arrivals++
	s.arrivals++
	return c, s
}

func (r *recorder) recordNotSent(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, s := r.countArrival(a)
	c.notSent++
	s.notSent++
}

func (r *recorder) recordResult(a arrival, result requestResult) {
	us := min(max(result.latency.Microseconds(), minLatencyUs), maxLatencyUs)
	r.mu.Lock()
	defer r.mu.Unlock()
	c, s := r.countArrival(a)
	r.maxSendDelay = max(r.maxSendDelay, result.sendDelay)
	_ = c.all.RecordValue(us) // us is within the range
	switch {
	case result.failure != "":
		c.failed[result.failure]++
		return
	case !result.answered():
		c.refused[result.refusal]++
		return
	}
	_ = c.answered.RecordValue(us)
	if s.latency == nil {
		s.latency = hdrhistogram.New(minLatencyUs, maxLatencyUs, secondDigits)
	}
	_ = s.latency.RecordValue(us)
	if result.latency <= time.Duration(c.class.manifestClass.Objective.LatencyMs)*time.Millisecond {
		c.good++
		s.good++
	}
}

// result returns the result of a run that took the given time.
func (r *recorder) result(c Config, took time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{
		Config: c, TookMs: took.Milliseconds(), Interrupted: took < c.Duration,
		SendDelayMaxMs: toMs(r.maxSendDelay.Microseconds()),
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
		Answered: answered, Good: c.good, ObjectiveMs: c.class.manifestClass.Objective.LatencyMs,
		Latency: latencyQuantiles(c.answered), LatencyAll: latencyQuantiles(c.all),
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
		out.P99Ms = toMs(s.latency.ValueAtQuantile(99))
	}
	return out
}

func latencyQuantiles(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		P50Ms: toMs(h.ValueAtQuantile(50)), P90Ms: toMs(h.ValueAtQuantile(90)), P99Ms: toMs(h.ValueAtQuantile(99)),
		P999Ms: toMs(h.ValueAtQuantile(99.9)), MaxMs: toMs(h.Max()),
	}
}

func toMs(us int64) float64 { return float64(us) / 1000 }
