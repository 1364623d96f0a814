package metrics

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Guards against output that Prometheus cannot parse, and against gauges of targets
// that are missing or mixed up.
func TestExpositionFormat(t *testing.T) {
	m := New()
	m.RegisterTargets(func() []TargetGauges {
		return []TargetGauges{
			{Service: "s", ID: "a", Running: 2, Slots: 3, Connections: 4, ServiceTime: 20 * time.Millisecond},
			{Service: "s", ID: "b", RunningElsewhere: 5, Suspect: true},
		}
	})
	m.ObserveRequest("s", 200, "", 30*time.Millisecond)
	m.SetGauges(Gauges{StoreUp: true, Services: map[string]ServiceGauges{"s": {Slots: 6}}})
	time.Sleep(reportInterval + reportInterval/2) // wait for tally to report its values
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]map[string]float64{
		"jackdawloom_target_running":      {"a": 2, "b": 0},
		"jackdawloom_target_elsewhere":    {"a": 0, "b": 5},
		"jackdawloom_target_suspect":      {"a": 0, "b": 1},
		"jackdawloom_target_time_seconds": {"a": 0.02, "b": 0},
	} {
		got := make(map[string]float64)
		for _, x := range families[name].GetMetric() {
			for _, l := range x.GetLabel() {
				if l.GetName() == "target" {
					got[l.GetValue()] = x.GetGauge().GetValue()
				}
			}
		}
		if len(got) != len(want) || got["a"] != want["a"] || got["b"] != want["b"] {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	for _, name := range []string{"jackdawloom_requests", "jackdawloom_request_time", "jackdawloom_store_up", "jackdawloom_target_slots"} {
		if families[name] == nil {
			t.Errorf("%s is missing", name)
		}
	}
}
