package targetsrv

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/standin/memnet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a target on an in-memory network and its client, in virtual time.
type fixture struct {
	*Server
	t      *testing.T
	client http.Client
}

func withVirtualTime(t *testing.T, c Config, test func(r *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		s := New(c)
		s.Serve(n.Listen("t:80"))
		transport := &http.Transport{DialContext: n.DialContext}
		test(&fixture{s, t, http.Client{Transport: transport}})
		_ = s.Close()
		transport.CloseIdleConnections()
	})
}

// response is the response to a request and the time that it took.
type response struct {
	status  int
	outcome string
	body    string
	header  http.Header
	elapsed time.Duration
}

func (r *fixture) request(method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, "http://t"+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	start := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return response{body: err.Error(), elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get(header.Outcome), string(b), resp.Header, time.Since(start)}
}

// work sends a work request for a key.
func (r *fixture) work(id, query string, key int) response {
	return r.request(http.MethodPost, "/w?"+query, "", header.RequestID, id, header.Key, strconv.Itoa(key))
}

// grant grants the keys 5 to 7 under a fence for a second from now.
func (r *fixture) grant(fence int) grant.Reply {
	return r.postGrant(fmt.Sprintf(`{"target":"t","boot":%q,"from":5,"to":7,"fence":%d,"expires_ms":%d}`,
		r.Boot(), fence, (r.Now() + time.Second).Milliseconds()))
}

func (r *fixture) postGrant(body string) grant.Reply {
	var reply grant.Reply
	if err := json.Unmarshal([]byte(r.request(http.MethodPost, grant.Path, body).body), &reply); err != nil {
		r.t.Error(err)
	}
	return reply
}

func (r *fixture) expect(what string, a response, status int, outcome string) {
	r.t.Helper()
	if a.status != status || a.outcome != outcome {
		r.t.Errorf("%s: %d %q %q, want %d %q", what, a.status, a.outcome, a.body, status, outcome)
	}
}

// Guards against a target that checks grants but serves keys without a grant, after its
// expiry or outside of it, in particular after a freeze, and against a "not run" outcome
// for a request that did run.
func TestGrantsOverHTTP(t *testing.T) {
	withVirtualTime(t, Config{Name: "t", ChecksGrants: true}, func(r *fixture) {
		r.expect("without a grant", r.work("1", "", 5), http.StatusMisdirectedRequest, header.NotRun)
		if reply := r.grant(2); reply.Outcome != grant.Done || reply.BootID != r.Boot() {
			t.Errorf("grant: %+v", reply)
		}
		a := r.work("2", "bytes=500", 5)
		r.expect("under the grant", a, http.StatusOK, "")
		if a.body != string(Body("t", 5, "2", 0, 500)) {
			t.Errorf("body %q", a.body)
		}
		r.expect("for another key", r.work("3", "", 4), http.StatusMisdirectedRequest, header.NotRun)
		r.expect("without headers", r.request(http.MethodGet, "/w", ""), http.StatusMisdirectedRequest, header.NotRun)
		other := r.request(http.MethodGet, "/w", "", header.Key, "5", header.Target, "s/u")
		r.expect("for another target", other, http.StatusMisdirectedRequest, header.NotRun)
		if got := other.header.Get(header.Target); got != "t" {
			t.Errorf("the response names target %q", got)
		}

		before, during := make(chan response), make(chan response)
		go func() { before <- r.work("4", "work_ms=100", 5) }()
		time.Sleep(50 * time.Millisecond)
		r.UpdateFaults(func(f *Faults) { f.Frozen = true })
		go func() { during <- r.work("5", "", 5) }()
		time.Sleep(2 * time.Second)
		r.UpdateFaults(func(f *Faults) { f.Frozen = false })
		a = <-before
		r.expect("started before the freeze", a, http.StatusOK, "")
		if a.elapsed != 2050*time.Millisecond {
			t.Errorf("work progressed during the freeze: response after %v", a.elapsed)
		}
		r.expect("sent during the freeze", <-during, http.StatusMisdirectedRequest, header.NotRun)
		r.grant(6)
		if reply := r.grant(5); reply.Outcome != grant.Fenced {
			t.Errorf("grant under a lower fence: %+v", reply)
		}
		r.expect("under the new grant", r.work("6", "", 6), http.StatusOK, "")
		for id, runs := range map[string]int{"1": 0, "2": 1, "3": 0, "4": 1, "5": 0, "6": 1} {
			if n := len(r.Runs().ByRequestID(id)); n != runs {
				t.Errorf("request %s ran %d times", id, n)
			}
		}
	})
}

