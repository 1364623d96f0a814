package front

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// startServer starts a server with the handler and returns its address.
func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	s := NewServer(h, view.NewTracker(nil, log, func() mirror.Status { return mirror.Status{} }), 0, log)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-served
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return l.Addr().String()
}

// exchange sends raw bytes and returns the status codes of all responses.
func exchange(t *testing.T, address, text string) []int {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	in := bufio.NewReader(c)
	var statuses []int
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
}

// Guards against request smuggling by means of a request with ambiguous framing.
func TestRejectsAmbiguousFraming(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, text := range map[string]string{
		"both lengths":         "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"both, other order":    "POST /a HTTP/1.1\r\nHost: h\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n" + smuggled,
		"bare line feeds":      "GET /a HTTP/1.1\nHost: h\n\n" + smuggled,
		"one bare line feed":   "GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n" + smuggled,
		"second of a pipeline": "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /a HTTP/1.1\nHost: h\n\n" + smuggled,
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/smuggled" || r.URL.Path == "/a" {
					t.Errorf("%s was served", r.URL.Path)
				}
			}))
			statuses := exchange(t, address, text)
			if len(statuses) == 0 || statuses[len(statuses)-1] != http.StatusBadRequest {
				t.Errorf("got statuses %v, want a 400 at the end", statuses)
			}
		})
	}
}

// Guards against refusing requests with unambiguous framing, also several on one
// connection.
func TestServesUnambiguousFraming(t *testing.T) {
	address := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	text := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na\nb\nc" +
		"GET /b HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n0\r\n\r\n"
	statuses := exchange(t, address, text)
	if len(statuses) != 3 {
		t.Fatalf("got statuses %v, want three", statuses)
	}
	for _, s := range statuses {
		if s != http.StatusOK {
			t.Errorf("got statuses %v, want 200", statuses)
		}
	}
}
