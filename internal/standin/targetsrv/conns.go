package targetsrv

import (
	"net"
	"sync"
)

// connTracker tracks the open connections and can make them silent.
type connTracker struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
	peak int
}

type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept returns the next connection, wrapped for tracking.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.add(c), nil
}

func (t *connTracker) add(c net.Conn) *trackedConn {
	tc := &trackedConn{Conn: c, tracker: t, closed: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[tc] = struct{}{}
	t.peak = max(t.peak, len(t.open))
	return tc
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// silenceAllExcept makes every open connection silent except the given one.
func (t *connTracker) silenceAllExcept(except net.Conn) {
	for _, c := range t.snapshot() {
		if c != except {
			c.silenceGate.setClosed(true)
		}
	}
}

func (t *connTracker) resumeAll() {
	for _, c := range t.snapshot() {
		c.silenceGate.setClosed(false)
	}
}

func (t *connTracker) snapshot() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*trackedConn, 0, len(t.open))
	for c := range t.open {
		all = append(all, c)
	}
	return all
}

func (t *connTracker) counts() (open, peak int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.peak
}

// trackedConn transfers no data in either direction while it is silent.
type trackedConn struct {
	net.Conn
	tracker     *connTracker
	silenceGate gate
	closeOnce   sync.Once
	closed      chan struct{}
}

// Read returns data only while the connection is not silent. The check follows
// the read, because the read may already be blocked when the silence begins.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.awaitNotSilent() != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write waits until the connection is not silent, then sends the data.
func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.awaitNotSilent(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close also unblocks reads and writes that wait for the silence to end.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.tracker.remove(c)
	})
	return c.Conn.Close()
}

// awaitNotSilent waits until the connection is not silent. It fails once the
// connection is closed: data that was read before must not reach the server
// afterwards.
func (c *trackedConn) awaitNotSilent() error {
	c.silenceGate.wait(c.closed)
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
		return nil
	}
}
