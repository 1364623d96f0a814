package targetsrv

import (
	"net"
	"sync"
)

// connTracker counts the open connections and can make them silent.
type connTracker struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
	most int
}

type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept wraps the next connection.
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
	t.most = max(t.most, len(t.open))
	return tc
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
}

// silence makes all open connections but the given one silent.
func (t *connTracker) silence(except net.Conn) {
	for _, c := range t.snapshot() {
		if c != except {
			c.silent.set(true)
		}
	}
}

func (t *connTracker) resume() {
	for _, c := range t.snapshot() {
		c.silent.set(false)
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

func (t *connTracker) counts() (open, most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open), t.most
}

// trackedConn delivers nothing in either direction while it is silent.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	silent  gate
	once    sync.Once
	closed  chan struct{}
}

// Read returns data only while the connection is not silent. The check follows
// the read, since the read may have been waiting when the silence began.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.awaitSound() != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends data once the connection is not silent.
func (c *trackedConn) Write(b []byte) (int, error) {
	if err := c.awaitSound(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close ends waiting reads and writes too.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.tracker.remove(c)
	})
	return c.Conn.Close()
}

// awaitSound waits until the connection is not silent. Data that was read
// before the connection was closed must not reach the server afterwards.
func (c *trackedConn) awaitSound() error {
	c.silent.wait(c.closed)
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
		return nil
	}
}
