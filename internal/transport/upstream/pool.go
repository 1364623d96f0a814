package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
)

// Pool holds the connections to one address.
type Pool struct {
	address string
	bodies  *bodybuf.Budget

	mu     sync.Mutex
	idle   []*conn // the most recently used last
	open   int
	limit  int
	dialed uint64
	closed bool
}

// NewPool returns a pool of at most limit connections to an address. The bodies of responses
// count against the given budget until they are released.
func NewPool(address string, limit int, bodies *bodybuf.Budget) *Pool {
	return &Pool{address: address, limit: limit, bodies: bodies}
}

// Address returns the address to which the pool connects.
func (p *Pool) Address() string { return p.address }

// SetLimit changes the maximum number of connections. Open connections stay open.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Send sends a request once. The error wraps ErrNotSent if the request certainly did not
// reach the target, and ErrOutcomeUnknown if it may have. It wraps the context's error too if that
// ended the send.
func (p *Pool) Send(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.acquire(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, keep, err := c.send(ctx, req)
	if keep && err == nil && !req.OwnConnection {
		p.putIdle(c)
	} else {
		p.discard(c)
	}
	return resp, withContextError(ctx, err)
}

// withContextError adds the context's error to that of a send which its deadline or its end has
// broken off. The connection's error alone does not tell that.
func withContextError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %w", err, context.DeadlineExceeded)
	case errors.Is(err, net.ErrClosed) && ctx.Err() != nil:
		return fmt.Errorf("%w: %w", err, ctx.Err())
	default:
		return err
	}
}

// acquire returns a reusable idle connection, or a new one if there is none and the limit
// permits it.
func (p *Pool) acquire(ctx context.Context, req *Request) (*conn, error) {
	for !req.OwnConnection {
		c := p.popIdle(req.ID)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve() {
		return nil, ErrPoolExhausted
	}
	c, err := dial(ctx, p.address, p.bodies)
	if err != nil {
		p.release()
		return nil, err
	}
	return c, nil
}

// popIdle removes and returns the most recently used idle connection on which the request was never
// sent, with other requests in between or without. A late copy of the response to the earlier send
// has the same ID, so on that connection it would be taken for the response to this send. There is
// no connection for a request without an ID, because any late copy would be taken for its response.
func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id == "" {
		return nil
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.sent.contains(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// reserve takes one of the connections that the limit permits. If all are open, it closes the idle
// one that was not used for longest, since the idle ones cannot carry the request. Both happen in
// one step, or a concurrent send could take the connection that was closed for this one.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	var oldest *conn
	if !p.closed && p.open >= p.limit && len(p.idle) > 0 {
		oldest = p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
		p.open--
	}
	reserved := !p.closed && p.open < p.limit
	if reserved {
		p.open++
		p.dialed++
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.close()
	}
	return reserved
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) discard(c *conn) {
	c.close()
	p.release()
}

func (p *Pool) putIdle(c *conn) {
	c.idleSince = clock.Now()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if closed {
		p.discard(c)
	}
}

// Close closes the idle connections. Those in use are closed when their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections. It is for the case that one of them has lost its
// peer without a notice, as the others have probably lost it too.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// HasIdleConn reports whether the most recently used idle connection is within its idle
// timeout.
func (p *Pool) HasIdleConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return n > 0 && clock.Now()-p.idle[n-1].idleSince <= p.idle[n-1].idleTimeout
}

// Counts returns the number of open connections and the number dialed so far.
func (p *Pool) Counts() (open int, dialed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}
