package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a planned stop that answers 400, or nothing, to a request whose head is just
// arriving on a kept connection.
func TestStopServesRequestWhoseHeadIsArriving(t *testing.T) {
	const request = "PUT /second HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	for cut := 1; cut < len(request); cut++ {
		t.Run(request[:cut], func(t *testing.T) {
			t.Parallel()
			s, l := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", "close")
				if r.URL.Path == "/first" {
					w.Header().Del("Connection")
				}
				_, _ = io.WriteString(w, r.URL.Path)
			}))
			go func() { _ = s.Serve(l) }()
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			in := bufio.NewReader(c)
			if _, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			expectBody(t, in, "/first")
			if _, err := io.WriteString(c, request[:cut]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // the daemon has read the first part
			_ = l.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(ctx) }()
			time.Sleep(50 * time.Millisecond) // the stop has begun
			if _, err := io.WriteString(c, request[cut:]); err != nil {
				t.Fatal(err)
			}
			expectBody(t, in, "/second")
			_ = c.Close()
			if err := <-stopped; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}

// expectBody reads a response and checks that it is a success with the body.
func expectBody(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("response with %q: %v", want, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
		t.Fatalf("got %d %q (%v), want 200 %q", resp.StatusCode, body, err, want)
	}
}

// Guards against a planned stop that drops a request whose first bytes have arrived while the
// request before it was running.
func TestStopServesRequestThatBeganBehindAnother(t *testing.T) {
	for name, part := range map[string]string{
		"one byte":  "G",
		"half head": "GET /second HTTP/1.1\r\nHo",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const second = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
			running, release := make(chan struct{}), make(chan struct{})
			s, l := newTestServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					close(running)
					<-release
				} else {
					w.Header().Set("Connection", "close")
				}
				_, _ = io.WriteString(w, r.URL.Path)
			}))
			go func() { _ = s.Serve(l) }()
			c, err := net.Dial("tcp4", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			in := bufio.NewReader(c)
			if _, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-running
			if _, err := io.WriteString(c, part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // the daemon has read ahead
			close(release)
			expectBody(t, in, "/first")
			time.Sleep(50 * time.Millisecond) // the daemon waits for the rest
			_ = l.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(ctx) }()
			time.Sleep(50 * time.Millisecond) // the stop has begun
			if _, err := io.WriteString(c, second[len(part):]); err != nil {
				t.Fatal(err)
			}
			expectBody(t, in, "/second")
			_ = c.Close()
			if err := <-stopped; err != nil {
				t.Errorf("shutdown: %v", err)
			}
		})
	}
}
