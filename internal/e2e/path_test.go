package e2e

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// TestServesThroughEachDaemon guards against request forwarding that works within one
// process only: every key must be served through the daemons in turn, also while one
// daemon is killed and restarted.
func TestServesThroughEachDaemon(t *testing.T) {
	f := newFleet(t, 3, 3)
	var down atomic.Int64
	down.Store(-1)
	l := startLoad(f, "path", 6, func(i int) bool { return int64(i) == down.Load() })
	time.Sleep(time.Second)

	down.Store(1)
	f.daemons[1].kill(t)
	time.Sleep(3 * time.Second)
	f.startDaemon(1)
	f.awaitReady(f.daemons[1])
	down.Store(-1)
	time.Sleep(time.Second)

	attempts := l.stop()
	checkRuns(t, f, attempts)
	served := make(map[string]bool)
	for _, a := range attempts {
		if a.ok() {
			served[a.key] = true
		}
	}
	if len(served) != loadKeys {
		t.Errorf("%d of %d keys were served", len(served), loadKeys)
	}
}

// TestRefusesBadRequests guards against invalid requests that reach a target or are refused
// without a reason for the caller.
func TestRefusesBadRequests(t *testing.T) {
	f := newFleet(t, 1, 1)
	base := "http://" + f.daemons[0].callerAddress
	tooLong := strings.Repeat("k", manifest.MaxKeyBytes+1)
	for _, c := range []struct {
		method, path, reason string
		status               int
	}{
		{http.MethodGet, "/display/" + tooLong, "key-too-long", http.StatusBadRequest},
		{http.MethodGet, "/nothing/k", "unknown-service", http.StatusNotFound},
		{http.MethodGet, "/display", "missing-key", http.StatusBadRequest},
		{http.MethodDelete, "/display/k", "no-class", http.StatusMethodNotAllowed},
		{http.MethodGet, "/display/a/../b", "bad-path", http.StatusBadRequest},
	} {
		req, _ := http.NewRequest(c.method, base+c.path, nil)
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status || resp.Header.Get(header.Reason) != c.reason || resp.Header.Get(header.Outcome) != header.NotRun {
			t.Errorf("%s %s: %d %q %q", c.method, c.path, resp.StatusCode, resp.Header.Get(header.Reason), resp.Header.Get(header.Outcome))
		}
	}
	const maxBody = 8 << 20 // the default of limits.max_body
	resp, err := http.Post(base+"/display/k", "text/plain", strings.NewReader(strings.Repeat("x", maxBody+1)))
	if err == nil {
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(header.Outcome) != header.NotRun {
			t.Errorf("body above the limit: %d %q", resp.StatusCode, resp.Header.Get(header.Outcome))
		}
	}
	req, _ := http.NewRequest(http.MethodGet, base+"/display/k", nil)
	req.Header.Set("X-Long", strings.Repeat("x", 64<<10))
	resp, err = http.DefaultTransport.RoundTrip(req)
	if err == nil {
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("header above the limit: %d", resp.StatusCode)
		}
	}
	f.awaitReady(f.daemons[0])
	if runs := f.runs(); len(runs) > 1 {
		t.Errorf("refused requests ran: %v", runs)
	}
}
