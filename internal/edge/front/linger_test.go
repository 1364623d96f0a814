package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a data race between connections that close late and the end of a stop, which a
// forced end of several running requests can cause.
func TestConnectionsMayCloseWhileAStopEnds(t *testing.T) {
	for range 20 {
		release := make(chan struct{})
		var running sync.WaitGroup
		s, l := newTestServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running.Done()
			<-release
		}))
		go func() { _ = s.Serve(l) }()
		for range 10 {
			running.Add(1)
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		running.Wait()
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		time.AfterFunc(5*time.Millisecond, func() { close(release) })
		if err := s.Shutdown(ctx); err == nil {
			t.Error("shutdown did not report the running requests")
		}
		cancel()
	}
}
