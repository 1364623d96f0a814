package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
)

// testBodyMemory is the memory for bodies, in bytes.
const testBodyMemory = 16 << 20

var testNames = &HeaderNames{RequestID: "Id", TimeLeft: "Left", ExpectTarget: "Expect", NotRun: "Not-Run", Stamp: "Stamp"}

// serveTarget starts a target that handles each connection with serve.
func serveTarget(t *testing.T, serve func(n int, c net.Conn, in *bufio.Reader)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(l.Addr().String(), 4, bodybuf.NewBudget(testBodyMemory))
	t.Cleanup(func() { p.Close(); _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{Names: testNames, ID: id, Method: http.MethodGet, URI: "/a", Host: "h", Header: http.Header{"Id": {id}}}
}

func send(t *testing.T, p *Pool, id string, timeout time.Duration) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Send(ctx, request(id))
}

// echo responds to every request of a connection.
func echo(_ int, c net.Conn, in *bufio.Reader) {
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText(r.Header.Get("Id"), "ok"))
	}
}

// Guards against a connection that cannot be reused because the deadline of its last request
// is still set: 2798 connections were dialed for 4188 requests.
func TestReusesConnectionAfterDeadlineOfLastRequest(t *testing.T) {
	p := serveTarget(t, echo)
	if _, err := send(t, p, "1", 50*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	time.Sleep(80 * time.Millisecond)
	if _, err := send(t, p, "2", time.Second); err != nil {
		t.Fatal(err)
	}
	if _, dialed := p.Counts(); dialed != 1 {
		t.Fatalf("dialed %d connections for two requests, want 1", dialed)
	}
}

// Guards against returning a late response to the caller of the next request.
func TestSkipsResponseToAnotherRequest(t *testing.T) {
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText("old", "stale")+responseText(r.Header.Get("Id"), "own"))
	})
	a, err := send(t, p, "1", time.Second)
	if err != nil || string(a.Body) != "own" {
		t.Fatalf("got %v, %v, want the response with the request's ID", a, err)
	}
}

// Guards against reusing a connection that holds bytes beyond the end of the response.
func TestDropsConnectionWithExtraBytes(t *testing.T) {
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseText(r.Header.Get("Id"), "ok"))
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, "garbage")
		}
	})
	for i, id := range []string{"1", "2"} {
		if a, err := send(t, p, id, time.Second); err != nil || string(a.Body) != "ok" {
			t.Fatalf("request %d: %v, %v", i+1, a, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if _, dialed := p.Counts(); dialed != 2 {
		t.Fatalf("dialed %d connections, want a new one after extra bytes", dialed)
	}
}

// Guards against accepting a truncated body as complete.
func TestTruncatedResponseIsUnknown(t *testing.T) {
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.Replace(responseText("1", "whole"), "whole", "who", 1))
	})
	if _, err := send(t, p, "1", time.Second); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrOutcomeUnknown", err)
	}
}

// Guards against reporting a request as not sent that the target may have read.
func TestClosedConnectionAfterRequestIsUnknown(t *testing.T) {
	p := serveTarget(t, func(_ int, _ net.Conn, in *bufio.Reader) { _, _ = http.ReadRequest(in) })
	if _, err := send(t, p, "1", time.Second); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrOutcomeUnknown", err)
	}
}

// Guards against an unknown outcome of a request that certainly was not sent.
func TestRefusedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	p := NewPool(address, 1, bodybuf.NewBudget(testBodyMemory))
	if _, err := send(t, p, "1", time.Second); !errors.Is(err, ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
}

// Guards against opening more connections than the pool's share of those that the target
// accepts.
func TestBoundsConnections(t *testing.T) {
	block := make(chan struct{})
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		<-block
		echo(0, c, in)
	})
	p.SetLimit(1)
	first := make(chan error, 1)
	go func() {
		_, err := send(t, p, "1", 2*time.Second)
		first <- err
	}()
	for {
		if open, _ := p.Counts(); open == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if _, err := send(t, p, "2", time.Second); !errors.Is(err, ErrPoolExhausted) || !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrPoolExhausted and ErrNotSent", err)
	}
	close(block)
	if err := <-first; err != nil {
		t.Errorf("first request: %v", err)
	}
}

// Guards against changing the header or the path of the caller's request.
func TestForwardsRequestUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		got <- r
		_, _ = io.WriteString(c, responseText(r.Header.Get("Id"), ""))
	})
	req := request("1")
	req.URI, req.Target, req.TimeLeft = "/a%2Fb/../c?x=%20&y", "t1", 1200*time.Millisecond
	req.Header.Set("Id", "1")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := p.Send(ctx, req); err != nil {
		t.Fatal(err)
	}
	r := <-got
	if r.RequestURI != req.URI || r.Host != "h" || r.Header.Get("Expect") != "t1" || r.Header.Get("Left") != "1200" {
		t.Errorf("got %s %v of host %s", r.RequestURI, r.Header, r.Host)
	}
	if _, added := r.Header["User-Agent"]; added {
		t.Error("a User-Agent was added")
	}
}

// Guards against a send that ends at its deadline with the error of its closed connection: callers
// got 502 in place of 504.
func TestSendReportsDeadline(t *testing.T) {
	p := serveTarget(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			time.Sleep(300 * time.Millisecond) // without reading on
		}
	})
	for _, size := range []int{0, 16 << 20} {
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			req := request("1")
			req.Body = make([]byte, size)
			_, err := p.Send(ctx, req)
			cancel()
			if !errors.Is(err, ErrNotSent) && (!errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, context.DeadlineExceeded)) {
				t.Errorf("body of %d bytes: %v, want ErrOutcomeUnknown and DeadlineExceeded", size, err)
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := p.Send(ctx, request("1")); !errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("canceled: %v, want Canceled", err)
	}
}

// Guards against refusing a request because a concurrent one took the connection that was closed to
// make room for it: the target then counted as full.
func TestConcurrentRequestsReplaceIdleConnections(t *testing.T) {
	const connections = 3
	p := serveTarget(t, echo)
	p.SetLimit(connections)
	for round := range 2000 {
		fillPool(t, p, connections)
		var wg sync.WaitGroup
		for range connections {
			wg.Go(func() {
				if _, err := send(t, p, "", 5*time.Second); errors.Is(err, ErrPoolExhausted) {
					t.Errorf("round %d: %v, though idle connections could be closed", round, err)
				}
			})
		}
		wg.Wait()
	}
}

// fillPool opens connections until n are open. They are idle.
func fillPool(t *testing.T, p *Pool, n int) {
	t.Helper()
	for open, _ := p.Counts(); open < n; open, _ = p.Counts() {
		p.mu.Lock()
		p.open++
		p.mu.Unlock()
		c, err := dial(t.Context(), p.address, p.bodies)
		if err != nil {
			t.Fatal(err)
		}
		p.putIdle(c)
	}
}
