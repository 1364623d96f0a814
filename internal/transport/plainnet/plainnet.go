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
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/transport/dialer"
	"github.com/jackdawloom/jackdawloom/internal/transport/headcheck"
	"github.com/jackdawloom/jackdawloom/internal/transport/listener"
	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

const (
	// dialTimeout is far above the round-trip time between failure domains.
	dialTimeout = 200 * time.Millisecond
	// headerTimeout bounds the time in which the header of a call must arrive.
	headerTimeout = time.Second
	// maxHeaderBytes bounds the header of a call and of its response.
	maxHeaderBytes = 16 << 10
	// callIDField carries the number of a call, which the reply repeats.
	callIDField = "Call-Id"
	// MaxHintBytes is the size of the largest hint in bytes; it fits one packet at the usual MTU.
	MaxHintBytes = 1400
)

// Net sends calls and hints to other daemons and serves theirs at one address.
type Net struct {
	address string
	log     *slog.Logger
	client  *http.Transport
	lastID  atomic.Uint64 // number of the last call

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
	tcp, err := config.Listen(ctx, "tcp4", n.address)
	if err != nil {
		return fmt.Errorf("listen for daemons: %w", err)
	}
	packetConn, err := config.ListenPacket(ctx, "udp4", tcp.Addr().String())
	if err != nil {
		return errors.Join(fmt.Errorf("listen for daemons: %w", err), tcp.Close())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener, n.packetConn = listener.New(tcp, n.log), packetConn
	return nil
}

// Addr returns the address at which the network listens; it is valid after Listen.
func (n *Net) Addr() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve passes calls and hints to the handlers until ctx ends, and returns an error if it ends
// before. Listen must have succeeded.
func (n *Net) Serve(ctx context.Context, calls http.Handler, hints func([]byte)) error {
	n.mu.Lock()
	listener, packets := n.listener, n.packetConn
	n.mu.Unlock()
	server := &http.Server{Handler: withCallID(calls), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	closeAll := func() {
		_ = server.Close()
		_ = packets.Close()
	}
	stop := context.AfterFunc(ctx, closeAll)
	defer stop()
	var wg sync.WaitGroup
	var serveErr, receiveErr error
	wg.Go(func() {
		defer closeAll()
		serveErr = server.Serve(listener)
	})
	wg.Go(func() {
		defer closeAll()
		receiveErr = n.receive(packets, hints)
	})
	wg.Wait()
	n.client.CloseIdleConnections()
	if err := errors.Join(serveErr, receiveErr); ctx.Err() == nil {
		return fmt.Errorf("serve daemons at %s: %w", listener.Addr(), err)
	}
	return nil
}

const (
	// receiveRetryDelay is the delay after a failed attempt to receive a datagram.
	receiveRetryDelay = 20 * time.Millisecond
	// maxReceiveFailures is the number of consecutive failures after which the socket counts as
	// broken.
	maxReceiveFailures = 500
)

// receive passes on datagrams until the socket is closed or fails for long.
func (n *Net) receive(packets net.PacketConn, hints func([]byte)) error {
	buf := make([]byte, MaxHintBytes)
	failures := 0
	for {
		size, _, err := packets.ReadFrom(buf)
		if err == nil {
			failures = 0
			hints(buf[:size])
			continue
		}
		if failures++; errors.Is(err, net.ErrClosed) || failures >= maxReceiveFailures {
			return err
		}
		if failures == 1 {
			n.log.Warn("receiving a datagram from another daemon failed; waiting for the next", "error", err)
		}
		time.Sleep(receiveRetryDelay)
	}
}

// withCallID makes replies repeat the number of their call.
func withCallID(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(callIDField); id != "" {
			w.Header().Set(callIDField, id)
		}
		calls.ServeHTTP(w, r)
	})
}

// errOtherCall reports a reply to another call of the connection.
var errOtherCall = errors.New("reply to another call")

// checkReply returns an error if a reply may not be the one to a call. A daemon of an older version
// does not repeat the number.
func checkReply(resp *http.Response, id string) error {
	if err := errors.Join(headcheck.Response(resp), headcheck.SingleFields(resp.Header, callIDField)); err != nil {
		return err
	}
	if got := resp.Header.Get(callIDField); got != "" && got != id {
		return errOtherCall
	}
	return nil
}

// RoundTrip sends a call to a daemon once. The error wraps once.ErrNotSent if no connection
// was established.
func (n *Net) RoundTrip(address netip.AddrPort, req *http.Request) (*http.Response, error) {
	req.URL.Scheme, req.URL.Host = "http", address.String()
	id := strconv.FormatUint(n.lastID.Add(1), 36)
	req.Header.Set(callIDField, id)
	resp, err := n.client.RoundTrip(req)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", once.ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	if err := checkReply(resp, id); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
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
