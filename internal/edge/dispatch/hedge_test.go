package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/coordination/hedging"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// hedgedRoute is hedged after half of its objective, as long as nothing was measured.
var hedgedRoute = route.Route{Name: "r", Idempotent: true, MaxAttempts: 2, Objective: 100 * time.Millisecond}

// raceTargets are two targets of a service. Whichever gets a request first is slow.
type raceTargets struct {
	arrived, cancelled atomic.Int64
	deadlines          [2]atomic.Value
	// second is how the target responds that gets a request second.
	second func(http.ResponseWriter)
	// release lets the first target respond.
	release chan struct{}
}

func (r *raceTargets) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	n := r.arrived.Add(1)
	if n <= 2 {
		r.deadlines[n-1].Store(req.Header.Get("Left"))
	}
	w.Header().Set("Id", req.Header.Get("Id"))
	if n > 1 {
		r.second(w)
		return
	}
	select {
	case <-r.release:
		_, _ = w.Write([]byte("first"))
	case <-req.Context().Done():
		r.cancelled.Add(1)
	}
}

func respondSecond(w http.ResponseWriter) { _, _ = w.Write([]byte("second")) }

// hedgeObserver records the events of hedges and the service times of a dispatcher.
type hedgeObserver struct {
	mu     sync.Mutex
	events []string
	times  int
}

func (o *hedgeObserver) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := ""
	for _, e := range o.events {
		out += e + ";"
	}
	return out
}

// newHedgingDispatcher returns a dispatcher that may hedge all requests to two targets.
func newHedgingDispatcher(t *testing.T, r *raceTargets) (*Dispatcher, *hedgeObserver) {
	t.Helper()
	r.release = make(chan struct{})
	servers := make(map[string]*httptest.Server)
	for _, id := range []string{"1", "2"} {
		servers[id] = httptest.NewServer(r)
		t.Cleanup(servers[id].Close)
	}
	o := &hedgeObserver{}
	d := newUnkeyedDispatcher(servers)
	names := *signalNames
	names.TimeLeft = "Left"
	d.config.Names = &names
	d.config.HedgeShare = 1
	d.config.ObserveHedge = func(_ string, event HedgeEvent, reason hedging.Reason) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.events = append(o.events, string(event)+string(reason))
	}
	d.config.ObserveServiceTime = func(peers.TargetHash, time.Duration) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.times++
	}
	return d, o
}

// checkIdle checks that no request of the dispatcher runs, and that no target is avoided.
func checkIdle(t *testing.T, d *Dispatcher) {
	t.Helper()
	for _, l := range d.TargetLoads() {
		if l.Running != 0 || l.Suspect {
			t.Errorf("target %s: %d running, suspect %t, want none", l.ID, l.Running, l.Suspect)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ep := range d.endpoints {
		if ep.estimate.ServiceTime(0) > time.Second {
			t.Errorf("target %s: service time %v", ep.id, ep.estimate.ServiceTime(0))
		}
	}
}

// Guards against waiting for the slow first response, against work that goes on for it, against
// counting it as a failure, and against a later deadline for the second send.
func TestHedgeWins(t *testing.T) {
	r := &raceTargets{second: respondSecond}
	d, o := newHedgingDispatcher(t, r)
	start := time.Now()
	resp, refusal := d.dispatchRoute(&hedgedRoute)
	if refusal != nil || string(resp.Body) != "second" || time.Since(start) > time.Second {
		t.Fatalf("response %+v, refusal %+v after %v, want the second one", resp, refusal, time.Since(start))
	}
	checkIdle(t, d)
	if o.String() != "sent;won;" || o.times != 1 {
		t.Errorf("events %s, %d service times, want one of the second send", o, o.times)
	}
	if first, second := r.deadlines[0].Load().(string), r.deadlines[1].Load().(string); len(second) != len(first) || second >= first {
		t.Errorf("time left %s of the first and %s of the second send", first, second)
	}
	waitUntil(t, func() bool { return r.cancelled.Load() == 1 })
}

func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	for range 300 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("not done in time")
}

// Guards against replacing the first response by a failure or a refusal of the second target, and
// against counting the second send where the first has been answered.
func TestFirstSendWins(t *testing.T) {
	var arrived sync.WaitGroup
	for name, second := range map[string]func(http.ResponseWriter){
		"failed": func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError); arrived.Done() },
		"refused": func(w http.ResponseWriter) {
			pause("5")(w.Header())
			w.WriteHeader(http.StatusServiceUnavailable)
			arrived.Done()
		},
		"slow": func(http.ResponseWriter) { arrived.Done(); time.Sleep(300 * time.Millisecond) },
	} {
		arrived.Add(1)
		r := &raceTargets{second: second}
		d, o := newHedgingDispatcher(t, r)
		go func() {
			arrived.Wait()
			time.Sleep(50 * time.Millisecond)
			close(r.release)
		}()
		resp, refusal := d.dispatchRoute(&hedgedRoute)
		if refusal != nil || resp.Status != http.StatusOK || string(resp.Body) != "first" || o.String() != "sent;lost;" {
			t.Errorf("%s: response %+v, refusal %+v, events %s", name, resp, refusal, o)
		}
		checkIdle(t, d)
	}
}

