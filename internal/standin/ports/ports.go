// Package ports reserves addresses for the processes of trials and tests.
//
// A port that was found free by opening and closing it may be taken by another process, or by
// an outgoing connection, before it is used. Reserved ports lie below the range from which
// systems assign ports by themselves, and a locked file keeps other processes that use this
// package from reserving them.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"golang.org/x/sys/unix"
)

// The range of reserved ports. Linux assigns ports from 32768 by itself.
const (
	first = 20000
	last  = 31999
)

// ErrNoPort is returned if all ports of the range are in use.
var ErrNoPort = errors.New("no port left to reserve")

var (
	mu    sync.Mutex
	locks []*os.File // kept open, as closing a file ends its lock
)

// Reserve returns n loopback addresses whose ports are free for TCP and UDP. They stay reserved
// until the process ends.
func Reserve(n int) ([]netip.AddrPort, error) {
	dir := filepath.Join(os.TempDir(), "jackdawloom-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	var out []netip.AddrPort
	offset := rand.IntN(last - first + 1)
	for i := range last - first + 1 {
		if len(out) == n {
			return out, nil
		}
		port := first + (offset+i)%(last-first+1)
		lock, err := lockPort(dir, port)
		if err != nil {
			return nil, err
		}
		if lock == nil {
			continue
		}
		locks = append(locks, lock)
		if address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port)); isFree(address) {
			out = append(out, address)
		}
	}
	return nil, fmt.Errorf("%w: %d of %d found", ErrNoPort, len(out), n)
}

// lockPort returns the locked file of a port, or nil if the port is reserved.
func lockPort(dir string, port int) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	switch {
	case err == nil:
		return f, nil
	case errors.Is(err, unix.EWOULDBLOCK):
		return nil, f.Close()
	default:
		return nil, errors.Join(err, f.Close())
	}
}

// isFree reports whether no process listens at the address.
func isFree(address netip.AddrPort) bool {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		_ = l.Close()
		return false
	}
	return l.Close() == nil && c.Close() == nil
}
