package front

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
)

// guard watches the heads of the requests on a connection. net/http accepts a
// head with two kinds of length, or with lines that end in a bare line feed, and
// another server may read the same bytes differently. A request in the rest of
// such bytes must not be served.
type guard struct {
	net.Conn
	ambiguous atomic.Bool

	line    []byte
	skip    int64 // bytes of a body that are to come
	inBody  bool  // the rest is a body in chunks, whose end is not looked for
	length  int64
	hasLen  bool
	chunked bool
}

// maxLine bounds what is kept of one header line.
const maxLine = 256

// guardKey finds the guard of a request's connection in its context.
type guardKey struct{}

func withGuard(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, guardKey{}, c)
}

// isAmbiguous reports whether a request came on a connection whose bytes can be
// read in several ways.
func isAmbiguous(ctx context.Context) bool {
	g, ok := ctx.Value(guardKey{}).(*guard)
	return ok && g.ambiguous.Load()
}

// Read implements net.Conn.
func (g *guard) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	g.scan(b[:n])
	return n, err
}

// scan looks at bytes that were read.
func (g *guard) scan(b []byte) {
	for len(b) > 0 && !g.inBody && !g.ambiguous.Load() {
		if g.skip > 0 {
			n := min(g.skip, int64(len(b)))
			g.skip -= n
			b = b[n:]
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			g.keep(b)
			return
		}
		g.keep(b[:end])
		b = b[end+1:]
		g.endLine()
	}
}

func (g *guard) keep(b []byte) {
	if room := maxLine - len(g.line); len(b) > room {
		// The last byte is needed to tell a bare line feed.
		g.line = append(g.line, b[:max(room-1, 0)]...)
		b = b[len(b)-1:]
		g.line = g.line[:min(len(g.line), maxLine-1)]
	}
	g.line = append(g.line, b...)
}

// endLine looks at a complete line of a head.
func (g *guard) endLine() {
	line, clean := bytes.CutSuffix(g.line, []byte("\r"))
	text := string(line)
	g.line = g.line[:0]
	if !clean {
		g.ambiguous.Store(true)
		return
	}
	if text == "" {
		g.endHead()
		return
	}
	name, value, found := strings.Cut(text, ":")
	if !found {
		return
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if g.hasLen || err != nil {
			g.ambiguous.Store(true)
		}
		g.length, g.hasLen = n, true
	case "transfer-encoding":
		g.chunked = true
	}
}

func (g *guard) endHead() {
	if g.hasLen && g.chunked {
		g.ambiguous.Store(true)
	}
	g.skip, g.inBody = g.length, g.chunked
	g.length, g.hasLen, g.chunked = 0, false, false
}

// idle prepares for the next request after one with a body in chunks.
func (g *guard) idle() { g.inBody = false }
