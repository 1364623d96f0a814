// Package targetnet holds a front's connections to one target. Every request
// is written at most once, and every error tells whether it can have run.
package targetnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Outcomes of failed requests. Every error of Pool.RoundTrip wraps exactly one.
var (
	// ErrNotSent tells that no byte of the request was written: it has
	// certainly not run.
	ErrNotSent = errors.New("request not sent")
	// ErrUnknown tells that at least one byte may have reached the target: the
	// request may have run.
	ErrUnknown = errors.New("request sent, outcome unknown")
)

// ErrSilent is a further reason of failures on a connection that was suspect,
// such as after CloseSuspects. It says nothing about the target.
var ErrSilent = errors.New("connection was silent")

// ErrClosed is the reason of failures of a closed pool.
var ErrClosed = errors.New("pool is closed")

// Durations of connections.
const (
	// DefaultIdleTimeout closes connections that carried no request for so long.
	DefaultIdleTimeout = 30 * time.Second
	// FreshIdle is the longest idle time of a connection that may carry a
	// never-repeat request. An older one may have been closed by the target
	// without our knowledge, which would leave the outcome unknown; a new
	// connection costs 1 ms.
	FreshIdle = time.Second
	// DefaultDialTimeout bounds the dial of one connection.
	DefaultDialTimeout = time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config declares a pool.
type Config struct {
	// Address is the target's IP address and port.
	Address string
	// MaxConnections is the exact upper bound of sockets that the pool holds
	// open at any time, idle ones included. The connection of a Granter is not
	// among them.
	MaxConnections int
	// IdleTimeout and DialTimeout replace the defaults if they are set.
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// OnSuspect is called, from a goroutine of its own, when a connection has
	// been silent for longer than a request allows.
	OnSuspect func(Suspect)
	// Dial replaces the pool's own dialer.
	Dial DialFunc
}

// Options are the properties of one request.
type Options struct {
	// NeverRepeat avoids connections that may have been closed by the target.
	NeverRepeat bool
	// SilentAfter is how long the connection may deliver no byte while the
	// request waits for one. Zero does not watch.
	SilentAfter time.Duration
	// BeforeSend is called once the request holds a connection, right before
	// its first byte is written. An error of it ends the request as not sent.
	BeforeSend func() error
}

func (o Options) check() error {
	if o.BeforeSend == nil {
		return nil
	}
	return o.BeforeSend()
}

// Pool is a set of connections to one target. It is safe for concurrent use.
type Pool struct {
	config    Config
	transport *http.Transport
	// permits bounds the requests that hold or dial a connection. A request
	// dials only when no idle connection exists, so the number of permits also
	// bounds the open sockets.
	permits *semaphore.Weighted

	mu     sync.Mutex
	closed bool
	idle   []*conn // the most recently used one last
	all    map[*conn]struct{}
	dialed uint64
}

// New returns a pool without connections.
func New(c Config) *Pool {
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	c.MaxConnections = max(c.MaxConnections, 1)
	return &Pool{
		config:    c,
		transport: newTransport(c.Dial),
		permits:   semaphore.NewWeighted(int64(c.MaxConnections)),
		all:       make(map[*conn]struct{}),
	}
}

// newTransport returns the transport from which connections are taken. It
// passes messages on unchanged and is itself never used for a round trip.
func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{DialContext: dialCounted(dial), DisableCompression: true}
}

// Response is the response to a request. The caller must close Body, and reads
// its errors as they are: a truncated body never ends with io.EOF.
type Response struct {
	*http.Response
	// Reused tells that the connection had carried a request before.
	Reused bool
}

