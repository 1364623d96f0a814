package front

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
)

// logBuffer is a log output that can be read while it is written.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// Guards against a stop whose log does not tell which requests got no answer: the record of an
// incident had no line about the requests that were lost.
func TestCutOffRequestIsLogged(t *testing.T) {
	release, running := make(chan struct{}), make(chan struct{}, 1)
	s, l := newTestServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		request, end := beginRequest(r.Context(), "r1", clock.Now())
		defer end()
		request.dispatched.Store(&dispatch.Request{ID: "r1", Service: "orders"})
		running <- struct{}{}
		<-release
	}))
	var out logBuffer
	s.log = slog.New(slog.NewJSONHandler(&out, nil))
	go func() { _ = s.Serve(l) }()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-running
	_ = l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(ctx); err == nil {
		t.Error("shutdown did not report the running request")
	}
	close(release)
	if log := out.String(); strings.Count(log, "cut off") != 1 || !strings.Contains(log, `"request":"r1","service":"orders","sends":0`) {
		t.Errorf("log: %s", log)
	}
}
