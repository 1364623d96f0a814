package admission

import "time"

const (
	// slowRatio: a response is slow if it took longer than this multiple of its
	// class's baseline, and a target if most responses are slow.
	slowRatio = 2.5
	// windowSamples is the number of responses on which a limit is judged.
	windowSamples = 8
	// maxSlowdown limits how much a single straggler adds to a window.
	maxSlowdown = 32
	// trialGain: a lower limit is kept if the target's throughput at it is at
	// least this ratio of that before.
	trialGain = 0.75
	// firstHoldoff is the time without a further trial after one that did not
	// help; it doubles up to maxHoldoff.
	firstHoldoff = 5 * time.Second
	maxHoldoff   = 80 * time.Second
	// minTrialLimit is the least limit at which a trial changes the concurrency;
	// below it, both sides of the comparison would run one request at once.
	minTrialLimit = 2
	// keepFor is how long a lower limit that a trial has confirmed stays before
	// it may rise again.
	keepFor = 10 * time.Second
)

// gradient decides whether a slow target gets fewer requests at once. By
// Little's law its throughput is the concurrency divided by the run time, so a
// lower limit is tried and kept only if the throughput does not fall. Slowness
// with another cause than concurrency is thus not made worse.
type gradient struct {
	// ran, expected and busy are sums over the present window.
	ran, expected float64
	busy          int
	slow, samples int
	// isSlow, slowdown and throughput are those of the last full window.
	isSlow     bool
	slowdown   float64
	throughput float64
	trial      bool
	before     float64
	restore    float64
	holdoff    time.Duration
	quiet      time.Time
	kept       time.Time
}

// observe records a response that ran under the limit and returns the new limit
// if it is to change.
func (g *gradient) observe(limit, ran, expected float64, running int, now time.Time) (float64, bool) {
	g.ran += min(ran, maxSlowdown*expected)
	g.expected += expected
	g.busy += running
	g.samples++
	if ran > slowRatio*expected {
		g.slow++
	}
	if g.samples < windowSamples {
		return limit, false
	}
	// The first slow window may contain responses from before the slowness, so
	// its throughput is no measure for a trial.
	wasSlow := g.isSlow
	g.closeWindow()
	if g.trial {
		return g.judge(limit, now)
	}
	if !wasSlow || !g.isSlow || limit < minTrialLimit || now.Before(g.quiet) {
		return limit, false
	}
	return g.begin(limit), true
}

func (g *gradient) closeWindow() {
	g.isSlow = 2*g.slow > g.samples
	g.slowdown = g.ran / g.expected
	g.throughput = float64(g.busy) / float64(g.samples) / g.slowdown
	g.reset()
}

func (g *gradient) begin(limit float64) float64 {
	g.before, g.restore = g.throughput, limit
	g.trial = true
	return max(1, limit/2)
}

// judge ends a trial: it restores the former limit or keeps the lower one.
func (g *gradient) judge(limit float64, now time.Time) (float64, bool) {
	g.trial = false
	if g.throughput >= trialGain*g.before {
		g.holdoff = 0
		g.kept = now.Add(keepFor)
		return limit, false
	}
	g.holdoff = min(max(2*g.holdoff, firstHoldoff), maxHoldoff)
	g.quiet = now.Add(g.holdoff)
	return g.restore, true
}

// reset discards the responses to requests that ran under another limit.
func (g *gradient) reset() { g.ran, g.expected, g.busy, g.slow, g.samples = 0, 0, 0, 0, 0 }
