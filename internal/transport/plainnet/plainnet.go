// Package plainnet carries calls and hints between daemons without encryption: calls over
// HTTP/1.1, hints in UDP datagrams. It is for networks to which the platform admits no
// other parties.
package plainnet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/transport/dialer"
	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

const (
	// dialTimeout is far above the round-trip time between failure domains.
	dialTimeout = 200 * time.Millisecond
	// headerTimeout bounds the time in which the header of a call must arrive.
	headerTimeout = time.Second
	// maxHeaderBytes bounds the header of a call and of its response.
	maxHeaderBytes = 16 << 10
	// MaxHintBytes is the size of the largest hint in bytes; it fits one packet at the usual MTU.
	MaxHintBytes = 1400
)

// Net sends calls and hints to other daemons and serves theirs at one address.
type Net struct {
	address string
	log     *slog.Logger
	client  *http.Transport

	mu         sync.Mutex
	listener   net.Listener
	packetConn net.PacketConn
}

// New returns a network that listens at an address after Listen was called. Calls can be sent
// without it.
func New(address string, log *slog.Logger) *Net {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: dialer.ResetOnClose}
	return &Net{address: address, log: log, client: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// listenAttempts bounds the attempts to find a port that is free for TCP and UDP.
const listenAttempts = 10

// Listen opens the address for calls over TCP and hints over UDP. If its port is 0, both get
// the same port.
func (n *Net) Listen(ctx context.Context) error {
	address, err := netip.ParseAddrPort(n.address)
	if err != nil {
		return fmt.Errorf("listen for daemons: %w", err)
	}
	for range listenAttempts {
		if err = n.listen(ctx); err == nil || address.Port() != 0 {
			break
		}
	}
	return err
}

func (n *Net) listen(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", n.address)
	if err != nil {
		return fmt.Errorf("listen for daemons: %w", err)
	}
	packetConn, err := config.ListenPacket(ctx, "udp4", listener.Addr().String())
	if err != nil {
		return errors.Join(fmt.Errorf("listen for daemons: %w", err), listener.Close())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener, n.packetConn = listener, packetConn
	return nil
}

// Addr returns the address at which the network listens; it is valid after Listen.
func (n *Net) Addr() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve passes calls and hints to the handlers until ctx ends. Listen must have succeeded.
func (n *Net) Serve(ctx context.Context, calls http.Handler, hints func([]byte)) {
	n.mu.Lock()
	listener, packets := n.listener, n.packetConn
	n.mu.Unlock()
	server := &http.Server{Handler: calls, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		_ = packets.Close()
	})
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	})
	wg.Go(func() { n.receive(packets, hints) })
	wg.Wait()
	n.client.CloseIdleConnections()
}

func (n *Net) receive(packets net.PacketConn, hints func([]byte)) {
	buf := make([]byte, MaxHintBytes)
	for {
		size, _, err := packets.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Warn("receiving a datagram from another daemon failed; waiting for the next", "error", err)
			continue
		}
		hints(buf[:size])
	}
}

// RoundTrip sends a call to a daemon once. The error wraps once.ErrNotSent if no connection
// was established.
func (n *Net) RoundTrip(address netip.AddrPort, req *http.Request) (*http.Response, error) {
	req.URL.Scheme, req.URL.Host = "http", address.String()
	resp, err := n.client.RoundTrip(req)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", once.ErrNotSent, err)
	}
	return resp, err
}

// SendHint sends a hint to a daemon. It may be lost.
func (n *Net) SendHint(address netip.AddrPort, hint []byte) error {
	n.mu.Lock()
	packets := n.packetConn
	n.mu.Unlock()
	if packets == nil {
		return net.ErrClosed
	}
	_, err := packets.WriteTo(hint, net.UDPAddrFromAddrPort(address))
	return err
}
