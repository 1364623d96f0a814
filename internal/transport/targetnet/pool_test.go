package targetnet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startTarget(tb testing.TB, c targetsrv.Config) (*targetsrv.Server, string) {
	tb.Helper()
	s := targetsrv.New(c)
	a, err := s.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = s.Close() })
	return s, a.String()
}

func startPool(tb testing.TB, c Config) *Pool {
	tb.Helper()
	p := New(c)
	tb.Cleanup(p.Close)
	return p
}

func newRequest(id, query string, body io.Reader) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "/x?"+query, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set(header.RequestID, id)
	return req
}

// call sends a request and reads the whole response.
func call(p *Pool, req *http.Request, o Options) ([]byte, *Response, error) {
	resp, err := p.RoundTrip(context.Background(), req, o)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return body, resp, err
}

// checkOutcome compares what a caller was told with the target's record, which
// is complete only after the target has stopped.
func checkOutcome(t *testing.T, id string, err error, runs int) {
	t.Helper()
	switch {
	case runs > 1:
		t.Errorf("%s ran %d times", id, runs)
	case err == nil && runs != 1:
		t.Errorf("%s succeeded without a run", id)
	case errors.Is(err, ErrNotSent) && runs != 0:
		t.Errorf("%s ran, but was reported as not sent: %v", id, err)
	case errors.Is(err, ErrNotSent) && errors.Is(err, ErrUnknown):
		t.Errorf("%s has two outcomes: %v", id, err)
	case err != nil && !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrUnknown):
		t.Errorf("%s has no outcome: %v", id, err)
	}
}

// faultyConn lets a test act around the writes of one connection.
type faultyConn struct {
	net.Conn
	write func(c net.Conn, b []byte) (int, error)
}

func (c faultyConn) Write(b []byte) (int, error) { return c.write(c.Conn, b) }

// Guards against a resend, and against a wrong outcome, when a connection breaks
// at each point of the write of a request on a reused connection.
func TestBreakDuringWrite(t *testing.T) {
	breaks := map[string]struct {
		write func(c net.Conn, b []byte) (int, error)
		want  error
	}{
		"closed before the write": {func(c net.Conn, b []byte) (int, error) {
			_ = c.Close()
			return c.Write(b)
		}, ErrNotSent},
		"closed within the write": {func(c net.Conn, b []byte) (int, error) {
			n, _ := c.Write(b[:len(b)/2])
			_ = c.Close()
			return n, net.ErrClosed
		}, ErrUnknown},
		"closed after the write": {func(c net.Conn, b []byte) (int, error) {
			n, err := c.Write(b)
			_ = c.Close()
			return n, err
		}, ErrUnknown},
		"written but reported as failed": {func(c net.Conn, b []byte) (int, error) {
			n, _ := c.Write(b)
			return n, net.ErrClosed
		}, ErrUnknown},
	}
	for name, b := range breaks {
		t.Run(name, func(t *testing.T) {
			s, address := startTarget(t, targetsrv.Config{})
			var broken atomic.Bool
			p := startPool(t, Config{Address: address, MaxConnections: 2, Dial: func(ctx context.Context, n, a string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, n, a)
				return faultyConn{c, func(c net.Conn, data []byte) (int, error) {
					if broken.Load() {
						return b.write(c, data)
					}
					return c.Write(data)
				}}, err
			}})
			if _, _, err := call(p, newRequest("first", "", nil), Options{}); err != nil {
				t.Fatal(err)
			}
			// A frozen target cannot respond before the break is noticed.
			s.Update(func(f *targetsrv.Faults) { f.Frozen = true })
			broken.Store(true)
			_, _, err := call(p, newRequest("second", "", nil), Options{})
			broken.Store(false)
			s.Update(func(f *targetsrv.Faults) { f.Frozen = false })
			if !errors.Is(err, b.want) {
				t.Errorf("got %v, want %v", err, b.want)
			}
			if _, resp, err := call(p, newRequest("third", "", nil), Options{}); err != nil || resp.Reused {
				t.Errorf("the broken connection was kept: %v", err)
			}
			_ = s.Close()
			checkOutcome(t, "second", err, s.Runs().Counts()["second"])
		})
	}
}

