package upstream

import (
	"net/http"
	"testing"
	"time"
)

// A report that is not one must not change what is known of a target's load.
func TestLoadReport(t *testing.T) {
	names := HeaderNames{Load: "Server-Load"}
	for value, want := range map[string]LoadReport{
		"3,0,8":          {Running: 3, Slots: 8, Slowdown: 1},
		"2,5,2,300":      {Running: 2, Waiting: 5, Slots: 2, Slowdown: 3},
		" 2 , 1, 2, 50 ": {Running: 2, Waiting: 1, Slots: 2, Slowdown: 0.5},
	} {
		got, ok := names.LoadReport(http.Header{names.Load: {value}})
		if !ok || got != want {
			t.Errorf("%q: got %+v, %v, want %+v", value, got, ok, want)
		}
	}
	for _, value := range []string{"", "3", "3,0", "3,0,0", "-1,0,2", "1,0,2,0", "1,0,2,NaN", "1,0,2,-5", "1,0,2,1e9", "1,0,70000", "1,0,2,100,1", "a,0,2"} {
		if got, ok := names.LoadReport(http.Header{names.Load: {value}}); ok {
			t.Errorf("%q: accepted as %+v", value, got)
		}
	}
	if _, ok := (&HeaderNames{}).LoadReport(http.Header{"": {"1,0,2"}}); ok {
		t.Error("report accepted without a name of its header")
	}
}

// A text that is not a time must not make a target look cold.
func TestColdTime(t *testing.T) {
	names := HeaderNames{ColdRemaining: "Cold"}
	for value, want := range map[string]time.Duration{"0": 0, " 1500 ": 1500 * time.Millisecond} {
		if got, ok := names.ColdTime(http.Header{"Cold": {value}}); !ok || got != want {
			t.Errorf("%q: got %v, %v, want %v", value, got, ok, want)
		}
	}
	for _, value := range []string{"", "-1", "1.5", "NaN", "99999999999999999999", "7200000"} {
		if got, ok := names.ColdTime(http.Header{"Cold": {value}}); ok {
			t.Errorf("%q: accepted as %v", value, got)
		}
	}
	if _, ok := (&HeaderNames{}).ColdTime(http.Header{"": {"1"}}); ok {
		t.Error("time accepted without a name of its header")
	}
}
