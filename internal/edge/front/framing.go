package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// framingConn checks the framing of the requests on a connection, to prevent request
// smuggling. net/http accepts a head that has both a Content-Length and a
// Transfer-Encoding, or lines that end in a bare line feed, but another server may
// parse the same bytes differently. A request that follows such a head must not be
// served.
type framingConn struct {
	net.Conn
	ambiguous atomic.Bool
	leave     leaveWatch
	// beyondLimit is true if the requests are to be refused, see admission.
	beyondLimit bool

	stateMu sync.Mutex
	// idle is true between two requests, and lastRequest once no further request is accepted.
	idle, lastRequest bool
	idleSince         time.Duration
	// bytesWaiting is true after net/http has read ahead one byte of a pipelined request.
	bytesWaiting atomic.Bool

	line             []byte
	bodyLeft         int64 // remaining bytes of the current body
	inChunkedBody    bool  // in a chunked body, whose end is not parsed
	contentLength    int64
	hasContentLength bool
	chunked          bool
}

// maxLineBytes limits the buffered part of one header line.
const maxLineBytes = 256

// framingConnKey is the context key of a request's connection.
type framingConnKey struct{}

func withFramingConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, framingConnKey{}, c)
}

// isAmbiguous reports whether a request arrived on a connection with ambiguous framing.
func isAmbiguous(ctx context.Context) bool {
	c, ok := ctx.Value(framingConnKey{}).(*framingConn)
	return ok && c.ambiguous.Load()
}

// refuseNextRequest ends the connection if it is idle, and otherwise after the current request.
// A request that net/http has already begun to read is dropped before it is passed on, or
// served.
func (c *framingConn) refuseNextRequest() {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if c.lastRequest = true; c.idle {
		c.endRead()
	}
}

// endRead ends a Read that is under way. net/http sets the deadline anew for each request, after
// it has called setIdle.
func (c *framingConn) endRead() { _ = c.SetReadDeadline(time.Now()) }

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
	c.endRead()
	return true
}

// setIdle records whether the connection is between two requests.
func (c *framingConn) setIdle(idle bool) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	c.idle, c.idleSince = idle, clock.Now()
}

// ended reports whether no further request is to be read.
func (c *framingConn) ended() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.idle && c.lastRequest
}

// Read implements net.Conn.
func (c *framingConn) Read(b []byte) (int, error) {
	if c.ended() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	c.scan(b[:n])
	// net/http reads ahead one byte during a request, and larger blocks otherwise.
	readAhead := len(b) == 1 && n == 1
	c.bytesWaiting.Store(readAhead)
	if readAhead {
		c.leave.bytesWaiting(c.Conn)
	}
	return n, err
}

// scan parses bytes read from the connection until they are found to be ambiguous.
func (c *framingConn) scan(b []byte) {
	for len(b) > 0 && !c.inChunkedBody && !c.ambiguous.Load() {
		if c.bodyLeft > 0 {
			n := min(c.bodyLeft, int64(len(b)))
			c.bodyLeft -= n
			b = b[n:]
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			c.appendLine(b)
			return
		}
		c.appendLine(b[:end])
		b = b[end+1:]
		c.endLine()
	}
}

func (c *framingConn) appendLine(b []byte) {
	if room := maxLineBytes - len(c.line); len(b) > room {
		// The last byte is needed to distinguish a bare line feed from CRLF.
		c.line = append(c.line, b[:max(room-1, 0)]...)
		b = b[len(b)-1:]
		c.line = c.line[:min(len(c.line), maxLineBytes-1)]
	}
	c.line = append(c.line, b...)
}

// endLine parses a complete line of a request head.
func (c *framingConn) endLine() {
	line, hasCR := bytes.CutSuffix(c.line, []byte("\r"))
	text := string(line)
	c.line = c.line[:0]
	if !hasCR {
		c.ambiguous.Store(true)
		return
	}
	if text == "" {
		c.endHead()
		return
	}
	name, value, found := strings.Cut(text, ":")
	if !found {
		return
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if c.hasContentLength || err != nil {
			c.ambiguous.Store(true)
		}
		c.contentLength, c.hasContentLength = n, true
	case "transfer-encoding":
		c.chunked = true
	}
}

func (c *framingConn) endHead() {
	if c.hasContentLength && c.chunked {
		c.ambiguous.Store(true)
	}
	c.bodyLeft, c.inChunkedBody = c.contentLength, c.chunked
	c.contentLength, c.hasContentLength, c.chunked = 0, false, false
}

// resetAtIdle resumes parsing after a request with a chunked body.
func (c *framingConn) resetAtIdle() { c.inChunkedBody = false }
