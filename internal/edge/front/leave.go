package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// leaveCheckInterval is the interval at which a connection with pipelined requests is checked
// for a caller that has left.
const leaveCheckInterval = 100 * time.Millisecond

// leaveWatch cancels the current request of a connection when the caller has left. net/http
// notices that only while no pipelined bytes are waiting to be read.
type leaveWatch struct {
	mu     sync.Mutex
	cancel context.CancelFunc // of the current request; nil between requests
	timer  *time.Timer        // runs while pipelined bytes are waiting during a request
	left   bool               // the caller has left; pipelined requests may still be read
}

// begin makes cancel the function for the current request, and calls it if the caller has left.
func (w *leaveWatch) begin(cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel = cancel; w.left {
		cancel()
	}
}

// end ends the watch of the current request.
func (w *leaveWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel, w.timer = nil, nil
}

// bytesWaiting starts the checks, as net/http has read a byte of a pipelined request.
func (w *leaveWatch) bytesWaiting(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil && w.timer == nil {
		w.timer = time.AfterFunc(0, func() { w.check(conn) })
	}
}

func (w *leaveWatch) check(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.timer == nil: // the timer of an earlier request had already fired
	case peerClosed(conn):
		w.left = true
		w.cancel()
	default:
		w.timer.Reset(leaveCheckInterval)
	}
}

// peerClosed reports whether the peer has closed or reset the connection, also if bytes that
// it sent before are still unread. It returns false if that cannot be determined.
func peerClosed(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		closed = pollErr == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}

// cancelOnLeave cancels the context of requests whose callers have left.
func cancelOnLeave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(framingConnKey{}).(*framingConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		conn.leave.begin(cancel)
		defer conn.leave.end()
		if conn.bytesWaiting.Load() {
			conn.leave.bytesWaiting(conn.Conn)
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
