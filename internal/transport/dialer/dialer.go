// Package dialer opens TCP connections that detect an unresponsive peer and that deliver
// nothing after they are closed.
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
// when data or keep-alive probes stay unacknowledged for unacknowledgedTimeout. Its
// connections are reset when they are closed, see ResetOnClose.
func New(connectTimeout, unacknowledgedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: unacknowledgedTimeout / (keepAliveProbes + 1), Interval: unacknowledgedTimeout / (keepAliveProbes + 1), Count: keepAliveProbes,
		},
		Control: func(network, address string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
			return errors.Join(err, sockoptErr, ResetOnClose(network, address, c))
		},
	}
}

// ResetOnClose is a net.Dialer.Control function. It makes the kernel reset the connection and
// drop unsent data when the connection is closed, also by the end of the process. Otherwise a
// request whose call has timed out is retransmitted until a partition heals, and takes effect
// after the caller has given it up. It is unsuitable for connections that are closed before the
// peer has responded to what was written last.
func ResetOnClose(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	return errors.Join(err, sockoptErr)
}
