package targetnet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
)

// Classes of failed grant exchanges. Every error of Granter.Send wraps exactly
// one. A grant that the target answered with Accepted false is not an error.
var (
	// ErrRefused tells that the target's address refused the connection: no
	// process listens there.
	ErrRefused = errors.New("target refused the connection")
	// ErrTimeout tells that the target did not answer in time.
	ErrTimeout = errors.New("target did not answer the grant in time")
	// ErrExchange is every other failure.
	ErrExchange = errors.New("grant exchange failed")
)

// maxReplyBytes bounds the target's reply to a grant.
const maxReplyBytes = 64 << 10

// errStatus reports a reply with another status than 200.
var errStatus = errors.New("unexpected status")

// Granter sends grants to one target on a connection of its own, so that a
// grant never waits behind requests. It is safe for concurrent use; exchanges
// follow one another.
type Granter struct {
	address   string
	transport *http.Transport

	turn   chan struct{} // holds one token while no exchange runs
	mu     sync.Mutex    // guards client and closed
	client *http.ClientConn
	closed bool
}

// NewGranter returns a granter that dials on the first Send. A nil dial means
// the pool's own dialer.
func NewGranter(address string, dial DialFunc) *Granter {
	if dial == nil {
		dial = dialTCP
	}
	g := &Granter{address: address, turn: make(chan struct{}, 1)}
	g.transport = &http.Transport{DialContext: dial, DisableCompression: true}
	g.turn <- struct{}{}
	return g
}

// Send sends one grant and returns the target's reply. After a failure the next
// Send uses a new connection. Nothing is repeated.
func (g *Granter) Send(ctx context.Context, r grant.Request) (grant.Reply, error) {
	select {
	case <-g.turn:
	case <-ctx.Done():
		return grant.Reply{}, classify(ctx, ctx.Err())
	}
	defer func() { g.turn <- struct{}{} }()
	reply, err := g.exchange(ctx, r)
	if err != nil {
		g.disconnect()
		return grant.Reply{}, classify(ctx, err)
	}
	return reply, nil
}

// Probe opens a connection to the target and closes it, to find out whether
// the target accepts connections. It is for targets that take no grants.
func (g *Granter) Probe(ctx context.Context) error {
	conn, err := g.transport.DialContext(ctx, "tcp", g.address)
	if err != nil {
		return classify(ctx, err)
	}
	return conn.Close()
}

func classify(ctx context.Context, err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return fmt.Errorf("%w: %w", ErrTimeout, err)
	}
	return fmt.Errorf("%w: %w", ErrExchange, err)
}

func (g *Granter) exchange(ctx context.Context, r grant.Request) (grant.Reply, error) {
	var reply grant.Reply
	body, err := json.Marshal(r)
	if err != nil {
		return reply, err
	}
	client, err := g.connect(ctx)
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+grant.Path, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.RoundTrip(req)
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	return decodeReply(resp)
}

func decodeReply(resp *http.Response) (grant.Reply, error) {
	var reply grant.Reply
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply, err
	}
	return reply, json.Unmarshal(body, &reply)
}

// connect returns the present connection, or a new one if it is broken.
func (g *Granter) connect(ctx context.Context) (*http.ClientConn, error) {
	g.mu.Lock()
	client, closed := g.client, g.closed
	g.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if client != nil && client.Err() == nil {
		return client, nil
	}
	client, err := g.transport.NewClientConn(ctx, "http", g.address)
	if err != nil {
		return nil, err
	}
	return client, g.adopt(client)
}

func (g *Granter) adopt(client *http.ClientConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = client.Close()
		return ErrClosed
	}
	g.client = client
	return nil
}

func (g *Granter) disconnect() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.client != nil {
		_ = g.client.Close()
		g.client = nil
	}
}

// Close closes the connection; an exchange in progress fails.
func (g *Granter) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.disconnect()
}
