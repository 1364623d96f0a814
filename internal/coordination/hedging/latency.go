package hedging

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the measurement of response times.
const (
	// windows histograms of windowLength each hold the recent response times.
	windows      = 3
	windowLength = 10 * time.Second
	// maxRecordedMs bounds a recorded response time; digits is the precision.
	maxRecordedMs = 60_000
	digits        = 1
	// minSamples is the number of response times without which a quantile says little.
	minSamples = 20
	// refreshInterval is how long the quantiles are used before they are computed again.
	refreshInterval = 500 * time.Millisecond
	// minDelay is the shortest delay of a hedge. Below it the timer and a second connection
	// cost more than the wait.
	minDelay = 10 * time.Millisecond
	// unmeasuredShare is the fraction of the latency objective after which a request is hedged
	// while too few response times are known.
	unmeasuredShare = 0.5
)

// Latency measures the recent response times of a route at a service. It is not safe for
// concurrent use.
type Latency struct {
	recent  *hdrhistogram.WindowedHistogram
	rotated time.Duration

	computed       time.Duration
	share          float64
	known          bool
	median, atTail time.Duration
}

// NewLatency returns a Latency without measurements.
func NewLatency(now time.Duration) *Latency {
	return &Latency{recent: hdrhistogram.NewWindowed(windows, 1, maxRecordedMs, digits), rotated: now}
}

// Record records the time until a response. For a send that was abandoned, it is the time until
// then: as that is longer than the delay of hedges, the quantile that gives the delay stays the
// same.
func (l *Latency) Record(now, took time.Duration) {
	l.rotate(now)
	_ = l.recent.Current.RecordValue(min(max(took.Milliseconds(), 1), maxRecordedMs)) // always in range
}

func (l *Latency) rotate(now time.Duration) {
	for i := 0; i < windows && now-l.rotated >= windowLength; i++ {
		l.recent.Rotate()
		l.rotated += windowLength
	}
	if now-l.rotated >= windowLength {
		l.rotated = now
	}
}

// Delay returns how long after its first send a request waits before it is hedged, and false if
// it is not hedged. share is the fraction of requests that may be hedged. The delay is the response
// time that this fraction exceeds. Where that is too late for the usual response time to meet the
// objective, the request is hedged as late as it can still be met. waited is how long the request
// had waited before it was sent; an objective of 0 means none.
func (l *Latency) Delay(now time.Duration, share float64, objective, waited time.Duration) (time.Duration, bool) {
	l.refresh(now, share)
	left := objective - waited
	if !l.known {
		delay := max(time.Duration(unmeasuredShare*float64(objective))-waited, minDelay)
		return delay, left > 0
	}
	delay := l.atTail
	if latest := left - l.median; objective > 0 && latest < delay {
		delay = max(latest, l.median)
	}
	return max(delay, minDelay), true
}

// refresh computes the quantiles if they are out of date.
func (l *Latency) refresh(now time.Duration, share float64) {
	if l.computed != 0 && now-l.computed < refreshInterval && share == l.share {
		return
	}
	l.rotate(now)
	l.computed, l.share = now, share
	h := l.recent.Merge()
	if l.known = h.TotalCount() >= minSamples; l.known {
		l.median = quantile(h, 0.5)
		l.atTail = max(quantile(h, 1-share), l.median)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Millisecond
}
