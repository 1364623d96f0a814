package upstream

import (
	"context"
	"fmt"
	"sync"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// Pool keeps the connections to one address.
type Pool struct {
	address string

	mu     sync.Mutex
	idle   []*conn // the most recently used last
	open   int
	limit  int
	dialed uint64
	closed bool
}

// NewPool returns a pool of at most limit connections to an address.
func NewPool(address string, limit int) *Pool {
	return &Pool{address: address, limit: limit}
}

// Address returns the address that the pool's connections lead to.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the number of connections; open ones stay.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Send sends a request once. The error is ErrNotSent if it certainly did not
// reach the target, and ErrUnknown if it may have.
func (p *Pool) Send(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	answer, keep, err := c.send(ctx, req)
	if keep && err == nil {
		p.park(c)
	} else {
		p.drop(c)
	}
	return answer, err
}

// take returns an idle connection that still works, or a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		p.drop(c)
	}
	if !p.reserve() {
		return nil, ErrPoolExhausted
	}
	c, err := dial(ctx, p.address)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit || p.closed {
		return false
	}
	p.open++
	p.dialed++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) drop(c *conn) {
	c.close()
	p.release()
}

func (p *Pool) park(c *conn) {
	c.parked = clock.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if closed {
		p.drop(c)
	}
}

// Close closes the idle connections; those in use are closed when their request
// has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections. Where one has lost its other end without
// notice, those that were idle as long are likely to have.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// HasIdleConn reports whether an idle connection is likely to be usable.
func (p *Pool) HasIdleConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && clock.Now()-p.idle[n-1].parked <= p.idle[n-1].idle
}

// Counts returns the numbers of open connections and of all that were dialed.
func (p *Pool) Counts() (open int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}
