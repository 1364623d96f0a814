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

// New returns a dialer whose attempts time out after connectTimeout. A connection is closed
// when data or keep-alive probes stay unacknowledged for unacknowledgedTimeout.
func New(connectTimeout, unacknowledgedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: unacknowledgedTimeout / (keepAliveProbes + 1), Interval: unacknowledgedTimeout / (keepAliveProbes + 1), Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
			return errors.Join(err, sockoptErr)
		},
	}
}
