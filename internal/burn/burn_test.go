package burn

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

var (
	epoch      = time.Unix(1_700_000_000, 0).UTC()
	readClass  = ClassID{"display", "read"}
	bookClass  = ClassID{"scheduling", "book"}
	objectives = map[ClassID]manifest.Objective{
		readClass: {LatencyMs: 50, Ratio: 0.999},
		bookClass: {LatencyMs: 200, Ratio: 0.99},
	}
)

func addSample(t interface{ Fatal(...any) }, h *History, at time.Time, counts map[ClassID]Counter) {
	if err := h.Add(Sample{At: at, Classes: counts}); err != nil {
		t.Fatal(err)
	}
}

// Guards against requests that are lost or counted twice when snapshots are merged:
// the merged report must equal that of one daemon that counted all requests. The
// snapshots are encoded as JSON and decoded, as between daemons.
func TestMergeEqualsSum(t *testing.T) {
	proptest.Check(t, 1, 30, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 4).Draw(t, "daemons")
		histories := make([]*History, daemons)
		counts := make([]map[ClassID]Counter, daemons)
		for i := range histories {
			histories[i], counts[i] = NewHistory(epoch), map[ClassID]Counter{}
		}
		combined, sums := NewHistory(epoch), map[ClassID]Counter{}
		samples := rapid.SampledFrom([]int{1, 9, 100, maxSamples + 50}).Draw(t, "samples")
		load := rapid.SliceOfN(rapid.Uint64Range(0, 1000), 7, 7).Draw(t, "load")
		at := epoch
		for i := range samples {
			at = at.Add(SampleInterval + time.Duration(load[i%len(load)])*time.Millisecond)
			for d := range histories {
				for k, id := range []ClassID{readClass, bookClass} {
					n := load[(i*(d+2)+k)%len(load)]
					more := Counter{Total: n, Good: n - n/uint64(3+d+i%5)}
					counts[d][id] = counts[d][id].plus(more)
					sums[id] = sums[id].plus(more)
				}
				addSample(t, histories[d], at, counts[d])
			}
			addSample(t, combined, at, sums)
		}
		var parts []Snapshot
		for d, h := range histories {
			parts = append(parts, encodeAndDecode(t, h.Snapshot(Source{Daemon: fmt.Sprint("loom-", d)}, objectives)))
		}
		got, err := Merge(parts)
		if err != nil {
			t.Fatal(err)
		}
		want, err := Merge([]Snapshot{encodeAndDecode(t, combined.Snapshot(Source{Daemon: "all"}, objectives))})
		if err != nil {
			t.Fatal(err)
		}
		for i := range want.Windows {
			want.Windows[i].ShortDaemons *= daemons
		}
		want.Daemons = got.Daemons
		var pointTotal Counter
		for _, p := range want.Classes[0].Points {
			pointTotal = pointTotal.plus(p.Counter)
		}
		if longest := want.Classes[0].Rates[len(Windows)-1].Counter; pointTotal != longest {
			t.Fatalf("points hold %+v, the longest window %+v", pointTotal, longest)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("merged:\n%+v\nsum:\n%+v", got, want)
		}
	})
}

