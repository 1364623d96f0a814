package front

import (
	"fmt"
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
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// newBodyHandler returns a handler that reads the body of each request within a second, with
// the given memory and limit for one body, and refuses those that it does not accept.
func newBodyHandler(memory, limit int64) http.Handler {
	h := &Handler{
		Names: &upstream.HeaderNames{}, Bodies: bodybuf.NewBudget(memory), Log: slog.New(slog.DiscardHandler), ObserveRequest: func(Result) {},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := clock.Now()
		body, err := h.readBody(w, r, limit, now+time.Second)
		if err != nil {
			h.refuseBody(w, r, &route.Route{}, now, err)
			return
		}
		defer body.Release()
		time.Sleep(50 * time.Millisecond) // while the target works
		_, _ = fmt.Fprint(w, len(body.Bytes()))
	})
}

// Guards against a caller's body without an end, or one that is larger than the limit, that is
// read on or kept in memory.
func TestBodiesBeyondTheLimit(t *testing.T) {
	address := startServer(t, newBodyHandler(1<<20, 64<<10))
	for name, text := range map[string]string{
		"announced": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000),
		"chunks":    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 24),
	} {
		t.Run(name, func(t *testing.T) {
			if got := exchange(t, address, text); len(got) != 1 || got[0] != http.StatusRequestEntityTooLarge {
				t.Errorf("got statuses %v, want 413", got)
			}
		})
	}
}

// Guards against the bodies of many callers that together fill the memory, and against losing
// requests instead of refusing them as not run.
func TestBodiesBeyondTheMemory(t *testing.T) {
	const callers, size, memory = 40, 64 << 10, 512 << 10
	address := startServer(t, newBodyHandler(memory, 1<<20))
	var mu sync.Mutex
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			resp, err := http.Post("http://"+address+"/a", "", strings.NewReader(strings.Repeat("x", size)))
			if err != nil {
				t.Errorf("request without an answer: %v", err)
				return
			}
			_ = resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.StatusCode]++
			if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				t.Error("refused without a Retry-After")
			}
		})
	}
	wg.Wait()
	if statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != callers || statuses[http.StatusOK] == 0 {
		t.Errorf("got statuses %v, want only 200 and 503", statuses)
	}
}

// Guards against a body that the configuration allows and the memory could hold, but that is
// refused each time. One that the instance cannot hold is refused before it is read.
func TestBodiesOfHalfTheMemoryAndMore(t *testing.T) {
	const memory, limit = 355 << 10, 640 << 10
	address := startServer(t, newBodyHandler(memory, limit))
	for _, size := range []int{160 << 10, 200 << 10, 350 << 10} {
		body := strings.Repeat("x", size)
		for kind, reader := range map[string]io.Reader{"with a length": strings.NewReader(body), "in chunks": io.MultiReader(strings.NewReader(body))} {
			resp, err := http.Post("http://"+address+"/a", "", reader)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("%d bytes %s: status %d, want 200", size, kind, resp.StatusCode)
			}
		}
	}
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, 64)
	if n, err := c.Read(answer); err != nil || !strings.HasPrefix(string(answer[:n]), "HTTP/1.1 503") {
		t.Errorf("body beyond the memory: %q, %v, want 503 before it is sent", answer[:n], err)
	}
}

// Guards against a caller that sends its body too slowly and keeps its request beyond the
// deadline.
func TestSlowBodyIsRefusedAtTheDeadline(t *testing.T) {
	address := startServer(t, newBodyHandler(1<<20, 64<<10))
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	start := time.Now()
	_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, 64)
	n, err := c.Read(answer)
	if took := time.Since(start); err != nil || !strings.HasPrefix(string(answer[:n]), "HTTP/1.1 408") || took > 2*time.Second {
		t.Errorf("got %q, %v after %v, want 408 after a second", answer[:n], err, took)
	}
}

// Guards against a body that changes or is cut on its way to the caller because it is written in
// parts.
func TestLargeResponse(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 20000)
	h := &Handler{Names: &upstream.HeaderNames{}, Log: slog.New(slog.DiscardHandler)}
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.writeResponse(w, &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(body)})
	}))
	resp, err := http.Get("http://" + address + "/a")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != body {
		t.Errorf("got %d bytes, %v, want the %d bytes that the target sent", len(got), err, len(body))
	}
}

// Guards against a refusal for lack of memory that does not say that the request has not run.
func TestNoMemoryIsNotRun(t *testing.T) {
	if got := refusalStatus(&dispatch.Refusal{Reason: dispatch.NoMemory}); got != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got)
	}
}
