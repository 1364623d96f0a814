package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/proptest"
)

// Guards against taking a late copy of a rejection for the response to a later send of the same
// request where the connection has carried another request in between: a request that must not
// repeat ran twice, or ran and was refused as not run (review/12).
func TestRepeatedRequestAvoidsEachEarlierConnection(t *testing.T) {
	rejection := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	p := serveTarget(t, func(n int, conn net.Conn, in *bufio.Reader) {
		for sent := 0; ; sent++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			switch {
			case id == "1" && n == 1 && sent == 0:
				_, _ = io.WriteString(conn, rejection)
			case id == "1" && n == 1:
				_, _ = io.WriteString(conn, rejection+responseText(id, "ran"))
			default:
				_, _ = io.WriteString(conn, responseText(id, "ran"))
			}
		}
	})
	for i, want := range []struct {
		id     string
		status int
	}{{"1", http.StatusServiceUnavailable}, {"2", http.StatusOK}, {"1", http.StatusOK}} {
		if r, err := send(t, p, want.id, 5*time.Second); err != nil || r.Status != want.status {
			t.Fatalf("send %d, of request %s: %+v, %v, want status %d", i+1, want.id, r, err, want.status)
		}
	}
	if _, dialed := p.Counts(); dialed != 2 {
		t.Errorf("dialed %d connections, want 2", dialed)
	}
}

// copyingTarget answers each request with its send number, behind late copies of the earlier
// responses of the connection that the request's field Copies names. A response is held until the
// requests of a batch have arrived.
type copyingTarget struct {
	mu      sync.Mutex
	batch   *sync.WaitGroup
	carried map[string]int // sends by connection and ID
}

func (c *copyingTarget) serve(n int, conn net.Conn, in *bufio.Reader) {
	var earlier []string
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Id")
		c.mu.Lock()
		c.carried[fmt.Sprint(n, " ", id)]++
		batch := c.batch
		c.mu.Unlock()
		batch.Done()
		batch.Wait()
		text := ""
		for field := range strings.FieldsSeq(r.Header.Get("Copies")) {
			if i, err := strconv.Atoi(field); err == nil && len(earlier) > 0 {
				text += earlier[i%len(earlier)]
			}
		}
		status, _ := strconv.Atoi(r.Header.Get("Status"))
		body := r.Header.Get("Send")
		own := fmt.Sprintf("HTTP/1.1 %d %s\r\nId: %s\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, len(body), body)
		earlier = append(earlier, own)
		if _, err := io.WriteString(conn, text+own); err != nil {
			return
		}
	}
}

// startBatch makes the target hold responses until n requests have arrived.
func (c *copyingTarget) startBatch(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batch = &sync.WaitGroup{}
	c.batch.Add(n)
}

// Guards against a response that belongs to another send, whichever requests are repeated, at
// once or after others, and whichever earlier responses arrive again.
func TestEachResponseBelongsToItsSend(t *testing.T) {
	proptest.Check(t, 12, 60, func(rt *rapid.T) {
		target := &copyingTarget{carried: make(map[string]int)}
		p := serveTarget(t, target.serve)
		defer p.Close()
		number := 0
		for range rapid.IntRange(1, 12).Draw(rt, "batches") {
			size := rapid.IntRange(1, 3).Draw(rt, "size")
			ids := rapid.SliceOfNDistinct(rapid.IntRange(1, 5), size, size, rapid.ID).Draw(rt, "ids")
			target.startBatch(size)
			var wg sync.WaitGroup
			errs := make([]error, size)
			for i, id := range ids {
				number++
				req := request(strconv.Itoa(id))
				req.Header.Set("Send", strconv.Itoa(number))
				req.Header.Set("Status", strconv.Itoa(rapid.SampledFrom([]int{200, 421, 503}).Draw(rt, "status")))
				req.Header.Set("Copies", strings.Trim(fmt.Sprint(rapid.SliceOfN(rapid.IntRange(0, 9), 0, maxReadResponses-1).Draw(rt, "copies")), "[]"))
				wg.Go(func() { errs[i] = sendExpectingOwn(t.Context(), p, req) })
			}
			wg.Wait()
			if err := errors.Join(errs...); err != nil {
				rt.Fatal(err)
			}
		}
		target.mu.Lock()
		defer target.mu.Unlock()
		for connAndID, n := range target.carried {
			if n > 1 {
				rt.Errorf("connection and request %s: sent %d times", connAndID, n)
			}
		}
	})
}

