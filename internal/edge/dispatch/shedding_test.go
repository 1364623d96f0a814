package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// Guards against refusing the requests that the owner of their key refused although it has room:
// targets in trouble refuse more than half of all requests, and 4,800 of 6,191 requests refused
// on a day could have been served there. A target that is really full must not get each request
// several times.
func TestOwnerWithRoomIsAskedAgain(t *testing.T) {
	var arrived, full atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := arrived.Add(1); full.Load() > 0 || n%3 != 0 {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	d := newTestDispatcher(strings.TrimPrefix(server.URL, "http://"), false)
	d.started -= time.Second // the retry budget grows within its window
	for i := range 20 {
		if resp, refusal := d.dispatch(&route.Route{MaxAttempts: 1}); refusal != nil || resp.Status != http.StatusOK {
			t.Fatalf("request %d: %+v, though the owner accepts every third send", i, refusal)
		}
	}
	full.Store(1)
	arrived.Store(0)
	d.mu.Lock()
	for _, ep := range d.endpoints {
		ep.estimate.RunningElsewhere = ep.estimate.Slots // requests of other daemons
	}
	d.mu.Unlock()
	if _, refusal := d.dispatch(&route.Route{MaxAttempts: 1}); refusal == nil || refusal.MayHaveRun || refusal.Reason != TargetsFull {
		t.Errorf("at a full owner: %+v", refusal)
	}
	if n := arrived.Load(); n > 1 {
		t.Errorf("%d sends of one request to an owner that is known to be full", n)
	}
}
