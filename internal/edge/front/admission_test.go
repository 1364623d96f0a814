package front

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/transport/listener"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

const testMaxConns = 20

// startLimitedServer starts a server for testMaxConns connections. Requests for /refused get the
// response of a Handler without a configuration, others that of serve.
func startLimitedServer(t *testing.T, l net.Listener, serve http.HandlerFunc) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	views := view.NewTracker(nil, log, func() mirror.Status { return mirror.Status{} })
	refusing := &Handler{
		Names: &upstream.HeaderNames{Reason: "Reason", Outcome: "Outcome"}, Views: views, Log: log, ObserveRequest: func(Result) {},
	}
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isBeyondLimit(r.Context()) {
			refusing.ServeHTTP(w, r)
			return
		}
		serve(w, r)
	}), views, testMaxConns, log)
	serveUntilEnd(t, s, l)
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// requestOn sends a request and returns the response, or nil if the connection ended.
func requestOn(c net.Conn) *http.Response {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

func dialCaller(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against idle connections of callers that keep new callers out.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	l := listenLoopback(t)
	startLimitedServer(t, l, func(http.ResponseWriter, *http.Request) {})
	for i := range 4 * testMaxConns {
		if r := requestOn(dialCaller(t, l)); r == nil || r.StatusCode != http.StatusOK {
			t.Fatalf("connection %d: %+v, want 200", i+1, r)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against kept connections that keep new callers out with one byte of a request each, for
// longer than callers have for a head.
func TestBegunHeadsMakeRoom(t *testing.T) {
	l := listenLoopback(t)
	startLimitedServer(t, l, func(http.ResponseWriter, *http.Request) {})
	for range testMaxConns {
		c := dialCaller(t, l)
		if r := requestOn(c); r == nil || r.StatusCode != http.StatusOK {
			t.Fatalf("got %+v, want 200", r)
		}
		if _, err := io.WriteString(c, "G"); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond) // the daemon has read the bytes
	for end := time.Now().Add(defaultLimits.HeaderTimeout + lingerTime + time.Second); ; time.Sleep(100 * time.Millisecond) {
		r := requestOn(dialCaller(t, l))
		if r != nil && r.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("a new caller is not served although the others exceed the time for a head")
		}
	}
}

// Guards against callers that take the descriptors of connections to targets, against a
// connection that is neither served nor refused, and against refusing once there is room.
func TestBusyConnectionsAreBounded(t *testing.T) {
	l := listenLoopback(t)
	release := make(chan struct{})
	var running sync.WaitGroup
	running.Add(testMaxConns)
	startLimitedServer(t, l, func(http.ResponseWriter, *http.Request) {
		running.Done()
		<-release
	})
	var wg sync.WaitGroup
	for range testMaxConns {
		c := dialCaller(t, l)
		wg.Go(func() {
			if r := requestOn(c); r == nil || r.StatusCode != http.StatusOK {
				t.Errorf("admitted connection: %+v, want 200", r)
			}
			_ = c.Close()
		})
	}
	running.Wait()
	refused, dropped := 0, 0
	for range testMaxConns {
		switch r := requestOn(dialCaller(t, l)); {
		case r == nil:
			dropped++
		case r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") != "" &&
			r.Header.Get("Reason") == string(dispatch.TooManyConnections) && r.Close:
			refused++
		default:
			t.Errorf("connection beyond the limit: %+v, want 503 or its end", r)
		}
	}
	if refused < testMaxConns/reserveDivisor {
		t.Errorf("%d connections beyond the limit were refused and %d dropped, want %d refused", refused, dropped, testMaxConns/reserveDivisor)
	}
	close(release)
	wg.Wait()
	running.Add(1)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if r := requestOn(dialCaller(t, l)); r != nil && r.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("no connection is served after the others have ended")
		}
	}
}

// starvedListener has no descriptors for the first connections.
type starvedListener struct {
	net.Listener
	failures int
}

func (l *starvedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that takes no connection any more after Accept has failed for want of
// descriptors, and says that it is ready.
func TestServesAfterDescriptorsRanOut(t *testing.T) {
	l := listener.New(&starvedListener{listenLoopback(t), 3}, slog.New(slog.DiscardHandler))
	startLimitedServer(t, l, func(http.ResponseWriter, *http.Request) {})
	if r := requestOn(dialCaller(t, l)); r == nil || r.StatusCode != http.StatusOK {
		t.Errorf("got %+v, want 200", r)
	}
}
