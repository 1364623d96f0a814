// Package dialer opens TCP connections that notice when the other end has fallen
// silent.
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is the number of keep-alive probes without an answer that end a
// connection.
const probes = 2

// New returns a dialer that gives up after connect. A connection ends when bytes
// or keep-alive probes stay unacknowledged for silent.
func New(connect, silent time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: silent / (probes + 1), Interval: silent / (probes + 1), Count: probes,
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
