// Package memnet is an in-memory network of net.Pipe connections. Unlike sockets, it works
// with the virtual time of testing/synctest. Connections are unbuffered: a write blocks
// until the peer has read it.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects dialers to listeners by address. The zero value is ready to use. A
// Network is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type address string

// Network returns the name of the network.
func (address) Network() string { return "memory" }

// String returns the address.
func (a address) String() string { return string(a) }

type listener struct {
	network *Network
	address address
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Listen opens a listener. It replaces a listener that is open at the same address.
func (n *Network) Listen(addr string) net.Listener {
	l := &listener{network: n, address: address(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[addr] = l
	return l
}

// DialContext connects to the listener at addr. If there is none, the connection is
// refused.
func (n *Network) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "memory", Addr: address(addr), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: address(addr), Err: ctx.Err()}
	}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; open connections stay open.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.address)] == l {
			delete(l.network.listeners, string(l.address))
		}
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return l.address }
