// Package memnet is a network in memory, made of net.Pipe connections. Unlike
// sockets it works under the virtual time of testing/synctest. Connections have
// no buffer: a write waits for its reader.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects listeners and dialers by address. Its zero value is ready to
// use, and it is safe for concurrent use.
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

// Listen opens a listener. It replaces one that is open at the same address.
func (n *Network) Listen(at string) net.Listener {
	l := &listener{network: n, address: address(at), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[at] = l
	return l
}

// DialContext connects to a listener; without one the connection is refused.
func (n *Network) DialContext(ctx context.Context, _, at string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[at]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "memory", Addr: address(at), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: address(at), Err: ctx.Err()}
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

// Close ends the listener; open connections stay open.
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