// RoundTrip sends the request once, waiting for a connection if all are in use.
// The URL's scheme and host are ignored. Its errors wrap ErrNotSent or
// ErrUnknown; a body may have been read in either case. The body is always
// closed, but possibly after RoundTrip has returned, as http.RoundTripper allows.
func (p *Pool) RoundTrip(ctx context.Context, req *http.Request, o Options) (*Response, error) {
	c, err := p.acquire(ctx, o)
	if err != nil {
		closeBody(req)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := o.check(); err != nil {
		closeBody(req)
		p.discard(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	reused := c.requests > 0
	resp, err := c.roundTrip(p.prepare(ctx, req), o) //nolint:bodyclose // the caller closes it
	if err != nil {
		p.discard(c)
		return nil, err
	}
	p.responded(c)
	return &Response{Response: resp, Reused: reused}, nil
}

// prepare returns the request as it is written to the connection.
func (p *Pool) prepare(ctx context.Context, req *http.Request) *http.Request {
	r := req.WithContext(ctx)
	u := url.URL{}
	if req.URL != nil {
		u = *req.URL
	}
	u.Scheme, u.Host = "http", p.config.Address
	r.URL = &u
	r.RequestURI = ""
	if r.Header == nil {
		r.Header = make(http.Header)
	}
	return r
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}

// acquire returns a connection that is reserved for one request.
func (p *Pool) acquire(ctx context.Context, o Options) (*conn, error) {
	if err := p.permits.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	c, err := p.takeOrDial(ctx, o)
	if err != nil {
		p.permits.Release(1)
	}
	return c, err
}

func (p *Pool) takeOrDial(ctx context.Context, o Options) (*conn, error) {
	for {
		c, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable(o) {
			return c, nil
		}
		p.drop(c)
	}
}

// takeIdle returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if len(p.idle) == 0 {
		return nil, nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	c.phase = phaseTaken
	return c, nil
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	c, err := newConn(ctx, p)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return nil, ErrClosed
	}
	p.all[c] = struct{}{}
	p.dialed++
	c.id = p.dialed
	return c, nil
}

// responded marks the connection's response as received; its body may already
// have ended.
func (p *Pool) responded(c *conn) {
	p.mu.Lock()
	if c.phase == phaseTaken {
		c.phase = phaseBody
	}
	p.mu.Unlock()
	p.settle(c)
}

// settle returns a connection whose response has ended to the idle ones and
// forgets a broken one, whose socket is closed by then. It is called after every
// change of a connection's state. A connection that a round trip still uses is
// left to that round trip.
func (p *Pool) settle(c *conn) {
	broken := c.broken()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.phase == phaseTaken:
	case broken:
		p.forget(c)
	case c.phase == phaseBody && c.client.Available() > 0:
		c.park(p.config.IdleTimeout)
		p.idle = append(p.idle, c)
		p.permits.Release(1)
	}
}

// discard closes the connection of a failed round trip and gives back its
// permit.
func (p *Pool) discard(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// drop closes a connection and keeps its permit for the caller.
func (p *Pool) drop(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.phase = phaseGone
	delete(p.all, c)
}

// forget removes a closed connection and gives back the permit it holds, if
// any. The caller holds the mutex.
func (p *Pool) forget(c *conn) {
	switch c.phase {
	case phaseTaken, phaseBody:
		p.permits.Release(1)
	case phaseIdle:
		p.removeIdle(c)
	case phaseGone:
	}
	c.phase = phaseGone
	delete(p.all, c)
}

func (p *Pool) removeIdle(c *conn) {
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// Close closes all connections. Requests in flight fail with ErrUnknown, later
// ones with ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeWhere(func(*conn) bool { return true })
}

// CloseOlderThan closes the connections dialed before t and returns their
// number. Requests in flight on them fail with ErrUnknown.
func (p *Pool) CloseOlderThan(t time.Time) int {
	return p.closeWhere(func(c *conn) bool { return c.dialed.Before(t) })
}

// CloseSuspects closes the connections that are silent now and returns their
// number. Requests in flight on them fail with ErrUnknown.
func (p *Pool) CloseSuspects() int {
	return p.closeWhere(func(c *conn) bool { return c.socket.suspect.Load() })
}

func (p *Pool) closeWhere(match func(*conn) bool) int {
	closed := 0
	for _, c := range p.snapshot() {
		if match(c) {
			c.close()
			closed++
		}
	}
	return closed
}

func (p *Pool) snapshot() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*conn, 0, len(p.all))
	for c := range p.all {
		all = append(all, c)
	}
	return all
}

// Stats describes the pool's connections at one moment.
type Stats struct {
	Open     int
	Idle     int
	Suspects int
	// Dialed counts the connections opened so far.
	Dialed uint64
}

// Stats returns the present numbers.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{Open: len(p.all), Idle: len(p.idle), Dialed: p.dialed}
	for c := range p.all {
		if c.socket.suspect.Load() {
			s.Suspects++
		}
	}
	return s
}
