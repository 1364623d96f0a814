// Package dialer opens TCP connections that detect an unresponsive peer.
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which a connection
// is closed.
const keepAliveProbes = 2

// New returns a dialer whose attempts time out after connect. A connection is closed when
// data or keep-alive probes stay unacknowledged for silent.
func New(connect, silent time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: silent / (keepAliveProbes + 1), Interval: silent / (keepAliveProbes + 1), Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
			})
			return errors.Join(err, set)
		},
	}
}
