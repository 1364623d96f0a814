package targetnet

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of TCP's own detection of connections that lost their way. A path that
// drops packets without a trace shows by missing acknowledgements, which a
// request that merely runs long does not cause.
const (
	// unackedLimit ends a connection on which sent bytes or keep-alive probes
	// stay unacknowledged.
	unackedLimit = 1000 * time.Millisecond
	// probeIdle and probeInterval are the least that TCP accepts.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// dialTCP opens a connection that TCP ends soon after its path fails.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
	return d.DialContext(ctx, network, address)
}

func limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
