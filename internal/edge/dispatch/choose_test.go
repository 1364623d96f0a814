package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// newEndpoints returns endpoints, of which the first n have an idle connection.
func newEndpoints(t *testing.T, all, n int) []*endpoint {
	t.Helper()
	names := &upstream.HeaderNames{RequestID: "Id"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	t.Cleanup(server.Close)
	eps := make([]*endpoint, all)
	for i := range eps {
		eps[i] = &endpoint{id: fmt.Sprint(i), record: target.Record{ID: fmt.Sprint(i)}, pool: upstream.NewPool(strings.TrimPrefix(server.URL, "http://"), 4, bodybuf.NewBudget(1<<20))}
		eps[i].estimate.Slots = 3
		t.Cleanup(eps[i].pool.Close)
		if i >= n {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := eps[i].pool.Send(ctx, &upstream.Request{Names: names, ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
	}
	return eps
}

// Guards against opening a new connection for almost every request in a large fleet:
// 63 daemons opened 12,290 connections for 25,850 requests.
func TestPickPrefersConnectedTargets(t *testing.T) {
	eps := newEndpoints(t, 20, 2)
	connected := map[*endpoint]bool{eps[0]: true, eps[1]: true}
	const picks = 1000
	reused := 0
	for range picks {
		if connected[pick(eps, time.Second, defaultServiceTime)] {
			reused++
		}
	}
	if reused < picks*9/10 {
		t.Errorf("%d of %d picks had an idle connection, want nine in ten", reused, picks)
	}
	for ep := range connected {
		ep.estimate.RunningElsewhere = ep.estimate.Slots
	}
	for range 100 {
		if connected[pick(eps, time.Second, defaultServiceTime)] {
			t.Fatal("picked a target without a free slot for its connection")
		}
	}
}

// Guards against finding no target when no target has an idle connection.
func TestPickWithoutConnections(t *testing.T) {
	if ep := pick(newEndpoints(t, 3, 0), time.Second, defaultServiceTime); ep == nil {
		t.Error("no target picked of three")
	}
	if ep := pick(nil, time.Second, defaultServiceTime); ep != nil {
		t.Error("a target picked of none")
	}
}

// Guards against requests that queue at a saturated target until they miss their
// objective. If such requests are refused early, as many requests are served, and callers
// can retry the refused requests.
func TestAdmitLimitsQueueByObjective(t *testing.T) {
	d := New(Config{})
	now := clock.Now()
	admitted := func(load int, objective time.Duration) bool {
		ep := &endpoint{record: target.Record{Slots: 2}, limit: 100}
		ep.estimate.Slots, ep.estimate.RunningElsewhere = 2, load
		ep.estimate.SetServiceTime(100 * time.Millisecond)
		r := &Request{Route: &route.Route{Objective: objective}, Arrived: now, Deadline: now + 5*time.Second}
		got, reason := d.admit(&requestState{req: r}, ep)
		if (got == nil) != (reason == TargetsFull) {
			t.Fatalf("endpoint %v with reason %q", got, reason)
		}
		return got != nil
	}
	for _, c := range []struct {
		load      int
		objective time.Duration
		want      bool
	}{
		{0, 50 * time.Millisecond, true}, // a free slot is used whatever the objective
		{3, 300 * time.Millisecond, true},
		{5, 300 * time.Millisecond, false},
		{5, time.Second, true},
		{5, 0, true}, // no objective stated
	} {
		if got := admitted(c.load, c.objective); got != c.want {
			t.Errorf("load %d, objective %v: admitted %v, want %v", c.load, c.objective, got, c.want)
		}
	}
}
