package admission

import "time"

const (
	// meanWeight is the number of samples over which the mean is taken.
	meanWeight = 16
	// maxSampleRatio limits how far one sample moves the mean, so that a single
	// straggler does not reclassify its class.
	maxSampleRatio = 8
	// medianStep is the relative change of the median estimate per sample.
	medianStep = 0.05
	// medianWarmup is the number of samples taken with larger steps.
	medianWarmup = 8
	// baselineRise is the relative rise of the baseline per second at most, so
	// that a target counts as slow for tens of seconds before slowness counts as
	// its normal state.
	baselineRise = 0.05
	// stragglerRatio: a class whose mean is above this multiple of the target's
	// median run time is a straggler class.
	stragglerRatio = 4
)

// cost learns the run time of a class in constant memory. The mean orders
// classes; the median is robust against a second mode and estimates whether a
// typical request can still complete. Values are in nanoseconds.
type cost struct {
	mean    float64
	median  float64
	samples int
	// baseline follows the median down at once and up slowly.
	baseline   float64
	baselineAt time.Time
}

// unslowed returns the baseline after bringing it up to date.
func (c *cost) unslowed(now time.Time) float64 {
	rise := 1 + baselineRise*now.Sub(c.baselineAt).Seconds()
	if c.samples <= medianWarmup || c.median <= c.baseline*rise {
		c.baseline = c.median
	} else {
		c.baseline *= rise
	}
	c.baselineAt = now
	return c.baseline
}

func (c *cost) observe(ran time.Duration) {
	x := max(float64(ran), 1)
	c.samples++
	if c.samples == 1 {
		c.mean, c.median = x, x
		return
	}
	c.observeMean(x)
	c.observeMedian(x)
}

func (c *cost) observeMean(x float64) {
	weight := float64(min(c.samples, meanWeight))
	c.mean += (min(x, maxSampleRatio*c.mean) - c.mean) / weight
}

func (c *cost) observeMedian(x float64) {
	step := 1 + medianStep
	if c.samples <= medianWarmup {
		step = 1 + 1/float64(c.samples)
	}
	switch {
	case x > c.median:
		c.median = min(c.median*step, x)
	case x < c.median:
		c.median = max(c.median/step, x)
	}
}

// observeAtLeast records a run that was cut short: its length is a lower bound.
func (c *cost) observeAtLeast(ran time.Duration) {
	if float64(ran) > c.mean {
		c.observe(ran)
	}
}

func (c *cost) typical() time.Duration { return time.Duration(c.median) }
