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

// rig is a target in memory and a client of it, in virtual time.
type rig struct {
	*Server
	t      *testing.T
	client http.Client
}

func inVirtualTime(t *testing.T, c Config, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		s := New(c)
		s.Serve(n.Listen("t:80"))
		transport := &http.Transport{DialContext: n.DialContext}
		test(&rig{s, t, http.Client{Transport: transport}})
		_ = s.Close()
		transport.CloseIdleConnections()
	})
}

// answer is what a request got, and after how long.
type answer struct {
	status  int
	outcome string
	body    string
	header  http.Header
	after   time.Duration
}

func (r *rig) do(method, path, body string, headers ...string) answer {
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
		return answer{body: err.Error(), after: time.Since(start)}
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get(header.Outcome), string(b), resp.Header, time.Since(start)}
}

// work sends a request for a key.
func (r *rig) work(id, query string, key int) answer {
	return r.do(http.MethodPost, "/w?"+query, "", header.RequestID, id, header.Key, strconv.Itoa(key))
}

// grant grants the keys 5 to 7 under a fence for a second from now.
func (r *rig) grant(fence int) grant.Reply {
	return r.exchange(fmt.Sprintf(`{"target":"t","boot":%q,"from":5,"to":7,"fence":%d,"expires_ms":%d}`,
		r.Boot(), fence, (r.Now() + time.Second).Milliseconds()))
}

func (r *rig) exchange(body string) grant.Reply {
	var reply grant.Reply
	if err := json.Unmarshal([]byte(r.do(http.MethodPost, grant.Path, body).body), &reply); err != nil {
		r.t.Error(err)
	}
	return reply
}

func (r *rig) expect(what string, a answer, status int, outcome string) {
	r.t.Helper()
	if a.status != status || a.outcome != outcome {
		r.t.Errorf("%s: %d %q %q, want %d %q", what, a.status, a.outcome, a.body, status, outcome)
	}
}

// Guards against a checking target that serves without, after or beside its
// grant, in particular after a freeze, and against a false "not run".
func TestGrantsOverHTTP(t *testing.T) {
	inVirtualTime(t, Config{Name: "t", ChecksGrants: true}, func(r *rig) {
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
		r.expect("without headers", r.do(http.MethodGet, "/w", ""), http.StatusMisdirectedRequest, header.NotRun)
		other := r.do(http.MethodGet, "/w", "", header.Key, "5", header.Target, "s/u")
		r.expect("for another target", other, http.StatusMisdirectedRequest, header.NotRun)
		if got := other.header.Get(header.Target); got != "t" {
			t.Errorf("the answer names target %q", got)
		}

		before, during := make(chan answer), make(chan answer)
		go func() { before <- r.work("4", "work_ms=100", 5) }()
		time.Sleep(50 * time.Millisecond)
		r.UpdateFaults(func(f *Faults) { f.Frozen = true })
		go func() { during <- r.work("5", "", 5) }()
		time.Sleep(2 * time.Second)
		r.UpdateFaults(func(f *Faults) { f.Frozen = false })
		a = <-before
		r.expect("started before the freeze", a, http.StatusOK, "")
		if a.after != 2050*time.Millisecond {
			t.Errorf("frozen work went on: answered after %v", a.after)
		}
		r.expect("sent during the freeze", <-during, http.StatusMisdirectedRequest, header.NotRun)
		r.grant(6)
		if reply := r.grant(5); reply.Outcome != grant.Fenced {
			t.Errorf("grant under a former fence: %+v", reply)
		}
		r.expect("under the new grant", r.work("6", "", 6), http.StatusOK, "")
		for id, runs := range map[string]int{"1": 0, "2": 1, "3": 0, "4": 1, "5": 0, "6": 1} {
			if n := len(r.Runs().Of(id)); n != runs {
				t.Errorf("request %s ran %d times", id, n)
			}
		}
	})
}