// sendExpectingOwn returns an error unless the response is the one to this send.
func sendExpectingOwn(ctx context.Context, p *Pool, req *Request) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := p.Send(ctx, req)
	if err != nil {
		return fmt.Errorf("request %s: %w", req.ID, err)
	}
	defer r.Release()
	if string(r.Body) != req.Header.Get("Send") {
		return fmt.Errorf("request %s: got the response to send %s, want that to send %s", req.ID, r.Body, req.Header.Get("Send"))
	}
	return nil
}

// Guards against a history that grows with the requests of a connection, and against one that
// forgets a request that may still be sent again.
func TestHistoryIsBoundedAndKeepsWhatMayRepeat(t *testing.T) {
	var s sentIDs
	const step = 20 * time.Millisecond
	now := time.Duration(0)
	for i := range 100 * maxSentIDs {
		id := strconv.Itoa(i)
		if s.isFull(now) {
			t.Fatalf("full after %d requests, %v apart", i, step)
		}
		s.add(id, now, time.Second)
		if oldest := i - int(minIDRetention/step); oldest >= 0 && !s.contains(strconv.Itoa(oldest)) {
			t.Fatalf("request %d forgotten after %v", oldest, minIDRetention)
		}
		now += step
	}
	if cap(s.entries) > maxSentIDs {
		t.Errorf("history has room for %d requests, want at most %d", cap(s.entries), maxSentIDs)
	}
	s = sentIDs{}
	for i := range maxSentIDs {
		s.add(strconv.Itoa(i), 0, time.Hour)
	}
	if !s.isFull(time.Hour) || !s.contains("0") {
		t.Error("a request was forgotten before its time was up")
	}
	if s.isFull(time.Hour + 1) {
		t.Error("requests whose time is up still count")
	}
}

// Guards against reusing a connection whose history has no room: the next request on it would be
// forgotten.
func TestConnectionWithFullHistoryIsNotReused(t *testing.T) {
	p := serveTarget(t, echo)
	if _, err := send(t, p, "first", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	for i := range maxSentIDs - 2 {
		p.idle[0].sent.add(strconv.Itoa(i), clock.Now(), time.Hour)
	}
	p.mu.Unlock()
	for i, wantDialed := range []uint64{1, 2, 2} {
		if _, err := send(t, p, fmt.Sprint("request ", i), 5*time.Second); err != nil {
			t.Fatal(err)
		}
		if _, dialed := p.Counts(); dialed != wantDialed {
			t.Errorf("request %d: dialed %d connections so far, want %d", i, dialed, wantDialed)
		}
	}
}

// Guards against a copy in two parts, of which the second arrives when the next request has been
// written, and against more copies than are read for one request: neither may count as the response.
func TestCopiesInPartsAndInSeries(t *testing.T) {
	wrong, unknown, own := 0, 0, 0
	for _, status := range []int{http.StatusOK, http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		earlier := orderedResponse(status, "1", "copy", fieldOrders[0])
		for _, copies := range []int{1, 2, maxReadResponses, 3 * maxReadResponses} {
			series := strings.Repeat(earlier, copies)
			for _, first := range []int{0, 1, 20, len(earlier) - 1, len(earlier), len(series)} {
				p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
					rest := series
					for n := 1; ; n++ {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						id := r.Header.Get("Id")
						if n == 1 {
							_, _ = io.WriteString(c, responseText(id, "own "+id)+series[:first])
							rest = series[first:]
							continue
						}
						_, _ = io.WriteString(c, rest+responseText(id, "own "+id))
						rest = ""
					}
				})
				for _, id := range []string{"1", "2"} {
					r, err := send(t, p, id, 5*time.Second)
					switch {
					case errors.Is(err, ErrOutcomeUnknown):
						unknown++
					case err != nil || string(r.Body) != "own "+id:
						wrong++
						t.Errorf("%d copies of status %d, %d bytes before the next request: response to request %s: %+v, %v", copies, status, first, id, r, err)
					default:
						own++
					}
				}
				p.Close()
			}
		}
	}
	t.Logf("%d own, %d unknown, %d wrong", own, unknown, wrong)
}
