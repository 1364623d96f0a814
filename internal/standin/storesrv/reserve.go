package storesrv

import (
	"context"
	"fmt"
	"net"
	"syscall"
)

// reservation is a socket that is bound to an address but does not listen. It keeps other
// processes from getting the port while connections are refused: the kernel does not assign
// it to a process that asks for any free port. Listeners of package net set SO_REUSEADDR, so
// they can still bind it by its number.
type reservation struct {
	fd   int
	addr string
}

// reserve binds addr. If its port is 0, the kernel chooses one.
func reserve(addr string) (*reservation, error) {
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve %s: %w", addr, err)
	}
	family, sa := sockaddr(tcp)
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket for %s: %w", addr, err)
	}
	r := &reservation{fd: fd}
	if err := r.bind(sa); err != nil {
		r.close()
		return nil, fmt.Errorf("bind %s: %w", addr, err)
	}
	tcp.Port, err = r.port()
	if err != nil {
		r.close()
		return nil, fmt.Errorf("bound address of %s: %w", addr, err)
	}
	r.addr = tcp.String()
	return r, nil
}

func sockaddr(a *net.TCPAddr) (int, syscall.Sockaddr) {
	if ip := a.IP.To4(); ip != nil {
		return syscall.AF_INET, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(ip)}
	}
	sa := &syscall.SockaddrInet6{Port: a.Port}
	copy(sa.Addr[:], a.IP)
	return syscall.AF_INET6, sa
}

func (r *reservation) bind(sa syscall.Sockaddr) error {
	if err := syscall.SetsockoptInt(r.fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return syscall.Bind(r.fd, sa)
}

func (r *reservation) port() (int, error) {
	sa, err := syscall.Getsockname(r.fd)
	if err != nil {
		return 0, err
	}
	switch sa := sa.(type) {
	case *syscall.SockaddrInet4:
		return sa.Port, nil
	case *syscall.SockaddrInet6:
		return sa.Port, nil
	default:
		return 0, fmt.Errorf("address family of %T", sa)
	}
}

// listen returns a listener on the reserved address.
func (r *reservation) listen() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", r.addr)
}

// close releases the address.
func (r *reservation) close() { _ = syscall.Close(r.fd) }
