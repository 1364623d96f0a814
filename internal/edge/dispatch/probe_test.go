package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/probing"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// healthDocs are addressDocs for a service with a health path.
type healthDocs struct{ addressDocs }

func (healthDocs) DecodeConfig([]byte) (*route.Config, error) {
	return route.New(1, nil, []route.Service{{Name: "s", MaxConnections: 100, HealthPath: "/health"}}, route.Limits{}), nil
}

// loadTarget is a target that reports its load.
type loadTarget struct {
	// requestReport and probeReport are the load reports in the responses to requests and to
	// probes; empty for none.
	requestReport, probeReport string
	probeStatus                int
	probeDelay                 time.Duration
	id                         string
	requests, probes           atomic.Int64
}

func (l *loadTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Target", l.id)
	if r.URL.Path != "/health" {
		l.requests.Add(1)
		w.Header().Set("Load", l.requestReport)
		return
	}
	l.probes.Add(1)
	time.Sleep(l.probeDelay)
	w.Header().Set("Load", l.probeReport)
	w.WriteHeader(l.probeStatus)
}

// newProbingDispatcher returns a dispatcher for a service with the given targets, which has
// received a load report before.
func newProbingDispatcher(t *testing.T, targets map[string]*loadTarget) *Dispatcher {
	t.Helper()
	servers := make(map[string]*httptest.Server)
	for id, l := range targets {
		l.id = id
		if l.probeStatus == 0 {
			l.probeStatus = http.StatusOK
		}
		servers[id] = httptest.NewServer(l)
		t.Cleanup(servers[id].Close)
	}
	d := newUnkeyedDispatcherOf(healthDocs{}, servers)
	names := *signalNames
	names.Load, names.TargetID = "Load", "Target"
	d.config.Names = &names
	return d
}

func (d *Dispatcher) dispatchMany(t *testing.T, n int) {
	t.Helper()
	for range n {
		if resp, refusal := d.dispatchUnkeyed(1); refusal != nil || resp.Status != http.StatusOK {
			t.Fatalf("response %+v, refusal %+v", resp, refusal)
		}
		time.Sleep(30 * time.Millisecond) // the reports of earlier requests get too old
	}
}

// Guards against using the status of a health response, which may be false, and against ignoring
// the load in it.
func TestProbeUsesLoadAndNotStatus(t *testing.T) {
	free := &loadTarget{requestReport: "0,0,4,100", probeReport: "0,0,4,100", probeStatus: http.StatusServiceUnavailable}
	full := &loadTarget{requestReport: "4,6,4,100", probeReport: "4,6,4,100"}
	slow := &loadTarget{requestReport: "0,0,4,900", probeReport: "0,0,4,900"}
	d := newProbingDispatcher(t, map[string]*loadTarget{"free": free, "full": full, "slow": slow})
	d.dispatchMany(t, 1)
	times := make(peers.ServiceTimes)
	for _, id := range []string{"free", "full", "slow"} {
		times[peers.HashTarget(id)] = 50
	}
	d.SetServiceTimes(times)
	d.dispatchMany(t, 30)
	if n := free.requests.Load(); n < 29 {
		t.Errorf("%d of 31 requests reached the free target, which reports a bad health; full %d, slow %d", n, full.requests.Load(), slow.requests.Load())
	}
}

// Guards against probes of targets that have never reported their load.
func TestTargetsWithoutReportsAreNotProbed(t *testing.T) {
	l := &loadTarget{probeReport: "0,0,4,100"}
	d := newProbingDispatcher(t, map[string]*loadTarget{"t": l})
	d.dispatchMany(t, 5)
	if l.probes.Load() > 0 {
		t.Errorf("%d probes of a target whose responses have no load report", l.probes.Load())
	}
}

// Guards against requests that wait for a target that does not answer probes, against taking
// that for a failure of the target, and against probing it all the time.
func TestProbeTimeout(t *testing.T) {
	silent := &loadTarget{requestReport: "0,0,4", probeDelay: 2 * probeTimeout}
	d := newProbingDispatcher(t, map[string]*loadTarget{"silent": silent})
	start := time.Now()
	d.dispatchMany(t, 10)
	// Each request waits for a round at most, and each pause between them takes 30 ms.
	if took := time.Since(start); took > 10*(30*time.Millisecond+probing.MaxRounds*roundTimeout)+200*time.Millisecond {
		t.Errorf("10 requests took %v", took)
	}
	if n := silent.probes.Load(); n < 1 || n > 2 {
		t.Errorf("%d probes of the silent target, want one or two", n)
	}
	time.Sleep(probeTimeout)
	if loads := d.TargetLoads(); len(loads) != 1 || loads[0].Suspect {
		t.Errorf("target after probes without an answer: %+v", loads)
	}
}

