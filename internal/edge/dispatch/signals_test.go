package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// signalNames are the header names of targets that say that they are leaving.
var signalNames = &upstream.HeaderNames{RequestID: "Id", NotRun: "Not-Run", Leaving: "Leaving"}

// addressDocs decodes the registrations of targets of a service without keys, whose values are
// their addresses.
type addressDocs struct{ noDocuments }

func (addressDocs) DecodeConfig([]byte) (*route.Config, error) {
	return route.New(1, nil, []route.Service{{Name: "s", MaxConnections: 100}}, route.Limits{}), nil
}

func (addressDocs) DecodeTarget(key string, b []byte) (target.Record, error) {
	return target.Record{ID: strings.TrimPrefix(key, "targets/"), Service: "s", Address: string(b), Slots: 4, Epoch: 1}, nil
}

// newUnkeyedDispatcher returns a dispatcher for a service without keys with the given targets.
func newUnkeyedDispatcher(targets map[string]*httptest.Server) *Dispatcher {
	return newUnkeyedDispatcherOf(addressDocs{}, targets)
}

// newUnkeyedDispatcherOf is newUnkeyedDispatcher with documents that decode the service.
func newUnkeyedDispatcherOf(docs view.Documents, targets map[string]*httptest.Server) *Dispatcher {
	log := slog.New(slog.DiscardHandler)
	views := view.NewTracker(docs, log, func() mirror.Status { return mirror.Status{Up: true} })
	entries := []topo.Entry{{Key: "config", CreateRev: 1, ModRev: 1}, {Key: view.DaemonKey("d"), CreateRev: 1, ModRev: 1}}
	for id, server := range targets {
		entries = append(entries, topo.Entry{Key: "targets/" + id, Value: []byte(strings.TrimPrefix(server.URL, "http://")), CreateRev: 1, ModRev: 1})
	}
	views.Apply(mirror.Change{Snapshot: true, Entries: entries})
	d := New(Config{
		Names: signalNames, Views: views, Log: log, RetryBudget: budget.Bound{Ratio: 1, Slack: 100, Window: time.Second},
		ObserveSend: func(string, string, time.Duration) {}, ObserveKey: func(string, uint16) {}, ObserveServiceTime: func(peers.TargetHash, time.Duration) {},
	})
	d.started -= time.Second // the retry budget grows within its window
	return d
}

func (d *Dispatcher) dispatchUnkeyed(maxAttempts int) (*upstream.Response, *Refusal) {
	return d.dispatchRoute(&route.Route{MaxAttempts: maxAttempts})
}

func (d *Dispatcher) dispatchRoute(r *route.Route) (*upstream.Response, *Refusal) {
	now := clock.Now()
	return d.Do(context.Background(), &Request{
		ID: "1", Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Route: r, Service: "s",
		Arrived: now, Deadline: now + 2*time.Second,
	})
}

// startTarget starts a target that counts its requests and answers with the headers that
// respond sets.
func startTarget(t *testing.T, arrived *atomic.Int64, respond func(http.Header) int) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(respond(w.Header()))
	}))
	t.Cleanup(server.Close)
	return server
}

// pause answers 503 with the given Retry-After.
func pause(after string) func(http.Header) int {
	return func(h http.Header) int {
		h.Set("Not-Run", "1")
		h.Set("Retry-After", after)
		return http.StatusServiceUnavailable
	}
}

// Guards against more requests to a target that asked for a pause, and against refusing the
// requests that other targets can serve.
func TestPausedTargetIsLeftOut(t *testing.T) {
	var paused, other atomic.Int64
	d := newUnkeyedDispatcher(map[string]*httptest.Server{
		"paused": startTarget(t, &paused, pause("5")),
		"other":  startTarget(t, &other, func(http.Header) int { return http.StatusOK }),
	})
	for range 40 {
		if resp, refusal := d.dispatchUnkeyed(2); refusal != nil || resp.Status != http.StatusOK {
			t.Fatalf("response %+v, refusal %+v; the other target has room", resp, refusal)
		}
	}
	if n := paused.Load(); n > 1 {
		t.Errorf("%d requests reached the target that asked for a pause with its first response", n)
	}
}

