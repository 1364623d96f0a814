package peers

import "math"

const (
	// timeWeight is the weight of a new service time once many are known. Single
	// requests differ from their mean by more than the mean, so that fifty are
	// needed to tell targets apart.
	timeWeight = 0.02
	// timesEvery is the number of rounds between messages with all times.
	timesEvery = 8
)

// estimate is a smoothed service time.
type estimate struct {
	millis float64
	count  int
}

// add takes a measured time into account. The first ones are averaged.
func (e *estimate) add(millis float64) {
	e.count++
	e.millis += (millis - e.millis) * max(1/float64(e.count), timeWeight)
}

// estimates are those of all targets.
type estimates map[TargetHash]*estimate

func (e estimates) add(ended []ServiceTime) {
	for _, x := range ended {
		if e[x.Target] == nil {
			e[x.Target] = &estimate{}
		}
		e[x.Target].add(float64(x.Millis))
	}
}

// leastCount is the number of measurements from which an estimate is told.
const leastCount = 4

func (e estimates) times() ServiceTimes {
	out := make(ServiceTimes, len(e))
	for t, x := range e {
		if x.count >= leastCount {
			out[t] = uint16(min(x.millis, math.MaxUint16))
		}
	}
	return out
}
