package front

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
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
	serveUntilEnd(t, NewServer(h, view.NewTracker(nil, log, func() mirror.Status { return mirror.Status{} }), 0, log), l)
	return l.Addr().String()
}

// serveUntilEnd runs a server until the test ends.
func serveUntilEnd(t *testing.T, s *Server, l net.Listener) {
	t.Helper()
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
	const chunkedFirst = "POST /first HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"both lengths":         "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"both, other order":    "POST /a HTTP/1.1\r\nHost: h\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n" + smuggled,
		"bare line feeds":      "GET /a HTTP/1.1\nHost: h\n\n" + smuggled,
		"one bare line feed":   "GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n" + smuggled,
		"second of a pipeline": "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /a HTTP/1.1\nHost: h\n\n" + smuggled,
		"behind chunks":        chunkedFirst + "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"bare, behind chunks":  chunkedFirst + "GET /a HTTP/1.1\nHost: h\n\n" + smuggled,
		"third, behind chunks": chunkedFirst + chunkedFirst + "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"two equal lengths":    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"two encodings":        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"folded length":        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 4\r\n\r\n0\r\n\r\n" + smuggled,
		"folded field":         "GET /a HTTP/1.1\r\nHost: h\r\nX: y\r\n z: w\r\n\r\n" + smuggled,
		"space before colon":   "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nabcd" + smuggled,
		"signed length":        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd" + smuggled,
		"chunks in HTTP/1.0":   "POST /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"HTTP/1.0, long path":  "POST /a?" + strings.Repeat("x", 2*maxLineBytes) + " HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"bare chunk size":      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n" + smuggled,
		"bare chunk extension": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a\nx\r\n0\r\n\r\n" + smuggled,
		"bare end of a chunk":  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\n0\r\n\r\n" + smuggled,
		"bare trailer":         "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: x\n\r\n" + smuggled,
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				if r.URL.Path == "/smuggled" || r.URL.Path == "/a" {
					t.Errorf("%s was served", r.URL.Path)
				}
			}))
			statuses := exchange(t, address, text)
			if want := strings.Count(text, " /first ") + 1; len(statuses) != want {
				t.Fatalf("got statuses %v, want %d: the requests in front are served, one is refused", statuses, want)
			}
			for _, status := range statuses[:len(statuses)-1] {
				if status != http.StatusOK {
					t.Errorf("got statuses %v, want 200 for the requests in front", statuses)
				}
			}
			want := http.StatusBadRequest
			if name == "two encodings" {
				want = http.StatusNotImplemented // by net/http
			}
			if last := statuses[len(statuses)-1]; last != want {
				t.Errorf("got statuses %v, want %d at the end", statuses, want)
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
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n0\r\n\r\n" +
		"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\nA;x=y\r\n\n\n\n\n\n\n\n\n\n\n\r\n0\r\nT: x\r\n\r\n" +
		"\r\nPOST /e?" + strings.Repeat("x", 3*maxLineBytes) + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
		"GET /f HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 3*maxLineBytes) + "\r\n\r\n"
	statuses := exchange(t, address, text)
	if len(statuses) != 6 {
		t.Fatalf("got statuses %v, want six", statuses)
	}
	for _, s := range statuses {
		if s != http.StatusOK {
			t.Errorf("got statuses %v, want 200", statuses)
		}
	}
}