// Guards against holding a request, or asking its caller to return too soon, when every target
// asked for a pause; and against leaving the targets out after the pause.
func TestPauseOfAllTargets(t *testing.T) {
	var arrived atomic.Int64
	var open atomic.Bool
	respond := func(h http.Header) int {
		if open.Load() {
			return http.StatusOK
		}
		return pause("1")(h)
	}
	d := newUnkeyedDispatcher(map[string]*httptest.Server{"t": startTarget(t, &arrived, respond)})
	_, refusal := d.dispatchUnkeyed(1)
	if refusal == nil || refusal.MayHaveRun || refusal.Reason != TargetPaused || refusal.RetryAfter < 500*time.Millisecond {
		t.Fatalf("first request: %+v, want a refusal until the end of the pause", refusal)
	}
	open.Store(true)
	start := time.Now()
	_, refusal = d.dispatchUnkeyed(1)
	if took := time.Since(start); refusal == nil || refusal.Reason != TargetPaused || took > 500*time.Millisecond || arrived.Load() != 1 {
		t.Errorf("during the pause: %+v after %v, %d requests arrived", refusal, took, arrived.Load())
	}
	time.Sleep(time.Second)
	if _, refusal = d.dispatchUnkeyed(1); refusal != nil {
		t.Errorf("after the pause: %+v", refusal)
	}
}

// Guards against new requests to a target that said that it is leaving while another target
// serves, and against refusing them while it is the only one.
func TestLeavingTargetIsLeftOut(t *testing.T) {
	var leaving, other atomic.Int64
	leave := func(h http.Header) int {
		h.Set("Leaving", "1")
		return http.StatusOK
	}
	servers := map[string]*httptest.Server{"leaving": startTarget(t, &leaving, leave)}
	alone := newUnkeyedDispatcher(servers)
	for range 3 {
		if _, refusal := alone.dispatchUnkeyed(1); refusal != nil {
			t.Fatalf("request to the only target, which is leaving: %+v", refusal)
		}
	}
	servers["other"] = startTarget(t, &other, func(http.Header) int { return http.StatusOK })
	leaving.Store(0)
	d := newUnkeyedDispatcher(servers)
	for range 40 {
		if _, refusal := d.dispatchUnkeyed(1); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if n := leaving.Load(); n > 1 {
		t.Errorf("%d requests reached a target that said with its first response that it is leaving", n)
	}
}

// Guards against requests to the owner of a key for longer than the drain time after it said
// that it is leaving.
func TestLeavingOwnerServesUntilDrained(t *testing.T) {
	const drainTime = time.Second
	var mu sync.Mutex
	var last time.Time
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		last = time.Now()
		mu.Unlock()
		w.Header().Set("Leaving", "1")
	}))
	defer server.Close()
	d := newTestDispatcher(strings.TrimPrefix(server.URL, "http://"), false)
	d.config.Names = signalNames
	d.config.Views.SetDrainTime(drainTime)
	start := time.Now()
	served := 0
	for time.Since(start) < 2*drainTime {
		if _, refusal := d.dispatch(&route.Route{MaxAttempts: 1}); refusal == nil {
			served++
		} else if refusal.MayHaveRun || refusal.Reason != NoOwner {
			t.Fatalf("refused: %+v", refusal)
		}
		time.Sleep(5 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if served < 5 {
		t.Errorf("%d requests served before the keys could move, want several", served)
	}
	if after := last.Sub(start); after > drainTime {
		t.Errorf("a request reached the owner %v after it said that it is leaving", after)
	}
}

// Guards against forgetting a target's pause when its registration is missing for a moment, as another
// writer's entry replaced it: requests reached the target within the pause.
func TestPauseOutlastsMissingRegistration(t *testing.T) {
	var arrived atomic.Int64
	server := startTarget(t, &arrived, pause("5"))
	d := newUnkeyedDispatcher(map[string]*httptest.Server{"t": server})
	if _, refusal := d.dispatchUnkeyed(1); refusal == nil || refusal.Reason != TargetPaused {
		t.Fatalf("first request: %+v, want a refusal because of the pause", refusal)
	}
	entry := topo.Entry{Key: "targets/t", ModRev: 2}
	d.config.Views.Apply(mirror.Change{Entries: []topo.Entry{entry}})
	d.CloseRemovedTargets()
	entry.Value, entry.CreateRev, entry.ModRev = []byte(strings.TrimPrefix(server.URL, "http://")), 1, 3
	d.config.Views.Apply(mirror.Change{Entries: []topo.Entry{entry}})
	if _, refusal := d.dispatchUnkeyed(1); refusal == nil || refusal.Reason != TargetPaused || arrived.Load() != 1 {
		t.Errorf("second request: %+v, %d requests arrived, want a refusal and one", refusal, arrived.Load())
	}
}