// Guards against a release that is confirmed while a request for its keys is running:
// the next owner would run requests for them at the same time.
func TestReleaseWaitsForRunningRequests(t *testing.T) {
	withVirtualTime(t, Config{Name: "t", ChecksGrants: true}, func(r *fixture) {
		r.grant(2)
		running, unrelated := make(chan response), make(chan response)
		go func() { running <- r.work("1", "work_ms=700", 6) }()
		go func() { unrelated <- r.work("2", "work_ms=5000", 7) }()
		synctest.Wait()
		start := r.Now()
		reply := r.postGrant(fmt.Sprintf(`{"target":"t","boot":%q,"from":5,"to":6,"fence":2,"release":true}`, r.Boot()))
		if took := r.Now() - start; reply.Outcome != grant.Done || took != 700*time.Millisecond {
			t.Errorf("released after %v: %+v", took, reply)
		}
		r.expect("running", <-running, http.StatusOK, "")
		r.expect("after the release", r.work("3", "", 6), http.StatusMisdirectedRequest, header.NotRun)
		if reply := r.grant(2); reply.Outcome != grant.Fenced {
			t.Errorf("grant under the released fence: %+v", reply)
		}
		r.expect("unrelated", <-unrelated, http.StatusOK, "")
	})
}

// Guards against a stand-in that is more lenient than a real target: one that runs more
// requests than it has slots, has no cold start, or ignores deadlines and cancellation.
func TestSlotsColdStartDeadlineAndCancellation(t *testing.T) {
	withVirtualTime(t, Config{Name: "t", Slots: 2, ColdFor: 10 * time.Second, ColdFactor: 5}, func(r *fixture) {
		if a := r.work("cold", "work_ms=10", 0); a.elapsed != 50*time.Millisecond {
			t.Errorf("cold request took %v", a.elapsed)
		}
		time.Sleep(10 * time.Second)
		if a := r.work("warm", "work_ms=10&chunks=5&bytes=100", 0); a.elapsed != 10*time.Millisecond {
			t.Errorf("warm request took %v", a.elapsed)
		}
		r.UpdateFaults(func(f *Faults) { f.Slowdown = 3 })
		if a := r.work("slow", "work_ms=10", 0); a.elapsed != 30*time.Millisecond {
			t.Errorf("slowed request took %v", a.elapsed)
		}
		r.UpdateFaults(func(f *Faults) { f.Slowdown = 0 })
		late := r.request(http.MethodGet, "/w?work_ms=100", "", header.RequestID, "late", header.DeadlineMs, "20")
		r.expect("past its deadline", late, http.StatusGatewayTimeout, header.Unknown)
		r.expect("deadline of zero", r.request(http.MethodGet, "/w", "", header.DeadlineMs, "0"), http.StatusGatewayTimeout, header.NotRun)

		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://t/w?work_ms=1000", nil)
		req.Header.Set(header.RequestID, "cancelled")
		go func() { _, _ = r.client.Do(req) }()
		go r.work("running", "work_ms=1000", 0)
		time.Sleep(100 * time.Millisecond)
		shed := r.work("shed", "", 0)
		r.expect("without a slot", shed, http.StatusServiceUnavailable, header.NotRun)
		// Daemons send nothing to a target that asks for a pause.
		if shed.header.Get("Retry-After") != "" || shed.header.Get(header.RequestID) != "shed" {
			t.Errorf("shed with Retry-After %q and the request ID %q", shed.header.Get("Retry-After"), shed.header.Get(header.RequestID))
		}
		cancel()
		synctest.Wait()
		r.expect("after a cancellation", r.work("next", "", 0), http.StatusOK, "")
		for id, want := range map[string]RunState{"cold": RunDone, "late": RunDeadline, "cancelled": RunCancelled, "running": RunRunning} {
			if runs := r.Runs().ByRequestID(id); len(runs) != 1 || runs[0].State != want {
				t.Errorf("record of %s: %+v, want %s", id, runs, want)
			}
		}
		if st := r.Stats(); st.MostRunning != 2 || st.Shed != 1 {
			t.Errorf("%+v", st)
		}
	})
}

