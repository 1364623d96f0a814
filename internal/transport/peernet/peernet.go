// Package peernet carries calls and hints between daemons over HTTP/3 with mutual TLS. Every
// call is sent exactly once: connections are http3.ClientConn values, because
// http3.Transport retries a request itself after some connection errors.
package peernet

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

// Timeouts and limits of connections between daemons.
const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 1500 * time.Millisecond
	keepAlivePeriod = 400 * time.Millisecond
	redialBackoff   = 100 * time.Millisecond
	maxStreams      = 4096
	// maxHeaderBytes bounds the header of a call and of its response.
	maxHeaderBytes = 16 << 10
)

// Hints are sent as calls that the sender does not wait for.
const (
	hintPath    = "/hint"
	hintTimeout = 300 * time.Millisecond
	// maxInFlightHints bounds the number of hints in flight. Further hints are dropped.
	maxInFlightHints = 64
	maxHintBytes     = 4 << 10
)

// errTooManyHints reports a hint that was dropped because too many are in flight.
var errTooManyHints = errors.New("too many hints in flight")

// Net sends calls and hints to other daemons and serves theirs through one UDP socket.
type Net struct {
	address        string
	server, client *tls.Config
	log            *slog.Logger
	inFlightHints  chan struct{} // semaphore with one entry for each hint in flight

	mu        sync.Mutex
	transport *quic.Transport
	listener  *quic.EarlyListener
	peers     map[netip.AddrPort]*peerConn
}

// New returns a network that listens at an address after Listen was called.
func New(address string, server, client *tls.Config, log *slog.Logger) *Net {
	return &Net{
		address: address, server: http3.ConfigureTLSConfig(server), client: http3.ConfigureTLSConfig(client), log: log,
		inFlightHints: make(chan struct{}, maxInFlightHints), peers: make(map[netip.AddrPort]*peerConn),
	}
}

// Listen opens the socket. No connection is served before Serve.
func (n *Net) Listen(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp", n.address)
	if err != nil {
		return fmt.Errorf("listen for daemons: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.ListenEarly(n.server, quicConfig())
	if err != nil {
		return errors.Join(fmt.Errorf("listen for daemons: %w", err), socket.Close())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.transport, n.listener = transport, listener
	return nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxStreams,
	}
}

// Serve passes calls and hints to the handlers until ctx ends, and returns an error if it ends
// before. Listen must have succeeded.
func (n *Net) Serve(ctx context.Context, calls http.Handler, hints func([]byte)) error {
	n.mu.Lock()
	listener := n.listener
	n.mu.Unlock()
	mux := http.NewServeMux()
	mux.Handle("POST "+hintPath, hintHandler(hints))
	mux.Handle("/", calls)
	server := &http3.Server{Handler: mux, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	defer n.close()
	err := server.ServeListener(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, quic.ErrServerClosed) {
		return fmt.Errorf("serve daemons at %s: %w", n.address, err)
	}
	return nil
}

func hintHandler(hints func([]byte)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHintBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		hints(b)
	})
}

// Addr returns the address of the socket; it is valid after Listen.
func (n *Net) Addr() net.Addr {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.transport.Conn.LocalAddr()
}

func (n *Net) close() {
	n.mu.Lock()
	peers := n.peers
	n.peers = make(map[netip.AddrPort]*peerConn)
	transport, listener := n.transport, n.listener
	n.mu.Unlock()
	_ = listener.Close()
	for _, p := range peers {
		p.closeConn()
	}
	_ = transport.Close()
	_ = transport.Conn.Close()
}

// SendHint sends a hint without waiting for its delivery. It fails if too many hints
// are in flight.
func (n *Net) SendHint(address netip.AddrPort, hint []byte) error {
	select {
	case n.inFlightHints <- struct{}{}:
	default:
		return errTooManyHints
	}
	go func() {
		defer func() { <-n.inFlightHints }()
		if err := n.sendHint(address, hint); err != nil {
			n.log.Debug("hint not delivered", "daemon", address.String(), "error", err)
		}
	}()
	return nil
}

func (n *Net) sendHint(address netip.AddrPort, hint []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, hintPath, once.Body(hint))
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(hint))
	resp, err := n.RoundTrip(address, req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// RoundTrip sends a call to the daemon at an address exactly once. The error wraps
// once.ErrNotSent if no byte of the call left this daemon.
func (n *Net) RoundTrip(address netip.AddrPort, req *http.Request) (*http.Response, error) {
	conn, err := n.conn(req.Context(), address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", once.ErrNotSent, err)
	}
	req.URL.Scheme, req.URL.Host = "https", address.String()
	sent := &atomic.Bool{}
	// WroteHeaderField is called while the header is encoded, before its first byte is
	// written. WroteHeaders is called only after the whole write succeeded, so it misses
	// partial writes.
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	}
	resp, err := conn.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if !sent.Load() {
		return nil, fmt.Errorf("%w: %w", once.ErrNotSent, err)
	}
	return nil, fmt.Errorf("call to daemon: %w", err)
}

// errNotListening reports a call before Listen succeeded.
var errNotListening = errors.New("daemon's socket is not open")

func (n *Net) conn(ctx context.Context, address netip.AddrPort) (*http3.ClientConn, error) {
	n.mu.Lock()
	if n.transport == nil {
		n.mu.Unlock()
		return nil, errNotListening
	}
	p := n.peers[address]
	if p == nil {
		p = &peerConn{net: n, address: address}
		n.peers[address] = p
	}
	n.mu.Unlock()
	return p.get(ctx)
}

// peerConn holds at most one connection to a peer and opens it on demand.
type peerConn struct {
	net     *Net
	address netip.AddrPort

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
	// The dial does not end with the context of the request that started it, because
	// other requests wait for the same connection.
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	conn, err := p.net.transport.Dial(dialCtx, net.UDPAddrFromAddrPort(p.address), p.net.client, quicConfig())
	if err != nil {
		return fmt.Errorf("dial daemon %s: %w", p.address, err)
	}
	p.quicConn = conn
	p.http = (&http3.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}).NewClientConn(conn)
	return nil
}

func (p *peerConn) closeConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.quicConn != nil {
		_ = p.quicConn.CloseWithError(0, "closing")
	}
}
