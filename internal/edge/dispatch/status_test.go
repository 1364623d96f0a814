package dispatch

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// startInvalidTarget starts a target whose responses have an invalid status, and a body that is
// itself a response to the request.
func startInvalidTarget(t *testing.T, arrived *atomic.Int64, status string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		var c net.Conn
		if c, _, _ = w.(http.Hijacker).Hijack(); c == nil {
			return
		}
		inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Text\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), len(inner), inner)
		_ = c.Close()
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against passing on a response with an invalid status, against taking its fields for a
// proof that the request has not run, and against not sending an idempotent request again.
func TestInvalidStatusProvesNothing(t *testing.T) {
	for _, status := range []string{"000", "+99", "101", "600", "999"} {
		var arrived atomic.Int64
		d := newUnkeyedDispatcher(map[string]*httptest.Server{"1": startInvalidTarget(t, &arrived, status), "2": startInvalidTarget(t, &arrived, status)})
		resp, refusal := d.dispatchRoute(&route.Route{MaxAttempts: 2})
		if refusal == nil || !refusal.MayHaveRun || refusal.Reason != ConnectionLost || arrived.Load() != 1 {
			t.Errorf("status %s: response %+v, refusal %+v after %d sends, want an unknown outcome after one", status, resp, refusal, arrived.Load())
		}
		arrived.Store(0)
		resp, refusal = d.dispatchRoute(&route.Route{MaxAttempts: 2, Idempotent: true})
		if refusal == nil || arrived.Load() != 2 {
			t.Errorf("status %s, idempotent: response %+v, refusal %+v after %d sends, want two", status, resp, refusal, arrived.Load())
		}
	}
}
