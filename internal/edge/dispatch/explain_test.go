package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
	"github.com/jackdawloom/jackdawloom/internal/coordination/probing"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// Guards against an explanation that differs from what happens to a request, that sends one, or
// that keeps capacity reserved.
func TestExplainReservesNothing(t *testing.T) {
	var arrived atomic.Int64
	server := startTarget(t, &arrived, func(http.Header) int { return http.StatusOK })
	rt := &route.Route{MaxAttempts: 2, Idempotent: true, Objective: time.Second}
	keyed := newTestDispatcher(server.Listener.Addr().String(), true)
	plain := newUnkeyedDispatcher(map[string]*httptest.Server{"1": server, "2": server})
	plain.config.HedgeShare = 0.05
	for range 10 { // more than the slots of a target
		if e := keyed.Explain(rt, "s", 7, true, 2*time.Second); e.Refused != "" || e.Owner != "t" || e.Fence == 0 || len(e.Candidates) != 1 {
			t.Fatalf("owner with room: %+v", e)
		}
		if e := plain.Explain(rt, "s", 0, false, 2*time.Second); e.Refused != "" || len(e.Candidates) != 2 || e.HedgeAfter != 500*time.Millisecond {
			t.Fatalf("targets with room: %+v", e)
		}
	}
	if e := keyed.Explain(rt, "s", 0, false, 2*time.Second); e.Refused != NoKey {
		t.Errorf("without a key: %+v", e)
	}
	keyed.changeTargets(func(ep *endpoint) { ep.estimate.RunningElsewhere = 2 })
	if e := keyed.Explain(rt, "s", 7, true, 2*time.Second); e.Refused != TargetsFull || e.RetryAfter <= 0 || e.Candidates[0].LeftOut != TargetsFull {
		t.Errorf("full owner: %+v", e)
	}
	plain.changeTargets(func(ep *endpoint) {
		if ep.id == "1" {
			ep.pausedUntil = clock.Now() + time.Minute
		}
	})
	if e := plain.Explain(rt, "s", 0, false, 2*time.Second); e.Refused != "" || e.Candidates[0].ID != "2" || e.Candidates[1].LeftOut != TargetPaused {
		t.Errorf("one target paused: %+v", e)
	}
	if arrived.Load() != 0 {
		t.Errorf("%d requests arrived", arrived.Load())
	}
	checkIdle(t, keyed)
	checkIdle(t, plain)
}

// Guards against an explanation that counts as a request for which a target's load report was used,
// so that the next request waits for probes.
func TestExplainUsesNoReport(t *testing.T) {
	l := &loadTarget{requestReport: "0,0,4,100", probeReport: "0,0,4,100"}
	d := newProbingDispatcher(t, map[string]*loadTarget{"t": l})
	d.dispatchMany(t, 1)
	rt := &route.Route{MaxAttempts: 1, Objective: time.Second}
	d.changeTargets(func(ep *endpoint) {
		ep.probe = probing.Target{}
		ep.estimate.RecordReport(clock.Now(), balance.Report{Slowdown: 1})
	})
	for range 3 {
		d.Explain(rt, "s", 0, false, time.Second)
	}
	var after probing.Target
	d.changeTargets(func(ep *endpoint) { after = ep.probe })
	if after != (probing.Target{}) || l.probes.Load() > 0 {
		t.Errorf("probing state of the target %+v and %d probes after explanations, want no change", after, l.probes.Load())
	}
}

// Guards against an explanation that sends a request to a cold target that would get none.
func TestExplainLeavesOutColdTargets(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		d := newColdFleet(t, 20, keyed, testColdTime, func(http.Header) {}).start(0) // knows no demand yet
		e := d.Explain(&route.Route{MaxAttempts: 1}, "s", 7, keyed, time.Second)
		if e.Refused != TargetCold || e.RetryAfter <= retryAfterFull || len(e.Candidates) != 1 || e.Candidates[0].LeftOut != TargetCold {
			t.Errorf("keyed %t: %+v, want a refusal for a cold target", keyed, e)
		}
		if _, refusal := d.dispatchToCold(); refusal == nil || refusal.Reason != TargetCold {
			t.Errorf("keyed %t: refusal %+v, want %q", keyed, refusal, TargetCold)
		}
	}
}

// Guards against an explanation that forgets the measured response times of routes, and against
// forgetting all of them because of one route more.
func TestResponseTimesAreKept(t *testing.T) {
	d := newUnkeyedDispatcher(nil)
	d.config.HedgeShare = 0.05
	d.mu.Lock()
	h := d.hedgeState("s")
	for i := range maxHedgedRoutes {
		h.latency(strconv.Itoa(i), 0)
	}
	d.mu.Unlock()
	d.Explain(&route.Route{Name: "other", MaxAttempts: 2, Idempotent: true, Objective: time.Second}, "s", 0, false, time.Second)
	if n := len(h.latencies); n != maxHedgedRoutes || h.latencies["other"] != nil {
		t.Errorf("response times of %d routes after an explanation, want %d", n, maxHedgedRoutes)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.latency("other", 0); len(h.latencies) != maxHedgedRoutes || h.latencies["other"] == nil {
		t.Errorf("response times of %d routes after one more, want %d", len(h.latencies), maxHedgedRoutes)
	}
}