// Guards against a drain that interrupts running requests, is not announced or accepts
// new requests indefinitely, and against injected health reports without effect.
func TestDrainAndReports(t *testing.T) {
	withVirtualTime(t, Config{Name: "t"}, func(r *fixture) {
		running := make(chan response)
		go func() { running <- r.work("1", "work_ms=5000", 0) }()
		time.Sleep(time.Second)
		r.UpdateFaults(func(f *Faults) { f.Report = ReportStale })
		drained := make(chan error)
		go func() { drained <- r.Drain(context.Background()) }()
		synctest.Wait()
		if !r.grant(1).Draining {
			t.Error("the drain is not announced")
		}
		r.expect("within the grace", r.work("2", "", 0), http.StatusOK, "")
		r.expect("stale health", r.request(http.MethodGet, HealthPath, ""), http.StatusOK, "")
		time.Sleep(DefaultDrainGrace)
		r.expect("after the grace", r.work("3", "", 0), http.StatusServiceUnavailable, header.NotRun)
		r.expect("running", <-running, http.StatusOK, "")
		if err := <-drained; err != nil || r.Now() != 5*time.Second {
			t.Errorf("drained with %v at %v", err, r.Now())
		}
		faults := func(body string) response { return r.request(http.MethodPut, FaultsPath, body) }
		r.expect("unknown fault", faults(`{"frozn":true}`), http.StatusBadRequest, "")
		r.expect("set over HTTP", faults(`{"draining":true,"frozen":true,"report":"good"}`), http.StatusOK, "")
		r.expect("false report while frozen", r.request(http.MethodGet, HealthPath, ""), http.StatusOK, "")
		r.expect("cleared", faults(`{"draining":true}`), http.StatusOK, "")
		r.expect("actual health", r.request(http.MethodGet, HealthPath, ""), http.StatusServiceUnavailable, "")
		var reply RunsReply
		if err := json.Unmarshal([]byte(r.request(http.MethodGet, RunsPath+"?since=1", "").body), &reply); err != nil {
			t.Fatal(err)
		}
		if len(reply.Runs) != 1 || reply.Runs[0].RequestID != "2" || !reply.Runs[0].Draining {
			t.Errorf("%+v", reply)
		}
	})
}

// Guards against runs that start after the target was closed, which would be missing
// from a run log that was read at that time.
func TestNoRunStartsAfterClose(t *testing.T) {
	withVirtualTime(t, Config{Name: "t"}, func(r *fixture) {
		r.UpdateFaults(func(f *Faults) { f.Frozen = true })
		waiting := make(chan response)
		go func() { waiting <- r.work("1", "", 0) }()
		synctest.Wait()
		_ = r.Close()
		if a := <-waiting; a.status != 0 {
			t.Errorf("answered with %d", a.status)
		}
		synctest.Wait()
		if n := len(r.Runs().ByRequestID("1")); n != 0 {
			t.Errorf("ran %d times", n)
		}
	})
}

// Guards against a run log that discards runs without counting them.
func TestRunLogCountsDiscardedRuns(t *testing.T) {
	l := NewRunLog(4)
	for i := range 7 {
		seq := l.Begin(Run{RequestID: strconv.Itoa(i)}, 0)
		l.End(seq, RunDone, 0)
	}
	runs, discarded := l.Since(0)
	if discarded+len(runs) != 7 || runs[len(runs)-1].Seq != 6 || runs[0].RequestID != strconv.Itoa(discarded) {
		t.Errorf("%d runs discarded, log holds %+v", discarded, runs)
	}
	l.End(0, RunCut, 0)
}

// Guards against a stand-in whose faults do not show in its responses: tests of daemons that
// follow them would pass whatever the daemons do.
func TestSaysThatItLeavesAndPauses(t *testing.T) {
	withVirtualTime(t, Config{}, func(r *fixture) {
		r.UpdateFaults(func(f *Faults) { f.Leaving = true })
		if got := r.work("1", "", 0).header.Get(header.Leaving); got != "1" {
			t.Errorf("a leaving target answers with %s: %q", header.Leaving, got)
		}
		r.UpdateFaults(func(f *Faults) { *f = Faults{PauseSeconds: 1.5} })
		refused := r.work("2", "", 0)
		r.expect("in a pause", refused, http.StatusServiceUnavailable, header.NotRun)
		if got := refused.header.Get("Retry-After"); got != "1.5" {
			t.Errorf("a target that asks for a pause answers with Retry-After %q", got)
		}
	})
}
