package experiment

import (
	"fmt"
	"slices"
)

// Spread is the median, the minimum and the maximum of a figure over the seeds.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// spreadOf sorts values, which must not be empty.
func spreadOf(values []float64) Spread {
	slices.Sort(values)
	n := len(values)
	median := values[n/2]
	if n%2 == 0 {
		median = (values[n/2-1] + values[n/2]) / 2
	}
	return Spread{Median: median, Min: values[0], Max: values[n-1]}
}

// String returns the median followed by the minimum and the maximum in brackets.
func (s Spread) String() string {
	return fmt.Sprintf("%s [%s-%s]", formatFigure(s.Median), formatFigure(s.Min), formatFigure(s.Max))
}

// formatFigure formats a figure with three decimals, or fewer from 10 and from 100.
func formatFigure(x float64) string {
	if x >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	if x >= 10 {
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.3f", x)
}
