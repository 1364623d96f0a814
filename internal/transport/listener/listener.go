// Package listener accepts connections through errors that pass.
package listener

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"
)

// Delays between attempts to accept a connection after an error that passes.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 200 * time.Millisecond
)

// retrying is a net.Listener whose Accept returns only errors that do not pass.
type retrying struct {
	net.Listener
	log    *slog.Logger
	closed chan struct{}
	once   sync.Once // closes closed
}

// New returns a listener that waits and tries again after errors that pass, such as a lack of
// file descriptors. Other errors are returned, as is net.ErrClosed after Close.
func New(l net.Listener, log *slog.Logger) net.Listener {
	return &retrying{Listener: l, log: log, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retrying) Accept() (net.Conn, error) {
	delay := minDelay
	for {
		c, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		if delay == minDelay {
			l.log.Warn("accepting connections failed; trying again", "address", l.Addr().String(), "error", err)
		}
		select {
		case <-time.After(delay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
		delay = min(2*delay, maxDelay)
	}
}

// Close implements net.Listener.
func (l *retrying) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// passes reports whether a later attempt may succeed after an error of Accept.
func passes(err error) bool {
	for _, passing := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
