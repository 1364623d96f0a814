package probing

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one outcome in the moving share of failures.
	failureWeight = 0.4
	// failureHalfLife halves the share of failures, so that a target is tried again.
	failureHalfLife = 3 * time.Second
	// failureCost is the relative cost of a target that fails every request.
	failureCost = 8
)

// trust is the share of requests that a target did not serve although it was chosen for its
// report. A target in trouble that fails or refuses its requests at once has free slots, and
// would otherwise attract all requests.
type trust struct {
	failures float64 // at time at
	at       time.Duration
}

func (t *trust) share(now time.Duration) float64 {
	return t.failures * math.Exp2(-float64(now-t.at)/float64(failureHalfLife))
}

func (t *trust) record(now time.Duration, served bool) {
	share := t.share(now) * (1 - failureWeight)
	if !served {
		share += failureWeight
	}
	t.failures, t.at = share, now
}

func (t *trust) costFactor(now time.Duration) float64 { return 1 + failureCost*t.share(now) }
