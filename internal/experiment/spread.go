package experiment

import (
	"fmt"
	"slices"
)

// Spread is the median of a figure over the seeds, with the extremes.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spreadOf(values []float64) Spread {
	slices.Sort(values)
	n := len(values)
	median := values[n/2]
	if n%2 == 0 {
		median = (values[n/2-1] + values[n/2]) / 2
	}
	return Spread{Median: median, Min: values[0], Max: values[n-1]}
}

// String gives the median and, in brackets, the extremes.
func (s Spread) String() string {
	return fmt.Sprintf("%s [%s-%s]", short(s.Median), short(s.Min), short(s.Max))
}

func short(x float64) string {
	if x >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	if x >= 10 {
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.3f", x)
}
