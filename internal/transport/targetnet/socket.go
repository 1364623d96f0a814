package targetnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// errSealed reports a write after the round trip had already failed.
var errSealed = errors.New("connection sealed before the request was written")

// States of the request on a socket.
const (
	nothingWritten int32 = iota
	writeBegun
	sealed
)

// socket is a connection that knows whether a byte of the present request has
// been written, and for how long it has delivered none.
type socket struct {
	net.Conn
	epoch   time.Time
	state   atomic.Int32
	suspect atomic.Bool
	// waiting tells that a read is pending, and source that the request's own
	// body is being awaited.
	waiting atomic.Bool
	source  atomic.Bool
	// active is the time since epoch at which the present wait began.
	active atomic.Int64

	mu        sync.Mutex
	closed    bool
	interrupt func()
}

type socketKey struct{}

// dialCounted wraps every connection and hands the wrapper to the dial's
// context.
func dialCounted(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		s := &socket{Conn: c, epoch: time.Now()}
		if slot, ok := ctx.Value(socketKey{}).(**socket); ok {
			*slot = s
		}
		return s, nil
	}
}

// begin starts the accounting of a new request. No write is in progress.
func (s *socket) begin() {
	s.state.Store(nothingWritten)
	s.onClose(nil)
	s.touch()
}

// seal prevents all further writes of a request that has not been written, and
// reports whether no byte of it was.
func (s *socket) seal() bool {
	return s.state.CompareAndSwap(nothingWritten, sealed) || s.state.Load() == sealed
}

func (s *socket) touch() { s.active.Store(int64(time.Since(s.epoch))) }

// silence returns for how long the target has had something to answer without
// delivering a byte. A wait for the request's own body, or for the reader of
// the response, is not the target's silence.
func (s *socket) silence() time.Duration {
	if !s.waiting.Load() || s.source.Load() {
		return 0
	}
	return time.Since(s.epoch) - time.Duration(s.active.Load())
}

// Read implements net.Conn.
func (s *socket) Read(b []byte) (int, error) {
	s.touch()
	s.waiting.Store(true)
	n, err := s.Conn.Read(b)
	s.waiting.Store(false)
	if n > 0 {
		s.suspect.Store(false)
	}
	return n, err
}

// Write implements net.Conn. A first write that hands no byte to the kernel
// seals the socket.
func (s *socket) Write(b []byte) (int, error) {
	first := s.state.CompareAndSwap(nothingWritten, writeBegun)
	if s.state.Load() == sealed {
		return 0, errSealed
	}
	n, err := s.Conn.Write(b)
	if first && n == 0 && err != nil {
		s.state.Store(sealed)
	}
	s.touch()
	return n, err
}

// Close implements net.Conn. It also interrupts the wait for the request's body.
func (s *socket) Close() error {
	s.mu.Lock()
	interrupt := s.interrupt
	s.closed, s.interrupt = true, nil
	s.mu.Unlock()
	if interrupt != nil {
		interrupt()
	}
	return s.Conn.Close()
}

// onClose calls f when the socket is closed, at once if it is closed already. It
// replaces the function of the previous request.
func (s *socket) onClose(f func()) {
	s.mu.Lock()
	closed := s.closed
	s.interrupt = f
	s.mu.Unlock()
	if closed && f != nil {
		f()
	}
}
