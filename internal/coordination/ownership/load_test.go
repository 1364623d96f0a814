package ownership

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

// Guards against block sums that differ from the load of their keys, which would make the
// engine move the wrong keys.
func TestRangeLoadIsSumOfKeyLoads(t *testing.T) {
	proptest.Check(t, 5, 100, func(t *rapid.T) {
		var l keyLoads
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			from := rapid.IntRange(0, ranges.MaxKey).Draw(t, "from")
			for k := from; k <= min(from+rapid.IntRange(0, 300).Draw(t, "run"), ranges.MaxKey); k++ {
				l.add(uint16(k), 1.5)
			}
			if rapid.Bool().Draw(t, "age") {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				l.decay(now)
			}
		}
		from := rapid.IntRange(0, ranges.MaxKey).Draw(t, "first")
		to := rapid.IntRange(from, ranges.MaxKey).Draw(t, "last")
		want, all := 0.0, 0.0
		for k, x := range l.keys {
			all += float64(x)
			if k >= from && k <= to {
				want += float64(x)
			}
		}
		if got := l.rangeLoad(uint16(from), uint16(to)); math.Abs(got-want) > 1e-3*(1+want) {
			t.Fatalf("load of %d-%d is %v, want %v", from, to, got, want)
		}
		if got := l.total(); math.Abs(got-all) > 1e-3*(1+all) {
			t.Fatalf("total load is %v, want %v", got, all)
		}
	})
}

// Guards against load that does not decay to zero after the last request for a key.
func TestLoadDecays(t *testing.T) {
	var l keyLoads
	l.add(7, 100)
	for now := time.Second; now <= 10*loadWindow; now += time.Second {
		l.decay(now)
	}
	if got := l.total(); got > 0.01 {
		t.Errorf("load is %v after ten time constants", got)
	}
	l.decay(30 * loadWindow)
	if got := l.total(); got != 0 {
		t.Errorf("load is %v after thirty time constants, want none", got)
	}
}