// Guards against a release that is answered while a request for the keys runs: the
// next owner would run beside it.
func TestReleaseWaitsForItsKeys(t *testing.T) {
	inVirtualTime(t, Config{Name: "t", ChecksGrants: true}, func(r *rig) {
		r.grant(2)
		running, unrelated := make(chan answer), make(chan answer)
		go func() { running <- r.work("1", "work_ms=700", 6) }()
		go func() { unrelated <- r.work("2", "work_ms=5000", 7) }()
		synctest.Wait()
		start := r.Now()
		reply := r.exchange(fmt.Sprintf(`{"target":"t","boot":%q,"from":5,"to":6,"fence":2,"release":true}`, r.Boot()))
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

// Guards against a stand-in that is easier to use than a real target: more
// slots than configured, no cold start, deadlines and cancellation ignored.
func TestLimitsOfWork(t *testing.T) {
	inVirtualTime(t, Config{Name: "t", Slots: 2, ColdFor: 10 * time.Second, ColdFactor: 5}, func(r *rig) {
		if a := r.work("cold", "work_ms=10", 0); a.after != 50*time.Millisecond {
			t.Errorf("cold request took %v", a.after)
		}
		time.Sleep(10 * time.Second)
		if a := r.work("warm", "work_ms=10&chunks=5&bytes=100", 0); a.after != 10*time.Millisecond {
			t.Errorf("warm request took %v", a.after)
		}
		r.UpdateFaults(func(f *Faults) { f.Slowdown = 3 })
		if a := r.work("slow", "work_ms=10", 0); a.after != 30*time.Millisecond {
			t.Errorf("slowed request took %v", a.after)
		}
		r.UpdateFaults(func(f *Faults) { f.Slowdown = 0 })
		late := r.do(http.MethodGet, "/w?work_ms=100", "", header.RequestID, "late", header.DeadlineMs, "20")
		r.expect("past its deadline", late, http.StatusGatewayTimeout, header.Unknown)
		r.expect("too late", r.do(http.MethodGet, "/w", "", header.DeadlineMs, "0"), http.StatusGatewayTimeout, header.NotRun)

		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://t/w?work_ms=1000", nil)
		req.Header.Set(header.RequestID, "cancelled")
		go func() { _, _ = r.client.Do(req) }()
		go r.work("running", "work_ms=1000", 0)
		time.Sleep(100 * time.Millisecond)
		shed := r.work("shed", "", 0)
		r.expect("without a slot", shed, http.StatusServiceUnavailable, header.NotRun)
		if shed.header.Get("Retry-After") == "" {
			t.Error("shed without Retry-After")
		}
		cancel()
		synctest.Wait()
		r.expect("after a cancellation", r.work("next", "", 0), http.StatusOK, "")
		for id, want := range map[string]RunState{"cold": RunDone, "late": RunDeadline, "cancelled": RunCancelled, "running": RunRunning} {
			if runs := r.Runs().Of(id); len(runs) != 1 || runs[0].State != want {
				t.Errorf("record of %s: %+v, want %s", id, runs, want)
			}
		}
		if st := r.Stats(); st.MostRunning != 2 || st.Shed != 1 {
			t.Errorf("%+v", st)
		}
	})
}

// Guards against a drain that breaks running work, that is not announced, or
// that takes new work for ever; and against health reports that cannot lie.
func TestDrainAndReports(t *testing.T) {
	inVirtualTime(t, Config{Name: "t"}, func(r *rig) {
		running := make(chan answer)
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
		r.expect("stale health", r.do(http.MethodGet, HealthPath, ""), http.StatusOK, "")
		time.Sleep(DefaultDrainGrace)
		r.expect("after the grace", r.work("3", "", 0), http.StatusServiceUnavailable, header.NotRun)
		r.expect("running", <-running, http.StatusOK, "")
		if err := <-drained; err != nil || r.Now() != 5*time.Second {
			t.Errorf("drained with %v at %v", err, r.Now())
		}
		faults := func(body string) answer { return r.do(http.MethodPut, FaultsPath, body) }
		r.expect("unknown fault", faults(`{"frozn":true}`), http.StatusBadRequest, "")
		r.expect("set over HTTP", faults(`{"draining":true,"frozen":true,"report":"good"}`), http.StatusOK, "")
		r.expect("lie while frozen", r.do(http.MethodGet, HealthPath, ""), http.StatusOK, "")
		r.expect("cleared", faults(`{"draining":true}`), http.StatusOK, "")
		r.expect("true health", r.do(http.MethodGet, HealthPath, ""), http.StatusServiceUnavailable, "")
		var reply RunsReply
		if err := json.Unmarshal([]byte(r.do(http.MethodGet, RunsPath+"?since=1", "").body), &reply); err != nil {
			t.Fatal(err)
		}
		if len(reply.Runs) != 1 || reply.Runs[0].RequestID != "2" || !reply.Runs[0].Draining {
			t.Errorf("%+v", reply)
		}
	})
}

// Guards against runs that start after the target has disappeared, which would
// be missing from a record read at that time.
func TestNothingRunsAfterClose(t *testing.T) {
	inVirtualTime(t, Config{Name: "t"}, func(r *rig) {
		r.UpdateFaults(func(f *Faults) { f.Frozen = true })
		waiting := make(chan answer)
		go func() { waiting <- r.work("1", "", 0) }()
		synctest.Wait()
		_ = r.Close()
		if a := <-waiting; a.status != 0 {
			t.Errorf("answered with %d", a.status)
		}
		synctest.Wait()
		if n := len(r.Runs().Of("1")); n != 0 {
			t.Errorf("ran %d times", n)
		}
	})
}

// Guards against a record that loses runs without saying so.
func TestRunLogCountsWhatItForgets(t *testing.T) {
	l := NewRunLog(4)
	for i := range 7 {
		seq := l.Begin(Run{RequestID: strconv.Itoa(i)}, 0)
		l.End(seq, RunDone, 0)
	}
	runs, forgotten := l.Since(0)
	if forgotten+len(runs) != 7 || runs[len(runs)-1].Seq != 6 || runs[0].RequestID != strconv.Itoa(forgotten) {
		t.Errorf("forgot %d, holds %+v", forgotten, runs)
	}
	l.End(0, RunCut, 0)
}
