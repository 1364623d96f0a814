package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

const (
	// smallestInstance is the memory of the smallest instances, in bytes. Responses of broken
	// targets may take half of it.
	smallestInstance = 184 << 20
	concurrentSends  = 60
)

// writeEndlessly writes a text again and again until the connection ends.
func writeEndlessly(c net.Conn, text string) {
	block := []byte(strings.Repeat(text, max(32<<10/len(text), 1)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// watchHeap calls f and returns the largest heap that was seen meanwhile, in bytes.
func watchHeap(f func()) uint64 {
	done := make(chan struct{})
	var highest uint64
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapAlloc)
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
	f()
	close(done)
	wg.Wait()
	return highest
}

// sendOnOpenConnection sends a request, and once more while no connection could be opened in time.
// On a busy machine that may take longer than the dial's timeout.
func sendOnOpenConnection(t *testing.T, p *Pool, deadline time.Duration) (*Response, error) {
	t.Helper()
	for end := time.Now().Add(deadline); ; {
		r, err := send(t, p, "1", deadline)
		if !errors.Is(err, ErrNotSent) || !dialTimedOut(err) || time.Now().After(end) {
			return r, err
		}
	}
}

// dialTimedOut reports whether an error is that of a connection that was not opened in time.
func dialTimedOut(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// Guards against a response without an end that fills the memory or keeps its send until the
// deadline: 60 sends took 3.7 GB within 3 s.
func TestEndlessResponsesEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n"
	for name, c := range map[string]struct{ begin, repeat string }{
		"body without length":      {head + "\r\n", "x"},
		"body of chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"body of smallest chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"body longer than allowed": {head + "Content-Length: 9223372036854775807\r\n\r\n", "x"},
		"field of a head":          {head + "X: ", "x"},
		"fields of a head":         {head, "a:\r\n"},
		"status line":              {"HTTP/1.1 200 ", "x"},
		"interim head":             {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n"},
		"interim heads":            {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk extension":          {head + "Transfer-Encoding: chunked\r\n\r\n1;a=", "x"},
		"trailer":                  {head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\n", "T: x\r\n"},
		"responses to others":      {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		"body of another response": {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			p := serveTarget(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.begin)
				writeEndlessly(conn, c.repeat)
			})
			p.SetLimit(concurrentSends)
			const deadline = 20 * time.Second
			start := time.Now()
			highest := watchHeap(func() {
				var wg sync.WaitGroup
				for range concurrentSends {
					wg.Go(func() {
						if r, err := sendOnOpenConnection(t, p, deadline); !errors.Is(err, ErrOutcomeUnknown) {
							t.Errorf("got %v, %v, want ErrOutcomeUnknown", r, err)
						}
					})
				}
				wg.Wait()
			})
			if took := time.Since(start); took > deadline/2 {
				t.Errorf("the sends ended after %v, not with the first bytes beyond the bounds", took)
			}
			if highest > smallestInstance/2 {
				t.Errorf("the heap reached %d MB, want at most %d", highest>>20, smallestInstance/2>>20)
			}
		})
	}
}

// Guards against bodies that are complete but together take more memory than their budget, and
// against refusing them although they fit one after the other.
func TestBodiesShareMemory(t *testing.T) {
	const size = 1 << 20
	response := []byte(responseText("1", strings.Repeat("x", size)))
	p := serveTarget(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = conn.Write(response)
		}
	})
	p.SetLimit(concurrentSends)
	highest := watchHeap(func() {
		var wg sync.WaitGroup
		for range concurrentSends {
			wg.Go(func() {
				r, err := sendOnOpenConnection(t, p, 20*time.Second)
				if err != nil || len(r.Body) != size {
					t.Errorf("got %v, want the whole body", err)
				}
				time.Sleep(20 * time.Millisecond) // while the caller reads it
				r.Release()
			})
		}
		wg.Wait()
	})
	if highest > smallestInstance/2 {
		t.Errorf("the heap reached %d MB, want at most %d", highest>>20, smallestInstance/2>>20)
	}
}

// Guards against responses that announce large bodies and send nothing, and so keep the memory
// that other responses need until their deadlines.
func TestSilentResponsesHoldNoMemory(t *testing.T) {
	const silent = 4
	announced := make(chan struct{}, silent)
	done := make(chan struct{})
	p := serveTarget(t, func(n int, conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if n > silent {
			_, _ = io.WriteString(conn, responseText("1", strings.Repeat("x", 100<<10)))
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: %d\r\n\r\n", testBodyMemory/2)
		announced <- struct{}{}
		<-done
	})
	p.SetLimit(2 * silent)
	var wg sync.WaitGroup
	for range silent {
		wg.Go(func() {
			if _, err := send(t, p, "1", 20*time.Second); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("silent response: %v, want ErrOutcomeUnknown", err)
			}
		})
	}
	for range silent {
		<-announced
	}
	time.Sleep(50 * time.Millisecond) // until the heads are read
	if r, err := send(t, p, "1", 2*time.Second); err != nil || len(r.Body) != 100<<10 {
		t.Errorf("response beside silent ones: %v", err)
	}
	close(done)
	wg.Wait()
}

// Guards against a response that breaks off halfway and counts as complete.
func TestBrokenOffResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n"
	for name, c := range map[string]struct {
		text  string
		reset bool
	}{
		"length":                          {head + "Content-Length: 10\r\n\r\nhalf", false},
		"length, reset":                   {head + "Content-Length: 10\r\n\r\nhalf", true},
		"within a chunk":                  {head + "Transfer-Encoding: chunked\r\n\r\na\r\nhalf", false},
		"between chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		"between chunks, reset":           {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true},
		"after the last chunk":            {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", false},
		"within the trailer":              {head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4\r\nhalf\r\n0\r\nT: x", false},
		"before the end of the trailer":   {head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4\r\nhalf\r\n0\r\nT: x\r\n", false},
		"without a length, reset":         {head + "\r\nhalf", true},
		"within the head":                 {head, false},
		"within a second copy of another": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 10\r\n\r\nhalf", false},
	} {
		t.Run(name, func(t *testing.T) {
			p := serveTarget(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.text)
				time.Sleep(20 * time.Millisecond)
				if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
					_ = tcp.SetLinger(0)
				}
			})
			if r, err := send(t, p, "1", 5*time.Second); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("got %+v, %v, want ErrOutcomeUnknown", r, err)
			}
		})
	}
}

