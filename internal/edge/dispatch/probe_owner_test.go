package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// newProbedOwner returns a dispatcher whose only target owns all keys, reports its load, and is known
// to have ten requests on its two slots.
func newProbedOwner(t *testing.T, l *loadTarget) *Dispatcher {
	t.Helper()
	l.id, l.probeStatus = "t", http.StatusOK
	server := httptest.NewServer(l)
	t.Cleanup(server.Close)
	d := newOwnerDispatcher(strings.TrimPrefix(server.URL, "http://"), route.Service{Name: "s", MaxConnections: 100, Keyed: true, HealthPath: "/health"})
	names := *signalNames
	names.Load, names.TargetID = "Load", "Target"
	d.config.Names = &names
	d.dispatchOwned(t)
	time.Sleep(2 * time.Millisecond)
	return d
}

func (d *Dispatcher) dispatchOwned(t *testing.T) *Refusal {
	t.Helper()
	_, refusal := d.dispatch(&route.Route{MaxAttempts: 1, Objective: time.Second})
	return refusal
}

// makeKnownLoadOld replaces what the target has reported by the loads that other daemons told.
func (d *Dispatcher) makeKnownLoadOld(load int) {
	time.Sleep(150 * time.Millisecond)
	d.SetFleetLoads(peers.Loads{peers.HashTarget("t"): load})
}

// Guards against refusing a request because of loads that are older than most requests take, while
// the owner of its key has room.
func TestOwnerIsProbedBeforeRefusal(t *testing.T) {
	l := &loadTarget{requestReport: "1,0,2,100", probeReport: "0,0,2,100"}
	d := newProbedOwner(t, l)
	d.makeKnownLoadOld(10)
	if refusal := d.dispatchOwned(t); refusal != nil {
		t.Errorf("refused (%s) although the owner has room", refusal.Reason)
	}
	if n := l.probes.Load(); n != 1 {
		t.Errorf("%d probes, want 1", n)
	}
}

// Guards against sending a request to an owner that says it is full, and against probing owners that
// have a free slot by what is known, or that have just reported.
func TestOwnerIsProbedOnlyIfNeeded(t *testing.T) {
	l := &loadTarget{requestReport: "1,0,2,100", probeReport: "2,8,2,100"}
	d := newProbedOwner(t, l)
	d.makeKnownLoadOld(0)
	if refusal := d.dispatchOwned(t); refusal != nil || l.probes.Load() != 0 {
		t.Errorf("refusal %v and %d probes at an owner with free slots", refusal, l.probes.Load())
	}
	d.makeKnownLoadOld(10)
	for range 2 {
		if refusal := d.dispatchOwned(t); refusal == nil || refusal.Reason != TargetsFull || refusal.MayHaveRun {
			t.Errorf("refusal %v, want %q", refusal, TargetsFull)
		}
	}
	if n := l.probes.Load(); n != 1 {
		t.Errorf("%d probes for two requests in a row, want 1", n)
	}
}
