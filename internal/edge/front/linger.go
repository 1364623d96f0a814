package front

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// lingerTime is how long a connection that this side has closed is still read. Callers
	// that got the response close their side within a round-trip time.
	lingerTime = time.Second
	// maxLingerBytes bounds the bytes that are read and dropped meanwhile.
	maxLingerBytes = 1 << 20
)

// lingeringConn ends its sending side when it is closed, and drops what the peer still sends
// for a while. A connection that is closed with unread bytes, such as requests behind a
// response that closes it, is reset, and the reset can destroy responses that are on their
// way.
type lingeringConn struct {
	*net.TCPConn
	lingering *atomic.Int64 // counts the connections that are still read
	ended     func()        // called when the connection has no descriptor any more
	closed    atomic.Bool
	// closeAtOnce makes Close free the descriptor. It is for connections whose last response was
	// sent a while ago.
	closeAtOnce atomic.Bool
}

// Read implements net.Conn.
func (c *lingeringConn) Read(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(b)
	if c.closed.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *lingeringConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	if c.closeAtOnce.Load() {
		return c.end()
	}
	if err := c.CloseWrite(); err != nil {
		return errors.Join(err, c.end())
	}
	// The deadline ends a Read that is under way.
	if err := c.TCPConn.SetReadDeadline(time.Now()); err != nil {
		return errors.Join(err, c.end())
	}
	c.lingering.Add(1)
	go func() {
		defer c.lingering.Add(-1)
		c.linger()
	}()
	return nil
}

// SetDeadline implements net.Conn. After Close the deadlines are those of linger.
func (c *lingeringConn) SetDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *lingeringConn) SetReadDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// linger drops what arrives until the peer ends the connection.
func (c *lingeringConn) linger() {
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)); err == nil {
		// An error means that the peer is gone or does not end; either way it is over.
		_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxLingerBytes))
	}
	_ = c.end()
}

func (c *lingeringConn) end() error {
	defer c.ended()
	return c.TCPConn.Close()
}