// Guards against work that goes on after the caller has left, at either target.
func TestCallerLeavesHedgedRequest(t *testing.T) {
	arrived := make(chan struct{})
	stopped := make(chan struct{})
	r := &raceTargets{}
	d, _ := newHedgingDispatcher(t, r)
	r.second = func(http.ResponseWriter) {
		close(arrived)
		<-stopped
	}
	defer close(stopped)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-arrived
		leave()
	}()
	now := clock.Now()
	_, refusal := d.Do(ctx, &Request{
		ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Route: &hedgedRoute, Service: "s",
		Arrived: now, Deadline: now + 20*time.Second,
	})
	if refusal == nil || refusal.Reason != CallerDisconnected || clock.Now()-now > 10*time.Second {
		t.Errorf("refusal %+v after %v", refusal, clock.Now()-now)
	}
	checkIdle(t, d)
	waitUntil(t, func() bool { return r.cancelled.Load() == 1 })
}

// Guards against a second send that the route, the settings, the operators' share or the retry
// budget does not allow, or that retries need.
func TestNoHedge(t *testing.T) {
	notIdempotent, oneAttempt := hedgedRoute, hedgedRoute
	notIdempotent.Idempotent, oneAttempt.MaxAttempts = false, 1
	for name, c := range map[string]struct {
		route  *route.Route
		set    func(*Dispatcher)
		events string
	}{
		"not idempotent": {&notIdempotent, func(*Dispatcher) {}, ""},
		"one attempt":    {&oneAttempt, func(*Dispatcher) {}, ""},
		"off":            {&hedgedRoute, func(d *Dispatcher) { d.config.HedgeShare = 0 }, ""},
		"share":          {&hedgedRoute, func(d *Dispatcher) { d.config.HedgeShare = 0.4 }, "suppressed" + string(hedging.ShareUsedUp) + ";"},
		"budget": {&hedgedRoute, func(d *Dispatcher) {
			d.SetRetryBudget(budget.Bound{Ratio: 0, Slack: 2, Window: time.Second})
		}, "suppressed" + string(hedging.NoBudget) + ";"},
		"stopping": {&hedgedRoute, func(d *Dispatcher) { d.StopSending(clock.Now()+time.Minute, clock.Now()+time.Hour) }, "suppressed" + string(hedging.Stopping) + ";"},
		"refusing": {&hedgedRoute, func(d *Dispatcher) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.hedgeState("s").recordRefusal(clock.Now())
		}, "suppressed" + string(hedging.Refusing) + ";"},
		"loaded": {&hedgedRoute, func(d *Dispatcher) { d.changeTargets(func(ep *endpoint) { ep.estimate.RunningElsewhere = 3 }) }, "suppressed" + string(hedging.Overloaded) + ";"},
		"suspect": {&hedgedRoute, func(d *Dispatcher) {
			d.changeTargets(func(ep *endpoint) {
				ep.estimate.RecordFailure(clock.Now())
				ep.estimate.RecordFailure(clock.Now())
			})
		}, "suppressed" + string(hedging.NoTarget) + ";"},
		"cold": {&hedgedRoute, func(d *Dispatcher) {
			d.changeTargets(func(ep *endpoint) { ep.estimate.ColdUntil = clock.Now() + time.Minute })
		}, "suppressed" + string(hedging.NoTarget) + ";"},
		"paused": {&hedgedRoute, func(d *Dispatcher) {
			d.changeTargets(func(ep *endpoint) { ep.pausedUntil = clock.Now() + time.Minute })
		}, "suppressed" + string(hedging.NoTarget) + ";"},
	} {
		r := &raceTargets{second: respondSecond}
		d, o := newHedgingDispatcher(t, r)
		c.set(d)
		if name == "paused" {
			// The first send must find a target.
			d.changeTargets(func(ep *endpoint) {
				if ep.id == "1" {
					ep.pausedUntil = 0
				}
			})
		}
		go func() {
			time.Sleep(200 * time.Millisecond)
			close(r.release)
		}()
		resp, refusal := d.dispatchRoute(c.route)
		if refusal != nil || string(resp.Body) != "first" || r.arrived.Load() != 1 || o.String() != c.events {
			t.Errorf("%s: response %+v, refusal %+v, %d arrivals, events %s, want %s", name, resp, refusal, r.arrived.Load(), o, c.events)
		}
	}
}

