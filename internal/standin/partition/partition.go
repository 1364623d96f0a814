// Package partition is a TCP path that can be partitioned. As on a real path, bytes that are
// sent during a partition arrive after it, unless their sender resets the connection.
package partition

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// dialTimeout bounds the connection to the far end, which is on this machine.
const dialTimeout = time.Second

// bufferSize is the size of the buffer of each direction of a connection.
const bufferSize = 32 << 10

// Link forwards connections to a far end.
type Link struct {
	listener net.Listener
	far      string

	mu     sync.Mutex
	healed chan struct{} // closed at the end of the partition; nil if there is none
	held   int           // bytes held up so far
	late   int           // bytes delivered after they were held up
	conns  map[net.Conn]struct{}
}

// New returns a link at a loopback address to the address far.
func New(far string) (*Link, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, far: far, conns: make(map[net.Conn]struct{})}
	go k.accept()
	return k, nil
}

// Address returns the address of the near end.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Close closes the link and its connections.
func (k *Link) Close() error {
	k.Heal()
	err := k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
	return err
}

// Cut begins a partition. Connections that are opened before its end are reset.
func (k *Link) Cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.healed == nil {
		k.healed = make(chan struct{})
	}
}

// Heal ends the partition.
func (k *Link) Heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.healed != nil {
		close(k.healed)
		k.healed = nil
	}
}

// Counts returns how many bytes were held up by partitions, and how many of them arrived.
func (k *Link) Counts() (held, late int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held, k.late
}

func (k *Link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

// partition returns a channel that is closed when the partition ends, or nil without one.
func (k *Link) partition() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.healed
}

func (k *Link) serve(near net.Conn) {
	defer k.forget(near)
	if k.partition() != nil {
		k.reset(near)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(context.Background(), "tcp4", k.far)
	if err != nil {
		return
	}
	defer k.forget(far)
	k.mu.Lock()
	k.conns[near], k.conns[far] = struct{}{}, struct{}{}
	k.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.forward(near, far)
	}()
	k.forward(far, near)
	<-done
}

func (k *Link) forget(c net.Conn) {
	_ = c.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
}

// chunk is a part of what one side has sent; err is the end of the connection.
type chunk struct {
	bytes []byte
	err   error
}

// forward passes on what one side sends to the other side.
func (k *Link) forward(from, to net.Conn) {
	chunks := make(chan chunk)
	done := make(chan struct{})
	defer close(done)
	go func() {
		buf := make([]byte, bufferSize)
		for {
			n, err := from.Read(buf)
			select {
			case chunks <- chunk{append([]byte(nil), buf[:n]...), err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		wasHeld := false
		if healed := k.partition(); healed != nil {
			c, wasHeld = k.hold(c, chunks, healed), true
		}
		if errors.Is(c.err, syscall.ECONNRESET) {
			k.reset(to)
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			return
		}
		k.count(wasHeld, 0, len(c.bytes))
		if c.err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// hold collects what arrives until the partition has ended.
func (k *Link) hold(c chunk, chunks <-chan chunk, healed <-chan struct{}) chunk {
	k.count(true, len(c.bytes), 0)
	for {
		more := chunks
		if c.err != nil {
			more = nil
		}
		select {
		case next := <-more:
			c.bytes, c.err = append(c.bytes, next.bytes...), next.err
			k.count(true, len(next.bytes), 0)
		case <-healed:
			return c
		}
	}
}

func (k *Link) count(wasHeld bool, held, late int) {
	if !wasHeld {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held += held
	k.late += late
}

func (k *Link) reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
