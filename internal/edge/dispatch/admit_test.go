package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// sharedDocs decodes a configuration whose version is the length of its value. Routes of
// different priority share the service if the value ends with "s".
type sharedDocs struct{ singleTargetDocs }

func (o sharedDocs) DecodeConfig(b []byte) (*route.Config, error) {
	to := []route.WeightedService{{Service: "s", Weight: 1}}
	routes := []route.Route{{Name: "urgent", Priority: 1, Objective: 400 * time.Millisecond, WeightedServices: to}}
	if strings.HasSuffix(string(b), "s") {
		routes = append(routes, route.Route{Name: "less", Priority: 2, Objective: time.Second, WeightedServices: to})
	}
	return route.New(uint64(len(b)), routes, []route.Service{o.service}, route.Limits{}), nil
}

// newSharedDispatcher returns the dispatcher of newTestDispatcher with the routes of sharedDocs.
func newSharedDispatcher(address string) *Dispatcher {
	d := newTestDispatcher(address, false)
	old := d.config.Views.Current()
	record, _ := old.Targets.Get("t")
	docs := sharedDocs{singleTargetDocs{service: route.Service{Name: "s", MaxConnections: 100, Keyed: true}, record: record}}
	d.config.Views = view.NewTracker(docs, d.config.Log, func() mirror.Status { return mirror.Status{Up: true} })
	table, err := old.Tables["s"].Encode()
	if err != nil {
		panic(err) // it was decoded from an encoded table
	}
	d.config.Views.Apply(mirror.Change{Snapshot: true, Entries: []topo.Entry{
		{Key: "config", Value: []byte("s"), CreateRev: 1, ModRev: 1}, {Key: "targets/t", CreateRev: 1, ModRev: 1},
		{Key: view.RangesKey("s"), Value: table, CreateRev: 1, ModRev: 1}, {Key: view.DaemonKey("d"), CreateRev: 1, ModRev: 1},
	}})
	return d
}

// Guards against long waits of callers whose request a target in trouble refused although it
// has room, and against a short Retry-After while the target is full.
func TestRefusedCallersReturnSoonWhereThereIsRoom(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	r := &route.Route{Priority: 2, Objective: time.Second, MaxAttempts: 1}
	d := newSharedDispatcher(strings.TrimPrefix(server.URL, "http://"))
	if _, refusal := d.dispatch(r); refusal == nil || refusal.MayHaveRun || refusal.RetryAfter >= retryAfterFull {
		t.Errorf("refused by a target with room: %+v", refusal)
	}
	d.mu.Lock()
	for _, ep := range d.endpoints {
		ep.estimate.RunningElsewhere = 50
	}
	d.mu.Unlock()
	if _, refusal := d.dispatch(r); refusal == nil || refusal.Sends > 0 || refusal.RetryAfter < retryAfterFull || refusal.Inputs.Admission != "full" {
		t.Errorf("refused at a full target: %+v", refusal)
	}
}

// Guards against losing what is known of a service's classes with each new configuration, and
// against class rules for a service that has one priority.
func TestSharedServiceFollowsConfiguration(t *testing.T) {
	d := newSharedDispatcher("")
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.sharedService("s")
	if first == nil {
		t.Fatal("no state of a service that two priorities share")
	}
	apply := func(value string, rev int64) *admission.Service {
		d.config.Views.Apply(mirror.Change{Entries: []topo.Entry{{Key: "config", Value: []byte(value), CreateRev: 1, ModRev: rev}}})
		return d.sharedService("s")
	}
	if apply("-s", 2) != first {
		t.Error("the state is lost with a new configuration")
	}
	if s := apply("---", 3); s != nil {
		t.Errorf("state of a service with one priority: %+v", s)
	}
	if now := clock.Now(); d.sharedService("other").Level(now) != 0 {
		t.Error("a service without routes sheds")
	}
}

// Guards against a limit learned from connections that were reset for another reason than a
// full target, which would leave slots idle.
func TestOnlyEarlyResetsAreOfFullTargets(t *testing.T) {
	d := newTestDispatcher("", false)
	for took, want := range map[time.Duration]bool{2 * time.Millisecond: true, 80 * time.Millisecond: false} {
		ep := &endpoint{record: target.Record{Slots: 2}, limit: 100}
		ep.estimate.Slots, ep.estimate.RunningElsewhere = 2, 4
		ep.estimate.SetServiceTime(100 * time.Millisecond)
		now := clock.Now()
		state := &requestState{req: &Request{Route: &route.Route{}, Arrived: now, Deadline: now + time.Second}}
		if _, reason := d.admit(state, ep); reason != "" {
			t.Fatal(reason)
		}
		s := &send{ep: ep, target: d.targetBefore(ep, now), took: took, err: syscall.ECONNRESET}
		ep.estimate.Running--
		d.recordAdmission(state, s, sendOutcome{unknown, ConnectionLost})
		if _, reason := d.admit(state, ep); (reason == TargetsFull) != want {
			t.Errorf("after a reset within %v: %q at the same load, want full %v", took, reason, want)
		}
	}
}

// Guards against a refusal for lack of room that the log and the metrics call admitted.
func TestRefusalForLackOfRoomIsNotCalledAdmitted(t *testing.T) {
	d := newTestDispatcher("", true) // its target does not queue
	d.changeTargets(func(ep *endpoint) { ep.estimate.RunningElsewhere = 2 })
	if _, refusal := d.dispatch(&route.Route{MaxAttempts: 1}); refusal == nil || refusal.Reason != TargetsFull || refusal.Inputs.Admission != "full" {
		t.Errorf("refusal %+v, want one of a full target", refusal)
	}
}

// Guards against classes that yield room because more urgent requests failed for another reason than
// a lack of room, as when a link is cut.
func TestUnreachableTargetsAreNotFull(t *testing.T) {
	d := newSharedDispatcher("127.0.0.1:1") // nothing listens there
	d.SetRetryBudget(budget.Bound{Ratio: 0, Slack: 0, Window: time.Second})
	for range 10 {
		_, refusal := d.dispatch(&route.Route{Priority: 1, Objective: 400 * time.Millisecond, MaxAttempts: 2})
		if refusal == nil || refusal.Reason != RetryBudgetExhausted {
			t.Fatalf("refusal %+v, want %q", refusal, RetryBudgetExhausted)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if level := d.sharedService("s").Level(clock.Now()); level > 0 {
		t.Errorf("shedding level %v after failures that are no lack of room", level)
	}
}

// Guards against a change of the retry budget that forgets what is known of a service's classes.
func TestRetryBudgetChangeKeepsClasses(t *testing.T) {
	d := newSharedDispatcher("")
	state := func() (*admission.Service, time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.sharedService("s"), d.serviceState("s").avgServiceTime
	}
	d.mu.Lock()
	d.serviceState("s").avgServiceTime = 7 * time.Millisecond
	d.mu.Unlock()
	shared, average := state()
	d.SetRetryBudget(budget.Bound{Ratio: 0.5, Slack: 1, Window: time.Second})
	if s, a := state(); s != shared || a != average {
		t.Errorf("state of the classes lost: %t, average service time %v, want %v", s != shared, a, average)
	}
}