// Guards against wrong outcomes and against more sockets than the bound, while
// connections are closed idle by both sides, requests are cancelled, never-repeat
// requests replace connections, and the target fails in every way it can.
func TestOutcomesAndBoundUnderRaces(t *testing.T) {
	const bound, workers, each = 5, 32, 60
	s, address := startTarget(t, targetsrv.Config{Slots: workers, IdleTimeout: 2 * time.Millisecond})
	var open, most atomic.Int64
	p := New(Config{Address: address, MaxConnections: bound, IdleTimeout: 3 * time.Millisecond, Dial: countSockets(&open, &most)})
	results := make([][each]error, workers)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(uint64(w), 1))
			for i := range each {
				results[w][i] = raceOnce(p, random, fmt.Sprintf("%d/%d", w, i))
			}
		})
	}
	disturb(s, p)
	wg.Wait()
	// A connection is given back shortly after its body is closed early.
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if p.permits.Acquire(ctx, bound) != nil {
		t.Error("a permit was lost")
	}
	p.Close()
	_ = s.Close()
	if n := open.Load(); n != 0 {
		t.Errorf("%d sockets are open after the pool was closed", n)
	}
	if n := most.Load(); n > bound {
		t.Errorf("up to %d sockets were open, the bound is %d", n, bound)
	}
	counts := s.Runs().Counts()
	outcomes := map[string]int{}
	defer func() { t.Logf("outcomes: %v", outcomes) }()
	for w := range workers {
		for i, err := range results[w] {
			id := fmt.Sprintf("%d/%d", w, i)
			checkOutcome(t, id, err, counts[id])
			outcomes[fmt.Sprintf("sent=%v unknown=%v runs=%d", !errors.Is(err, ErrNotSent), errors.Is(err, ErrUnknown), counts[id])]++
		}
	}
}

// disturb sets one fault after another and clears the last one.
func disturb(s *targetsrv.Server, p *Pool) {
	faults := []targetsrv.Faults{{Silence: true}, {LoseResponse: true}, {Frozen: true}, {Truncate: 7}, {}}
	for i := range 10 * len(faults) {
		s.Update(func(f *targetsrv.Faults) { *f = faults[i%len(faults)] })
		time.Sleep(4 * time.Millisecond)
		p.CloseSuspects()
		p.CloseOlderThan(time.Now().Add(-20 * time.Millisecond))
	}
}

func raceOnce(p *Pool, random *rand.Rand, id string) error {
	ctx := context.Background()
	if random.IntN(4) == 0 {
		limited, cancel := context.WithTimeout(ctx, time.Duration(random.IntN(4000))*time.Microsecond)
		defer cancel()
		ctx = limited
	}
	time.Sleep(time.Duration(random.IntN(5)) * time.Millisecond)
	query := fmt.Sprintf("work_ms=%d&bytes=%d", random.IntN(3), random.IntN(2)*20_000)
	var body io.Reader
	if random.IntN(3) == 0 {
		body = io.MultiReader(strings.NewReader("streamed"))
	}
	resp, err := p.RoundTrip(ctx, newRequest(id, query, body), Options{NeverRepeat: random.IntN(2) == 0, SilentAfter: time.Millisecond})
	if err != nil {
		return err
	}
	if random.IntN(3) > 0 {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_ = resp.Body.Close()
	return nil
}

// countSockets counts open sockets from the start of their dial to their close.
func countSockets(open, most *atomic.Int64) DialFunc {
	return func(ctx context.Context, n, a string) (net.Conn, error) {
		now := open.Add(1)
		for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
		}
		c, err := (&net.Dialer{}).DialContext(ctx, n, a)
		if err != nil {
			open.Add(-1)
			return nil, err
		}
		return &countedSocket{Conn: c, open: open}, nil
	}
}

type countedSocket struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedSocket) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.open.Add(-1) })
	return err
}

// Guards against a truncated response that passes for a complete one, and
// against the loss of trailers and of streamed request bodies.
func TestTruncationIsAnError(t *testing.T) {
	s, address := startTarget(t, targetsrv.Config{Name: "a"})
	p := startPool(t, Config{Address: address, MaxConnections: 1})
	for _, query := range []string{"bytes=50000", "bytes=50000&trailers=1", "bytes=50000&chunks=5"} {
		want := targetsrv.Body("a", "", "whole", 4, 50000)
		body, resp, err := call(p, newRequest("whole", query, io.MultiReader(strings.NewReader("ab"), strings.NewReader("cd"))), Options{})
		if err != nil || string(body) != string(want) {
			t.Fatalf("%s: %d bytes, %v", query, len(body), err)
		}
		if strings.Contains(query, "trailers") && resp.Trailer.Get(targetsrv.SumTrailer) == "" {
			t.Errorf("%s: trailer lost", query)
		}
		for _, cut := range []targetsrv.Faults{{Truncate: 1}, {Truncate: 49_999}, {LoseResponse: true}} {
			s.Update(func(f *targetsrv.Faults) { *f = cut })
			body, _, err := call(p, newRequest("cut", query, nil), Options{})
			if err == nil {
				t.Errorf("%s with %+v: %d bytes passed for complete", query, cut, len(body))
			}
			s.Update(func(f *targetsrv.Faults) { *f = targetsrv.Faults{} })
		}
	}
}
