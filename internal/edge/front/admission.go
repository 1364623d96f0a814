package front

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// admission bounds the open connections of callers, so that descriptors are left for those to
// targets, the store, other daemons and operators.
type admission struct {
	// limit is the number of connections that are served; 0 means no limit. reserve more may be
	// open, whose callers are told that their requests are refused.
	limit, reserve int64
	open           atomic.Int64
}

// newAdmission returns the admission of at most limit connections.
func newAdmission(limit int) admission {
	return admission{limit: int64(limit), reserve: int64(limit) / reserveDivisor}
}

// reserveDivisor is the part of the limit that is open in addition, to refuse requests.
const reserveDivisor = 4

// verdict is what happens to an accepted connection.
type verdict uint8

const (
	serveConn verdict = iota
	refuseConn
	dropConn
)

// admit counts an accepted connection. Beyond the limit it ends an idle connection in favor of
// the new one; if there is none, the requests on the new one are refused.
func (a *admission) admit(endIdle func() bool) verdict {
	open := a.open.Add(1)
	switch {
	case a.limit == 0 || open <= a.limit:
		return serveConn
	case open > a.limit+a.reserve:
		return dropConn
	case endIdle():
		return serveConn
	default:
		return refuseConn
	}
}

// release is called when an admitted connection has been closed.
func (a *admission) release() { a.open.Add(-1) }

// idleSearch is the number of connections of which the one that is idle for the longest time is
// ended.
const idleSearch = 200

// endIdleConn ends an idle connection, and reports whether it found one.
func (s *Server) endIdleConn() bool {
	s.mu.Lock()
	generations := s.generations
	s.mu.Unlock()
	for _, g := range generations {
		if g.endIdleConn() {
			return true
		}
	}
	return false
}

func (g *generation) endIdleConn() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var oldest *framingConn
	var longest time.Duration
	looked, now := 0, clock.Now()
	for conn := range g.open {
		if idle := conn.idleTime(now); idle > longest {
			oldest, longest = conn, idle
		}
		if looked++; looked >= idleSearch {
			break
		}
	}
	return oldest != nil && oldest.endIfIdle()
}

// isBeyondLimit reports whether a request arrived on a connection that is open only so that its
// requests are refused.
func isBeyondLimit(ctx context.Context) bool {
	c, ok := ctx.Value(framingConnKey{}).(*framingConn)
	return ok && c.beyondLimit
}

// admitConn returns the connection to be served for an accepted one, or nil if that was closed.
// Only TCP connections take descriptors.
func (s *Server) admitConn(c net.Conn) *framingConn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return &framingConn{Conn: c}
	}
	verdict := s.admission.admit(s.endIdleConn)
	if verdict == dropConn {
		_ = c.Close()
		s.admission.release()
		return nil
	}
	lingering := &lingeringConn{TCPConn: tcp, lingering: &s.lingering, ended: s.admission.release}
	return &framingConn{Conn: lingering, beyondLimit: verdict == refuseConn}
}