// Guards against taking a late second copy of a response, on a connection in use again, for the
// response to the next request.
func TestLateCopies(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		late    string // arrives after the second request was sent
		wantErr bool
	}{
		"copy":                 {responseText("1", "first"), false},
		"two copies":           {responseText("1", "first") + responseText("1", "first"), false},
		"copy without its end": {strings.Replace(responseText("1", "first"), "first", "fi", 1), true},
		"refusal without ID":   {refusal, false},
		"bytes":                {"garbage", true},
	} {
		t.Run(name, func(t *testing.T) {
			p := serveTarget(t, func(_ int, conn net.Conn, in *bufio.Reader) {
				for n := 1; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if n == 2 {
						_, _ = io.WriteString(conn, c.late)
					}
					_, _ = io.WriteString(conn, responseText(r.Header.Get("Id"), "own "+r.Header.Get("Id")))
				}
			})
			if _, err := send(t, p, "1", time.Second); err != nil {
				t.Fatal(err)
			}
			r, err := send(t, p, "2", time.Second)
			if c.wantErr {
				if !errors.Is(err, ErrOutcomeUnknown) {
					t.Errorf("got %+v, %v, want ErrOutcomeUnknown", r, err)
				}
				return
			}
			if err != nil || string(r.Body) != "own 2" {
				t.Errorf("got %+v, %v, want the response to the second request", r, err)
			}
		})
	}
}

// Guards against taking a late copy of the refusal of a request's first send for the response
// to its second send to the same target: both have the request's ID.
func TestSecondSendOfRequestUsesAnotherConnection(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	p := serveTarget(t, func(n int, conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if n > 1 {
			_, _ = io.WriteString(conn, responseText("1", "ran"))
			return
		}
		_, _ = io.WriteString(conn, refusal)
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, refusal)
		}
	})
	if r, err := send(t, p, "1", time.Second); err != nil || r.Status != http.StatusServiceUnavailable {
		t.Fatalf("first send: %+v, %v", r, err)
	}
	if r, err := send(t, p, "1", time.Second); err != nil || string(r.Body) != "ran" {
		t.Errorf("second send: %+v, %v, want the response of the run", r, err)
	}
}

// Guards against taking a late copy of the response to one grant for that to the next one.
func TestResponsesToGrants(t *testing.T) {
	p := serveTarget(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		first := ""
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			if first == "" {
				first = id
				_, _ = io.WriteString(conn, responseText(id, "granted"))
				continue
			}
			_, _ = io.WriteString(conn, responseText(first, "granted")+
				"HTTP/1.1 409 Conflict\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	for i, want := range []int{http.StatusOK, http.StatusConflict} {
		req := request([]string{"g1", "g2"}[i])
		req.EchoOptional = true
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := p.Send(ctx, req)
		cancel()
		if err != nil || r.Status != want {
			t.Errorf("grant %d: %+v, %v, want status %d", i+1, r, err, want)
		}
	}
}

// Guards against a pause that is taken from text which is no number of seconds, or that lasts
// without a bound.
func TestPause(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, " 1 ": time.Second, "": 0, "0": 0, "-3": 0, "NaN": 0, "soon": 0,
		"Inf": maxPause, "1e300": maxPause, "31536000": maxPause, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		r := &Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {text}}}
		if got := r.Pause(); got != want {
			t.Errorf("Retry-After %q: %v, want %v", text, got, want)
		}
	}
	if got := (&Response{Status: http.StatusOK, Header: http.Header{"Retry-After": {"2"}}}).Pause(); got != 0 {
		t.Errorf("a success asked for a pause of %v", got)
	}
}

// Guards against a grant that leaves after the coordinator's lease has ended, because opening
// the connection took longer than the margin or the process was suspended meanwhile.
func TestRequestIsNotSentTooLate(t *testing.T) {
	var arrived atomic.Int64
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			arrived.Add(1)
			_, _ = io.WriteString(c, responseText("1", "ok"))
		}
	})
	for name, notAfter := range map[string]time.Duration{"in the past": clock.Now() - time.Millisecond, "now": clock.Now()} {
		req := request("1")
		req.NotAfter = notAfter
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := p.Send(ctx, req)
		cancel()
		if !errors.Is(err, ErrNotSent) || arrived.Load() != 0 {
			t.Errorf("%s: %v, %d requests arrived, want ErrNotSent", name, err, arrived.Load())
		}
	}
	req := request("1")
	req.NotAfter = clock.Now() + time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := p.Send(ctx, req); err != nil || arrived.Load() != 1 {
		t.Errorf("in time: %v, %d requests arrived", err, arrived.Load())
	}
}

// Guards against taking the response to a HEAD request for cut off: its head states the length of
// a body that is not sent.
func TestResponseToHead(t *testing.T) {
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\n")
		}
	})
	req := request("1")
	req.Method = http.MethodHead
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if r, err := p.Send(ctx, req); err != nil || r.Status != http.StatusOK || len(r.Body) != 0 {
		t.Errorf("got %+v, %v", r, err)
	}
}
