package slopes

import (
	"fmt"
	"slices"
)

// Point is one median measurement: Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a measured quantity against a size, with its least-squares line.
type Series struct {
	Name   string  `json:"name"`
	X      string  `json:"x"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Fit is a least-squares line Y = Intercept + Slope X. R2 is the share of the
// variance that it explains; 1 if Y does not vary.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// LeastSquares fits a line to the points. With fewer than two distinct X the
// line is level.
func LeastSquares(points []Point) Fit {
	if len(points) == 0 {
		return Fit{}
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / float64(len(points))
		meanY += p.Y / float64(len(points))
	}
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.X-meanX, p.Y-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return Fit{Intercept: meanY}
	}
	slope := xy / xx
	r2 := 1.0
	if yy > 0 {
		r2 = slope * xy / yy
	}
	return Fit{Intercept: meanY - slope*meanX, Slope: slope, R2: r2}
}

// Median returns the median of at least one value.
func Median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// String formats the line.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g + %.4g x, R2 %.3f", f.Intercept, f.Slope, f.R2)
}

// samples collects repeated measurements by size.
type samples map[float64][]float64

// series returns the medians in order of size, with their line.
func (s samples) series(name, x, unit string) Series {
	out := Series{Name: name, X: x, Unit: unit}
	for size, values := range s {
		out.Points = append(out.Points, Point{X: size, Y: Median(values)})
	}
	slices.SortFunc(out.Points, func(a, b Point) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	out.Fit = LeastSquares(out.Points)
	return out
}
