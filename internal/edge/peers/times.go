package peers

import "math"

const (
	// smoothingWeight is the weight of a new service time once many are known. The service
	// time of a single request deviates from the mean by more than the mean, so about 50
	// requests are needed to tell targets apart.
	smoothingWeight = 0.02
	// estimatesEvery is the number of rounds between messages that carry all estimates.
	estimatesEvery = 8
)

// estimate is a smoothed service time.
type estimate struct {
	millis float64
	count  int
}

// add updates the estimate with a measured time. The first measurements are averaged.
func (e *estimate) add(millis float64) {
	e.count++
	e.millis += (millis - e.millis) * max(1/float64(e.count), smoothingWeight)
}

// estimates holds the estimate of each target.
type estimates map[TargetHash]*estimate

func (e estimates) add(measured []ServiceTime) {
	for _, x := range measured {
		if e[x.Target] == nil {
			e[x.Target] = &estimate{}
		}
		e[x.Target].add(float64(x.Millis))
	}
}

// minMeasurements is the number of measurements from which an estimate is published.
const minMeasurements = 4

// serviceTimes returns the estimates with at least minMeasurements measurements.
func (e estimates) serviceTimes() ServiceTimes {
	out := make(ServiceTimes, len(e))
	for t, x := range e {
		if x.count >= minMeasurements {
			out[t] = uint16(min(x.millis, math.MaxUint16))
		}
	}
	return out
}
