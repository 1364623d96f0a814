package experiment

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
)

// Guards against a ring that is not consistent hashing and so would be a wrong baseline:
// only keys of the changed target may move, and about as many as its fair share.
func TestRingMovesFairShare(t *testing.T) {
	f := newFleet(15, 3, 1)
	keys := zipfKeys("test", 1, zipfExponent)
	for _, change := range fleetChanges()[:2] {
		g := change.apply(f, 1)
		before, after := newRing(f), newRing(g)
		// The share of a target with 120 random points has a standard deviation of
		// about 9%, so the tolerance of 50% is more than five standard deviations.
		want, got := idealChurn(f, g), churn(keys, before, after)
		if math.Abs(got-want) > want/2 {
			t.Errorf("%s: fraction of keys moved = %.3f, want about %.3f", change.name, got, want)
		}
		from, to := map[string]bool{}, map[string]bool{}
		for _, k := range keys {
			if a, b := before.owner(k.hash), after.owner(k.hash); a != b {
				from[a], to[b] = true, true
			}
		}
		changed := from
		if len(g) > len(f) {
			changed = to
		}
		if len(changed) != 1 {
			t.Errorf("%s: keys moved from %d targets to %d", change.name, len(from), len(to))
		}
	}
}

// Guards against results that are not reproducible with the same seeds, and against moves
// that raise the load of the most loaded target.
func TestPlacementRowsAreReproducible(t *testing.T) {
	s := service{name: "test", targets: 15}
	const ticks = 150 // 7.5 s, far more than the moves take
	a, b := placementRows(s, 3, 1, ticks), placementRows(s, 3, 1, ticks)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs with equal seeds differ")
	}
	for _, r := range a {
		if r.Ideal != nil && r.Measure == "imbalance" && r.Policy.Min < r.Ideal.Min {
			t.Errorf("%s: %s is below the ideal %s", r.Case, r.Policy, r.Ideal)
		}
		for _, v := range r.Baselines {
			if r.Measure == "imbalance" && v.Policy == byInitial && r.Policy.Max > v.Max {
				t.Errorf("%s: imbalance %s with hot keys moved, %s without", r.Case, r.Policy, v.Spread)
			}
		}
	}
}

// Guards against a table that omits a figure, and against a plot that is not well-formed
// XML.
func TestReportRenderings(t *testing.T) {
	one := Spread{Median: 1.5, Min: 1.25, Max: 1.75}
	r := Report{Deployment: "<muscat>", Seeds: 5, Rows: []Row{
		{Measure: "churn", Case: "leave", Policy: &one, Baselines: []Value{{"ring", one}}, Ideal: &one},
		{Measure: "churn", Case: "join", Baselines: []Value{{"ring", one}}},
	}}
	var text, plot bytes.Buffer
	if err := errors.Join(WriteReport(&text, r, true), PlotReports(&plot, []Report{r})); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(text.String(), one.String()); n != 3 {
		t.Errorf("table has %d of 3 figures:\n%s", n, text.String())
	}
	d := xml.NewDecoder(&plot)
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