func encodeAndDecode(t interface{ Fatal(...any) }, s Snapshot) Snapshot {
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	out, err := DecodeSnapshot(b)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// steadyReport returns the report of a daemon that ran for the given time with a
// constant ratio of bad requests.
func steadyReport(t *testing.T, length time.Duration, bad uint64) Report {
	t.Helper()
	h := NewHistory(epoch)
	var n Counter
	for d := SampleInterval; d <= length; d += SampleInterval {
		n = n.plus(Counter{Total: 1000, Good: 1000 - bad})
		addSample(t, h, epoch.Add(d), map[ClassID]Counter{readClass: n})
	}
	r, err := Merge([]Snapshot{h.Snapshot(Source{Daemon: "loom-1"}, objectives)})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a fast-burn alert that continues after the burn rate has recovered,
// and against windows that are reported as shortened because one daemon has restarted.
func TestReportAfterRecovery(t *testing.T) {
	h, restarted, n := NewHistory(epoch), NewHistory(epoch), Counter{}
	for i := range 90 {
		n.Total += 100
		if i >= 80 { // the last 5 minutes are good
			n.Good += 100
		}
		addSample(t, h, epoch.Add(time.Duration(i+1)*SampleInterval), map[ClassID]Counter{readClass: n})
	}
	// Good was read after Total and exceeds it by one.
	addSample(t, restarted, epoch.Add(time.Minute), map[ClassID]Counter{bookClass: {Total: 5, Good: 6}})
	r, err := Merge([]Snapshot{h.Snapshot(Source{Daemon: "loom-1"}, objectives), restarted.Snapshot(Source{Daemon: "loom-2"}, objectives)})
	if err != nil {
		t.Fatal(err)
	}
	c := r.Classes[0]
	if c.State != StateSlow || c.Rates[0].Rate != 0 || c.Rates[2].Rate < fastBurnRate {
		t.Errorf("after the recovery: %+v", c)
	}
	if c := r.Classes[1]; c.BudgetLeft != 1 {
		t.Errorf("more good requests than requests in total: %+v", c)
	}
	if w := r.Windows[1]; w.Shortened || w.ShortDaemons != 1 || w.CoveredMs != w.WindowMs {
		t.Errorf("one of two daemons restarted: %+v", w)
	}
	if r.Latest.Sub(r.Oldest) != 44*time.Minute {
		t.Errorf("snapshots from %v to %v", r.Oldest, r.Latest)
	}
}

// Guards against wrong rates, a wrong order of classes, and a report of a recently
// started daemon that claims to cover six hours.
func TestReportOfSteadyBurn(t *testing.T) {
	rows := []struct {
		length time.Duration
		bad    uint64
		rate   float64
		state  State
		short  []bool
	}{
		{7 * time.Hour, 0, 0, StateOK, []bool{false, false, false, false}},
		{7 * time.Hour, 1, 1, StateOK, []bool{false, false, false, false}},
		{7 * time.Hour, 7, 7, StateSlow, []bool{false, false, false, false}},
		{6 * time.Hour, 15, 15, StateFast, []bool{false, false, false, false}},
		{12 * time.Minute, 15, 15, StateFast, []bool{false, true, true, true}},
	}
	for _, row := range rows {
		r := steadyReport(t, row.length, row.bad)
		class := r.Classes[0]
		if class.Service != readClass.Service || class.State != row.state || r.Classes[1].State != StateIdle {
			t.Errorf("%v with %d bad: %+v", row.length, row.bad, r.Classes)
		}
		if math.Abs(class.BudgetLeft-(1-row.rate)) > 1e-9 {
			t.Errorf("%v with %d bad: budget left %v", row.length, row.bad, class.BudgetLeft)
		}
		for i, w := range r.Windows {
			covered := min(row.length, Windows[i]).Milliseconds()
			requests := uint64(covered / SampleInterval.Milliseconds() * 1000)
			if w.Shortened != row.short[i] || w.CoveredMs != covered || class.Rates[i].Total != requests || math.Abs(class.Rates[i].Rate-row.rate) > 1e-9 {
				t.Errorf("%v with %d bad: window %+v, burn %+v", row.length, row.bad, w, class.Rates[i])
			}
		}
		if n := len(class.Points); n > MaxBuckets || n < int(min(row.length, longestWindow)/BucketLength) {
			t.Errorf("%v: %d points", row.length, n)
		}
	}
}

// Guards against requests that are lost or counted twice when a class is removed and
// declared again, and against classes that are never deleted.
func TestHistoryOfChangingClasses(t *testing.T) {
	h, at := NewHistory(epoch), epoch
	next := func(counts map[ClassID]Counter) {
		at = at.Add(SampleInterval)
		addSample(t, h, at, counts)
	}
	next(map[ClassID]Counter{readClass: {Total: 10, Good: 9}})
	next(map[ClassID]Counter{readClass: {Total: 4, Good: 4}})   // reset
	next(map[ClassID]Counter{readClass: {Total: 100, Good: 2}}) // reset, with more requests in total
	next(map[ClassID]Counter{readClass: {Total: 3, Good: 3}})   // reset, with more good requests
	next(nil)
	next(map[ClassID]Counter{readClass: {Total: 5, Good: 5}}) // removed, then declared again
	s := h.Snapshot(Source{}, objectives)
	if want := (Counter{Total: 122, Good: 23}); s.Classes[0].Counts[0] != want {
		t.Errorf("counted %+v; want %+v", s.Classes[0].Counts[0], want)
	}
	for range maxSamples {
		next(nil)
	}
	if !h.times[h.head].Equal(at) || len(h.series) != 0 {
		t.Errorf("%d series retained without samples", len(h.series))
	}
	many := map[ClassID]Counter{}
	for i := range MaxSeries + 1 {
		many[ClassID{Service: "s", Class: fmt.Sprint(i)}] = Counter{Total: 1}
	}
	if err := h.Add(Sample{At: at.Add(1), Classes: many}); !errors.Is(err, ErrTooManySeries) || len(h.series) != MaxSeries {
		t.Errorf("%d series: %v", len(h.series), err)
	}
	if err := h.Add(Sample{At: at}); !errors.Is(err, ErrNotLater) {
		t.Errorf("an earlier sample: %v", err)
	}
}

// Guards against snapshots that crash Merge or make the report wrong: malformed
// snapshots, two of the same daemon, and daemons with different objectives.
func TestMergeRefuses(t *testing.T) {
	s := NewHistory(epoch).Snapshot(Source{Daemon: "loom-1", Revision: 1}, objectives)
	if _, err := Merge([]Snapshot{s, s}); !errors.Is(err, ErrDuplicate) {
		t.Errorf("the same daemon twice: %v", err)
	}
	for _, b := range []string{``, `{}`, `{"windows": [{}, {}, {}, {}]}`, `{"classes": [{"counts": []}]}`} {
		if _, err := DecodeSnapshot([]byte(b)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", b, err)
		}
	}
	newer := NewHistory(epoch).Snapshot(Source{Daemon: "loom-2", Revision: 2}, map[ClassID]manifest.Objective{readClass: {LatencyMs: 40, Ratio: 0.99}})
	r, err := Merge([]Snapshot{newer, s})
	if err != nil || !r.Classes[0].MixedObjectives || r.Classes[0].Objective.LatencyMs != 40 || r.Classes[1].MixedObjectives {
		t.Errorf("different objectives: %+v, %v", r.Classes, err)
	}
}
