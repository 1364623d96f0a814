package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// framingConn checks the framing of the requests on a connection, to prevent request
// smuggling: what another server may delimit differently must not be served, nor what follows
// it.
type framingConn struct {
	net.Conn
	// ambiguousFrom is the number of the first request with ambiguous framing; 0 if there is none.
	ambiguousFrom atomic.Int64
	begun         int64 // number of requests passed to the handler
	leave         leaveWatch
	// beyondLimit is true if the requests are to be refused, see admission.
	beyondLimit bool
	running     atomic.Pointer[runningRequest] // nil between requests

	stateMu sync.Mutex
	// waiting is true while net/http waits for the next request, idle until a byte of that has been
	// read, and lastRequest once no further request is accepted.
	waiting, idle, lastRequest bool
	idleSince                  time.Duration
	headBegan                  time.Duration // when the first byte of the next request was read
	headTimeout                time.Duration
	// bytesWaiting is true after net/http has read ahead one byte of a pipelined request.
	bytesWaiting atomic.Bool

	scanner framingScanner // used by Read only
}

// framingConnKey is the context key of a request's connection.
type framingConnKey struct{}

func withFramingConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, framingConnKey{}, c)
}

// begin returns the number of a request that is passed to the handler, from 1.
func (c *framingConn) begin() int64 {
	c.begun++
	return c.begun
}

// isAmbiguous reports whether a request, or one before it, has ambiguous framing as far as it has
// been read.
func (c *framingConn) isAmbiguous(request int64) bool {
	from := c.ambiguousFrom.Load()
	return from > 0 && request >= from
}

// refuseNextRequest ends the connection if it is idle, and otherwise after the current request. A
// request that has begun to arrive is the current one.
func (c *framingConn) refuseNextRequest() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.lastRequest = true; c.idle {
		c.endReadIn(0)
	}
}

// endReadIn ends a Read that is under way, or the next one, after a time. net/http sets the deadline
// anew for each request, after it has called setWaiting.
func (c *framingConn) endReadIn(after time.Duration) { _ = c.SetReadDeadline(time.Now().Add(after)) }

// idleTime returns for how long the connection has been idle, or 0 if it is not.
func (c *framingConn) idleTime(now time.Duration) time.Duration {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if !c.idle || c.lastRequest {
		return 0
	}
	return now - c.idleSince
}

// endIfIdle ends the connection and frees its descriptor if it is idle, and reports whether it
// was.
func (c *framingConn) endIfIdle() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if !c.idle || c.lastRequest {
		return false
	}
	c.lastRequest = true
	if l, ok := c.Conn.(*lingeringConn); ok {
		l.closeAtOnce.Store(true)
	}
	c.endReadIn(0)
	return true
}

// setWaiting records whether net/http waits for the next request. If it has read bytes of that
// already, the connection is not idle.
func (c *framingConn) setWaiting(waiting bool) {
	begun := waiting && (c.scanner.ended > c.begun || c.scanner.inRequest())
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	c.waiting, c.idle, c.idleSince = waiting, waiting && !begun, clock.Now()
	if begun {
		c.headBegan = clock.Now()
	}
}

// arrive records that bytes of a request have been read. Empty lines between two requests do not
// count.
func (c *framingConn) arrive() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.idle {
		c.idle, c.headBegan = false, clock.Now()
	}
}

// beginRead reports whether there is anything to read. It bounds the time for the head of the next
// request from its first byte on; net/http does so from the fourth.
func (c *framingConn) beginRead() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.waiting && !c.idle && c.headTimeout > 0 {
		c.endReadIn(c.headBegan + c.headTimeout - clock.Now())
	}
	return !c.idle || !c.lastRequest
}

// Read implements net.Conn.
func (c *framingConn) Read(b []byte) (int, error) {
	if !c.beginRead() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	ended := c.scanner.ended
	if c.ambiguousFrom.Load() == 0 && !c.scanner.scan(b[:n]) {
		c.ambiguousFrom.Store(c.scanner.ended + 1)
	}
	if c.scanner.ended > ended || c.scanner.inRequest() {
		c.arrive()
	}
	// net/http reads ahead one byte during a request, and larger blocks otherwise.
	readAhead := len(b) == 1 && n == 1
	c.bytesWaiting.Store(readAhead)
	if readAhead {
		c.leave.bytesWaiting(c.Conn)
	}
	return n, err
}

// rejectAmbiguous answers requests with ambiguous framing with 400 and closes their
// connections. A body with ambiguous framing cannot be read.
func rejectAmbiguous(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(framingConnKey{}).(*framingConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		request := conn.begin()
		if conn.isAmbiguous(request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Body != http.NoBody {
			r.Body = checkedBody{r.Body, conn, request}
		}
		next.ServeHTTP(w, r)
	})
}

var errAmbiguousFraming = errors.New("framing of the body is ambiguous")

// checkedBody is the body of a request that fails once its framing is ambiguous.
type checkedBody struct {
	io.ReadCloser
	conn    *framingConn
	request int64
}

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.conn.isAmbiguous(b.request) {
		return 0, errAmbiguousFraming
	}
	return n, err
}
