package slopes

import (
	"math"
	"testing"
)

// TestLeastSquares guards against a fit that misses an exact line, or that
// claims to explain points without a trend.
func TestLeastSquares(t *testing.T) {
	line := LeastSquares([]Point{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(line.Intercept-3) > 1e-9 || math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.R2-1) > 1e-9 {
		t.Errorf("line 3 + 2x fitted as %v", line)
	}
	flat := LeastSquares([]Point{{-1, 1}, {0, -2}, {1, 1}})
	if flat.Slope != 0 || flat.R2 != 0 {
		t.Errorf("points without a trend fitted as %v", flat)
	}
	if one := LeastSquares([]Point{{3, 4}, {3, 6}}); one.Intercept != 5 || one.Slope != 0 {
		t.Errorf("one size fitted as %v", one)
	}
}

// TestMedian guards against medians of unsorted or even-numbered values.
func TestMedian(t *testing.T) {
	if got := Median([]float64{9, 1, 5}); got != 5 {
		t.Errorf("median of 9, 1, 5 is %v", got)
	}
	if got := Median([]float64{9, 1, 5, 3}); got != 4 {
		t.Errorf("median of 9, 1, 5, 3 is %v", got)
	}
}

// TestTableCosts guards against a measurement that does not do what its name
// says: a table of the wrong size, or a lost target that moves nothing.
func TestTableCosts(t *testing.T) {
	w := newWorld(tableSize{shards: 256, targets: 6, members: 5})
	if _, tables, err := w.settle(); err != nil || tables == 0 {
		t.Fatalf("first assignment: %d tables, %v", tables, err)
	}
	s := w.machine.Stored().Services[0]
	if len(s.Owners) != 256 || len(s.Targets) != 6 || len(w.machine.Stored().Members) != 5 {
		t.Fatalf("table has %d shards, %d targets, %d members", len(s.Owners), len(s.Targets), len(w.machine.Stored().Members))
	}
	w.report()
	if changed, _ := w.propose(); changed {
		t.Error("a settled coordinator proposes another table")
	}
	w.lost = s.Targets[0].Name
	if _, tables, err := w.settle(); err != nil || tables == 0 {
		t.Fatalf("lost target: %d tables, %v", tables, err)
	}
	after := w.machine.Stored().Services[0]
	if after.Refers(0) {
		t.Error("the lost target still owns shards")
	}
}
