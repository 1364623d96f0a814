package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against responses to pipelined requests that arrive out of order, and against requests
// behind a malformed one that run.
func TestPipelinedRequests(t *testing.T) {
	for _, c := range []struct {
		name, first string
		want        []int
	}{
		{"slow in front", "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n", []int{200, 200, 200, 200}},
		{"refused in front", "GET /refused HTTP/1.1\r\nHost: h\r\n\r\n", []int{503, 200, 200, 200}},
		{"body in front", "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nGET", []int{200, 200, 200, 200}},
		{"chunks in front", "POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nGET\r\n0\r\n\r\n", []int{200, 200, 200, 200}},
		{"malformed in front", "GET /slow\r\n\r\n", []int{400}},
		{"without host in front", "GET /slow HTTP/1.1\r\n\r\n", []int{400}},
		{"body too short in front", "POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", []int{400}},
		{"closing in front", "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", []int{200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var behind atomic.Int64
			address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				switch r.URL.Path {
				case "/slow":
					time.Sleep(30 * time.Millisecond)
				case "/refused":
					w.WriteHeader(http.StatusServiceUnavailable)
				default:
					behind.Add(1)
				}
			}))
			text := c.first
			for i := range 3 {
				text += fmt.Sprintf("GET /behind/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
			}
			got := exchange(t, address, text)
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("got statuses %v, want %v", got, c.want)
			}
			if want := int64(len(c.want) - 1); behind.Load() != want {
				t.Errorf("%d requests behind the first one ran, want %d", behind.Load(), want)
			}
		})
	}
}

// Guards against running the requests that a caller had pipelined and left behind, whether they
// arrived with the first one or while it ran.
func TestCallerLeavesPipelinedRequests(t *testing.T) {
	const request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, parts := range map[string][]string{
		"together": {strings.Repeat(request, 5)},
		"later":    {request, strings.Repeat(request, 4)},
		"parts":    {request + request[:10], request[10:] + strings.Repeat(request, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			var ran, abandoned atomic.Int64
			address := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Context().Err() != nil {
					return // the dispatcher sends nothing then
				}
				ran.Add(1)
				select {
				case <-r.Context().Done():
					abandoned.Add(1)
				case <-time.After(time.Second):
				}
			}))
			c, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			for _, part := range parts {
				_, _ = io.WriteString(c, part)
				time.Sleep(50 * time.Millisecond)
			}
			_ = c.Close()
			time.Sleep(700 * time.Millisecond)
			if n := ran.Load(); n != 1 || abandoned.Load() != 1 {
				t.Errorf("%d requests ran and %d were told that their caller has left, want one", n, abandoned.Load())
			}
		})
	}
}

// Guards against a caller whose pipelined requests keep the connection's later ones waiting
// beyond what fits the connection's buffers, and against answers that overtake each other.
func TestManyPipelinedRequests(t *testing.T) {
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	const requests = 5000
	go func() {
		for i := range requests {
			if _, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i); err != nil {
				return
			}
		}
	}()
	in := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != fmt.Sprint("/", i) {
			t.Fatalf("response %d: %q, %v", i, b, err)
		}
	}
}
