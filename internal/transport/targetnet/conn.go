package targetnet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// phase is the use of a connection, guarded by the pool's mutex.
type phase uint8

const (
	// phaseTaken: held by a round trip that has not returned yet.
	phaseTaken phase = iota
	// phaseBody: the response was returned and its body has not ended.
	phaseBody
	phaseIdle
	phaseGone
)

// conn is one HTTP/1.1 connection of a pool.
type conn struct {
	pool     *Pool
	client   *http.ClientConn
	socket   *socket
	id       uint64
	dialed   time.Time
	phase    phase
	requests int       // written by the holder only
	since    time.Time // start of the idle phase, guarded by the pool's mutex
	// timer expires an idle connection and watches one in use for silence.
	timer  *time.Timer
	silent time.Duration // guarded by the pool's mutex; 0 in the idle phase
}

// errNoSocket reports a dial that did not pass through the counting dialer.
var errNoSocket = errors.New("connection without counting socket")

func newConn(ctx context.Context, p *Pool) (*conn, error) {
	var s *socket
	ctx = context.WithValue(ctx, socketKey{}, &s)
	client, err := p.transport.NewClientConn(ctx, "http", p.config.Address)
	if err != nil {
		return nil, err
	}
	if s == nil {
		_ = client.Close()
		return nil, errNoSocket
	}
	c := &conn{pool: p, client: client, socket: s, dialed: time.Now()}
	c.timer = time.AfterFunc(p.config.IdleTimeout, c.tick)
	client.SetStateHook(func(*http.ClientConn) { p.settle(c) })
	return c, nil
}

// usable reports whether an idle connection may carry a request.
func (c *conn) usable(o Options) bool {
	if c.broken() || c.socket.suspect.Load() {
		return false
	}
	return !o.NeverRepeat || time.Since(c.since) <= FreshIdle
}

func (c *conn) broken() bool { return c.client.Err() != nil }

func (c *conn) close() {
	c.timer.Stop()
	_ = c.client.Close()
}

// park makes the connection idle. The caller holds the pool's mutex.
func (c *conn) park(timeout time.Duration) {
	c.phase = phaseIdle
	c.since = time.Now()
	c.silent = 0
	c.timer.Reset(timeout)
}

// watch starts looking for silence.
func (c *conn) watch(after time.Duration) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.silent = after
	if after > 0 {
		c.timer.Reset(after)
		return
	}
	c.timer.Stop()
}

// roundTrip sends one request on a taken connection.
func (c *conn) roundTrip(req *http.Request, o Options) (*http.Response, error) {
	c.requests++
	c.socket.begin()
	c.watch(o.SilentAfter)
	if err := c.client.Reserve(); err != nil {
		closeBody(req)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	withSource(req, c.socket)
	resp, err := c.client.RoundTrip(req)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		err = refuseSwitch(resp)
	}
	if err == nil {
		return resp, nil
	}
	if c.socket.seal() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if c.socket.suspect.Load() {
		return nil, fmt.Errorf("%w: %w: %w", ErrUnknown, ErrSilent, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
}

// errSwitch reports a response that takes the connection for another protocol.
var errSwitch = errors.New("target switched protocols")

// refuseSwitch closes the socket, which net/http hands to the body of such a
// response, where the pool's bound would not count it.
func refuseSwitch(resp *http.Response) error {
	_ = resp.Body.Close()
	return errSwitch
}

// tick runs when the timer fires.
func (c *conn) tick() {
	c.pool.mu.Lock()
	phase, silent, since := c.phase, c.silent, c.since
	c.pool.mu.Unlock()
	switch phase {
	case phaseIdle:
		c.expire(since)
	case phaseTaken, phaseBody:
		c.checkSilence(silent)
	case phaseGone:
	}
}

// expire closes the connection if it has been idle without interruption. The
// socket is closed before the pool forgets it, since another request may dial
// as soon as it is forgotten.
func (c *conn) expire(since time.Time) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.phase != phaseIdle || !c.since.Equal(since) {
		return
	}
	_ = c.socket.Close()
	p.forget(c)
}

// Suspect describes a connection that has been silent for too long.
type Suspect struct {
	// Connection numbers the pool's connections in the order of their dials.
	Connection uint64
	// Dialed is when the connection was opened, for Pool.CloseOlderThan.
	Dialed time.Time
	// Silent is how long it has delivered no byte.
	Silent time.Duration
}

func (c *conn) checkSilence(after time.Duration) {
	if after <= 0 {
		return
	}
	silent := c.socket.silence()
	if silent < after {
		c.rewatch(after - silent)
		return
	}
	if !c.socket.suspect.Swap(true) && c.pool.config.OnSuspect != nil {
		c.pool.config.OnSuspect(Suspect{Connection: c.id, Dialed: c.dialed, Silent: silent})
	}
	c.rewatch(after)
}

func (c *conn) rewatch(d time.Duration) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.silent > 0 && (c.phase == phaseTaken || c.phase == phaseBody) {
		c.timer.Reset(max(d, time.Millisecond))
	}
}
