package render

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/burn"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// sampleReport returns the report of a recently started daemon. Half of the bookings
// fail, and a service name contains markup that would break an unescaped page.
func sampleReport(t *testing.T) burn.Report {
	t.Helper()
	start := time.Unix(1_700_000_000, 0).UTC()
	h := burn.NewHistory(start)
	read, book := burn.ClassID{Service: "<b>&", Class: "read"}, burn.ClassID{Service: "scheduling", Class: "book"}
	for i := uint64(1); i <= 24; i++ {
		err := h.Add(burn.Sample{At: start.Add(time.Duration(i) * burn.SampleInterval), Classes: map[burn.ClassID]burn.Counter{
			read: {Total: 1000 * i, Good: 1000 * i}, book: {Total: 10 * i, Good: 5 * i},
		}})
		if err != nil {
			t.Fatal(err)
		}
	}
	r, err := burn.Merge([]burn.Snapshot{h.Snapshot(burn.Source{Daemon: "loom-1"}, map[burn.ClassID]manifest.Objective{
		read: {LatencyMs: 50, Ratio: 0.999}, book: {LatencyMs: 200, Ratio: 0.99}, {Service: "publishing", Class: "publish"}: {LatencyMs: 200, Ratio: 0.9999},
	})})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a table in the wrong order, and against one that does not show that
// windows are shortened or that a class had no requests.
func TestText(t *testing.T) {
	var b strings.Builder
	if err := Text(&b, sampleReport(t)); err != nil {
		t.Fatal(err)
	}
	want := `Daemons: 1; counters up to 2023-11-14T22:25:20Z
┌────────────┬─────────┬──────────────────┬───────┬───────────┬──────────┬──────────┬─────────────┬─────────────┐
│ Service    │ Class   │ Objective        │    5m │ 30m (12m) │ 1h (12m) │ 6h (12m) │ Budget left │ State       │
├────────────┼─────────┼──────────────────┼───────┼───────────┼──────────┼──────────┼─────────────┼─────────────┤
│ scheduling │ book    │ 99% in 200 ms    │ 50.00 │     50.00 │    50.00 │    50.00 │    -4900.0% │ fast burn   │
│ <b>&       │ read    │ 99.9% in 50 ms   │  0.00 │      0.00 │     0.00 │     0.00 │      100.0% │ ok          │
│ publishing │ publish │ 99.99% in 200 ms │     - │         - │        - │        - │           - │ no requests │
└────────────┴─────────┴──────────────────┴───────┴───────────┴──────────┴──────────┴─────────────┴─────────────┘
The 30m window covers only 12m: no daemon has run longer.
The 1h window covers only 12m: no daemon has run longer.
The 6h window covers only 12m: no daemon has run longer.
`
	if b.String() != want {
		t.Errorf("table:\n%s\nwant:\n%s", b.String(), want)
	}
}

// Guards against a page that loads external resources, that the name of a service can
// break, or whose charts lack bars.
func TestHTML(t *testing.T) {
	var b bytes.Buffer
	if err := HTML(&b, sampleReport(t)); err != nil {
		t.Fatal(err)
	}
	d := xml.NewDecoder(&b)
	d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	elements, red := map[string]int{}, 0
	for {
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		e, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		elements[e.Name.Local]++
		for _, a := range e.Attr {
			switch a.Name.Local {
			case "src", "href", "srcset", "data", "action":
				t.Errorf("<%s> refers to %q", e.Name.Local, a.Value)
			case "class":
				if e.Name.Local == "rect" && a.Value == "over" {
					red++
				}
			}
		}
	}
	// The 12 minutes from 22:13:20 fall into the buckets of 22:10, 22:15, 22:20 and
	// 22:25. Reads have blue bars and bookings red ones.
	got := []int{elements["svg"], elements["rect"], red, elements["b"], elements["script"], elements["link"]}
	if want := []int{3, 8, 4, 0, 0, 0}; !reflect.DeepEqual(got, want) {
		t.Errorf("charts, bars, red bars, names as markup, scripts, links: %v; want %v", got, want)
	}
}

// Guards against a JSON form that omits part of the report.
func TestJSON(t *testing.T) {
	r := sampleReport(t)
	var b bytes.Buffer
	if err := JSON(&b, r); err != nil {
		t.Fatal(err)
	}
	var got burn.Report
	if err := json.Unmarshal(b.Bytes(), &got); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v, %v; want %+v", got, err, r)
	}
}
