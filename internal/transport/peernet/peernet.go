// Package peernet carries messages and forwarded requests between daemons over
// HTTP/3 with mutual TLS. Every request is sent exactly once: connections are
// http3.ClientConn values, since http3.Transport repeats a request on its own
// after some connection errors.
package peernet

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Errors of peer requests. ErrNotSent is certain: no byte of the request left
// this daemon. ErrUnknown means that the peer may have acted on it.
var (
	ErrNotSent = errors.New("request not sent to peer")
	ErrUnknown = errors.New("result of peer request unknown")
)

// Times of connections between daemons.
const (
	dialTimeout   = 500 * time.Millisecond
	idleTimeout   = 1500 * time.Millisecond
	keepAlive     = 400 * time.Millisecond
	redialBackoff = 100 * time.Millisecond
	maxStreams    = 4096
)

// Net sends to and serves other daemons through one UDP socket.
type Net struct {
	transport *quic.Transport
	listener  *quic.EarlyListener
	server    *http3.Server
	client    *tls.Config
	log       *slog.Logger

	mu    sync.Mutex
	peers map[string]*peerConn

	counters counters
}

// Listen opens the socket. Nothing is accepted before Serve.
func Listen(address string, server, client *tls.Config, log *slog.Logger) (*Net, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	n := &Net{
		client: http3.ConfigureTLSConfig(client),
		log:    log,
		peers:  make(map[string]*peerConn),
	}
	n.transport = &quic.Transport{Conn: newCountedConn(socket, &n.counters)}
	n.listener, err = n.transport.ListenEarly(http3.ConfigureTLSConfig(server), quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	n.server = &http3.Server{}
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxStreams,
	}
}

// Serve accepts requests and passes them to handler until the net is closed.
// It must be called once.
func (n *Net) Serve(handler http.Handler) {
	n.server.Handler = handler
	err := n.server.ServeListener(n.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, quic.ErrServerClosed) {
		n.log.Error("peer server stopped", "error", err)
	}
}

// Addr returns the address of the socket.
func (n *Net) Addr() string { return n.transport.Conn.LocalAddr().String() }

// Shutdown stops accepting requests and waits for running ones until ctx ends.
func (n *Net) Shutdown(ctx context.Context) error {
	err := n.server.Shutdown(ctx)
	n.close()
	return err
}

// Close drops every connection at once.
func (n *Net) Close() {
	_ = n.server.Close()
	n.close()
}

func (n *Net) close() {
	_ = n.listener.Close()
	n.mu.Lock()
	peers := n.peers
	n.peers = make(map[string]*peerConn)
	n.mu.Unlock()
	for _, p := range peers {
		p.drop()
	}
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
}

// RoundTrip sends req to the daemon at address, exactly once. The error wraps
// ErrNotSent or ErrUnknown.
func (n *Net) RoundTrip(address string, req *http.Request) (*http.Response, error) {
	conn, err := n.conn(req.Context(), address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	n.counters.requests.Add(1)
	sent := &atomic.Bool{}
	// WroteHeaderField is called while the header is encoded, before its first
	// byte is written; WroteHeaders only follows a write that succeeded whole.
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	}
	resp, err := conn.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if !sent.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrUnknown, err)
}

func (n *Net) conn(ctx context.Context, address string) (*http3.ClientConn, error) {
	n.mu.Lock()
	p := n.peers[address]
	if p == nil {
		p = &peerConn{net: n, address: address}
		n.peers[address] = p
	}
	n.mu.Unlock()
	return p.get(ctx)
}

// peerConn keeps at most one connection to a peer and opens it on demand.
type peerConn struct {
	net     *Net
	address string

	mu       sync.Mutex
	quicConn *quic.Conn
	http     *http3.ClientConn
	failedAt time.Time
	lastErr  error
}

func (p *peerConn) get(ctx context.Context) (*http3.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.http != nil && p.http.Context().Err() == nil {
		return p.http, nil
	}
	if time.Since(p.failedAt) < redialBackoff {
		return nil, p.lastErr
	}
	if err := p.dial(ctx); err != nil {
		p.failedAt, p.lastErr = time.Now(), err
		return nil, err
	}
	return p.http, nil
}

func (p *peerConn) dial(ctx context.Context) error {
	udpAddr, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return err
	}
	// The dial is not bound to the caller's context: other requests wait for
	// the same connection.
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	conn, err := p.net.transport.Dial(dialCtx, udpAddr, p.net.client, quicConfig())
	if err != nil {
		return fmt.Errorf("dial peer %s: %w", p.address, err)
	}
	p.quicConn = conn
	p.http = (&http3.Transport{DisableCompression: true}).NewClientConn(conn)
	return nil
}

func (p *peerConn) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quicConn != nil {
		_ = p.quicConn.CloseWithError(0, "closing")
	}
}