// Guards against a probe that takes the last connection to a target, that waits for one, or that
// counts as unanswered because there was none.
func TestProbeLeavesConnectionsToRequests(t *testing.T) {
	l := &loadTarget{probeReport: "0,0,4,100"}
	d := newProbingDispatcher(t, map[string]*loadTarget{"t": l})
	d.dispatchMany(t, 1)
	d.mu.Lock()
	var ep *endpoint
	for _, ep = range d.endpoints {
		ep.limit = 2
		ep.pool.SetLimit(0)
		ep.estimate.Running = 1
	}
	eps, _ := probingCandidates([]*endpoint{ep}, clock.Now())
	d.mu.Unlock()
	if len(eps) > 0 {
		t.Error("a target is probed although a request may need its last connection")
	}
	ep.pool.CloseIdle()
	start := time.Now()
	d.probeTarget(t.Context(), "/health", ep)
	if took := time.Since(start); took > probeTimeout/2 || l.probes.Load() > 0 {
		t.Errorf("probe without a connection took %v, %d probes arrived", took, l.probes.Load())
	}
	if !ep.probe.Available(clock.Now()) {
		t.Error("target counts as silent after a probe without a connection")
	}
}

// Guards against the report of another target that has taken over the address.
func TestProbeOfAnotherTargetIsNoReport(t *testing.T) {
	d := New(Config{Names: &upstream.HeaderNames{TargetID: "Target", Load: "Load"}})
	for _, c := range []struct {
		header http.Header
		status int
		want   string
	}{
		{http.Header{"Target": {"t"}, "Load": {"1,0,2"}}, http.StatusOK, probeAnswered},
		{http.Header{"Load": {"1,0,2"}}, http.StatusServiceUnavailable, probeAnswered},
		{http.Header{"Target": {"other"}, "Load": {"1,0,2"}}, http.StatusOK, probeOtherTarget},
		{http.Header{"Load": {"1,0,2"}}, http.StatusMisdirectedRequest, probeOtherTarget},
		{http.Header{"Target": {"t"}, "Load": {"1,0"}}, http.StatusOK, probeNoReport},
		{http.Header{"Target": {"t"}}, http.StatusOK, probeNoReport},
	} {
		if _, got := d.probeResult(&endpoint{id: "t"}, &upstream.Response{Status: c.status, Header: c.header}, nil); got != c.want {
			t.Errorf("%d %v: %q, want %q", c.status, c.header, got, c.want)
		}
	}
	if _, got := d.probeResult(&endpoint{}, nil, upstream.ErrPoolExhausted); got != probeNoConnection {
		t.Errorf("pool exhausted: %q", got)
	}
}

// Shows that the work of one choice does not grow with the number of targets.
func BenchmarkProbedChoice(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := make(map[string]*httptest.Server)
			for i := range n {
				servers[fmt.Sprint(i)] = &httptest.Server{URL: fmt.Sprintf("http://127.0.0.1:%d", i+1)}
			}
			d := newUnkeyedDispatcherOf(healthDocs{}, servers)
			v := d.config.Views.Current()
			for b.Loop() {
				now := clock.Now()
				t := &requestState{req: &Request{Service: "s", Route: &route.Route{}, Deadline: now + time.Second}, window: d.window.ForRequest()}
				d.serviceState("s").probes.RecordReport(now)
				d.countRequest("s")
				_, probed := d.startRound(v, t, now, 0)
				for _, ep := range probed {
					ep.probe.End(now, probing.Answered)
					d.recordReport(ep, upstream.LoadReport{Slots: 4, Slowdown: 1}, now)
				}
				ep, reason := d.chooseAny(v, t)
				if ep == nil {
					b.Fatal(reason)
				}
				d.releaseReservation(ep)
			}
		})
	}
}