// changeTargets changes the state of all targets of the service.
func (d *Dispatcher) changeTargets(change func(*endpoint)) {
	v := d.config.Views.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range v.Targets.Service("s") {
		change(d.endpoint(v, r))
	}
}

// Guards against a hedge of a request to the owner of a key: no other target may run it.
func TestKeyedRequestIsNotHedged(t *testing.T) {
	r := &raceTargets{second: respondSecond, release: make(chan struct{})}
	server := httptest.NewServer(r)
	defer server.Close()
	d := newTestDispatcher(server.Listener.Addr().String(), false)
	d.config.HedgeShare = 1
	go func() {
		time.Sleep(200 * time.Millisecond)
		close(r.release)
	}()
	if resp, refusal := d.dispatch(&hedgedRoute); refusal != nil || string(resp.Body) != "first" || r.arrived.Load() != 1 {
		t.Errorf("response %+v, refusal %+v, %d arrivals", resp, refusal, r.arrived.Load())
	}
}

// Guards against data races and leaked slots when both responses arrive at about the same time.
func TestBothSendsAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		time.Sleep(15 * time.Millisecond)
		w.Header().Set("Id", req.Header.Get("Id"))
	}))
	defer server.Close()
	d := newUnkeyedDispatcher(map[string]*httptest.Server{"1": server, "2": server})
	d.config.HedgeShare = 1
	rt := hedgedRoute
	rt.Objective = 30 * time.Millisecond
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 25 {
				var resp *upstream.Response
				resp, refusal := d.dispatchRoute(&rt)
				if refusal != nil || resp.Status != http.StatusOK {
					t.Errorf("response %+v, refusal %+v", resp, refusal)
				}
			}
		})
	}
	wg.Wait()
	checkIdle(t, d)
}

// Guards against a limit learned for the target of a hedge from the load of the first target.
func TestRefusedHedgeCountsTheLoadOfItsTarget(t *testing.T) {
	r := &raceTargets{second: func(w http.ResponseWriter) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}}
	d, o := newHedgingDispatcher(t, r)
	// The first target is the loaded one, as the other one is paused until the request has arrived.
	d.changeTargets(func(ep *endpoint) {
		if ep.id == "1" {
			ep.estimate.RunningElsewhere = ep.record.Slots
		} else {
			ep.pausedUntil = clock.Now() + time.Minute
		}
	})
	go func() {
		waitUntil(t, func() bool { return r.arrived.Load() == 1 })
		d.changeTargets(func(ep *endpoint) { ep.pausedUntil = 0 })
	}()
	rt := hedgedRoute
	rt.Objective, rt.AttemptTimeout = 400*time.Millisecond, 600*time.Millisecond
	_, refusal := d.dispatchRoute(&rt)
	if refusal == nil || o.String() != "sent;failed;" {
		t.Fatalf("refusal %+v, events %s, want a hedge that is refused", refusal, o)
	}
	now := clock.Now()
	d.changeTargets(func(ep *endpoint) {
		request := admission.Request{Left: time.Minute}
		full := admission.Target{Slots: 4, Load: 3*4 - 1, Limit: &ep.limits}
		if cause := (*admission.Service)(nil).Decide(now, request, full); cause != admission.Admitted {
			t.Errorf("target %s has a learned limit: it refused with free slots", ep.id)
		}
	})
}

// Guards against closing the idle connections of a hedge's target where the connection of the hedge
// was lost, as if the attempt timeout had ended it.
func TestLostHedgeKeepsIdleConnections(t *testing.T) {
	var arrived atomic.Int64
	server := startTarget(t, &arrived, func(http.Header) int { return http.StatusOK })
	d := newUnkeyedDispatcher(map[string]*httptest.Server{"1": server})
	d.dispatchMany(t, 1)
	now := clock.Now()
	rt := &route.Route{MaxAttempts: 2, Idempotent: true, AttemptTimeout: time.Minute}
	state := &requestState{req: &Request{Route: rt, Service: "s", Arrived: now, Deadline: now + time.Hour}, triedTargets: make(map[string]bool)}
	ep, reason := d.chooseAny(d.config.Views.Current(), state)
	if reason != "" {
		t.Fatal(reason)
	}
	s := d.startSend(t.Context(), state, ep)
	s.err = upstream.ErrOutcomeUnknown
	s.cancel() // as at the end of a hedge
	if resp, _ := d.finishSend(t.Context(), state, s); resp != nil || !ep.pool.HasIdleConn() {
		t.Errorf("response %+v, idle connection kept: %t", resp, ep.pool.HasIdleConn())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ep.estimate.Running != 0 {
		t.Errorf("%d requests running", ep.estimate.Running)
	}
}
