package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// Guards against a stopping daemon that waits before it sends a request again, although it could
// not respond in time, and ends meanwhile without a response.
func TestStopEndsWaitForAnotherSend(t *testing.T) {
	const refusedAfter, timeLeft = 100 * time.Millisecond, 120 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(refusedAfter)
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	defer server.Close()
	d := newTestDispatcher(strings.TrimPrefix(server.URL, "http://"), false)
	now := clock.Now()
	d.StopSending(now+refusedAfter/2, now+refusedAfter+timeLeft)
	_, refusal := d.dispatch(&route.Route{MaxAttempts: 2})
	if took := clock.Now() - now; refusal == nil || refusal.MayHaveRun || refusal.Reason != Stopping || took > refusedAfter+timeLeft {
		t.Errorf("refusal %+v after %v, want one as not run before the end", refusal, took)
	}
}
