package storesrv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// headerTimeout bounds the time that a caller may take to send a request's header.
const headerTimeout = 10 * time.Second

// Addresses holds the addresses to listen on. Control is optional; without it, DownRefuse
// can be set and cleared only with Listener.SetFaults.
type Addresses struct {
	Store   string
	Control string
}

// Listener serves a Server over TCP. While the fault DownRefuse is set, its store address
// refuses connections.
type Listener struct {
	server  *Server
	store   *endpoint
	control *endpoint // nil if there is no control address
}

// Listen serves shared on the addresses until Close.
func Listen(shared *memstore.SharedState, a Addresses) (*Listener, error) {
	l := &Listener{server: New(shared)}
	if err := l.open(a); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Listener) open(a Addresses) (err error) {
	if l.store, err = newEndpoint(a.Store, l.server); err != nil {
		return err
	}
	l.store.connContext = l.server.connContext
	l.server.applyDown = l.applyDown
	if a.Control != "" {
		if l.control, err = newEndpoint(a.Control, l.server.Control()); err != nil {
			return err
		}
		l.server.separateControl = true
		if err := l.control.open(); err != nil {
			return err
		}
	}
	return l.store.open()
}

// Addr returns the store address with the port that was bound.
func (l *Listener) Addr() string { return l.store.reserved.addr }

// ControlAddr returns the control address, or "" if there is none.
func (l *Listener) ControlAddr() string {
	if l.control == nil {
		return ""
	}
	return l.control.reserved.addr
}

// Shared returns the state that the server serves.
func (l *Listener) Shared() *memstore.SharedState { return l.server.Shared() }

// SetFaults replaces the injected faults.
func (l *Listener) SetFaults(f memstore.Faults) error { return l.server.SetFaults(f) }

// Close closes the listeners and all connections.
func (l *Listener) Close() {
	l.server.Close()
	l.store.close()
	l.control.close()
}

// applyDown closes the store address for DownRefuse and opens it otherwise.
func (l *Listener) applyDown(d memstore.Down) error {
	if d == memstore.DownRefuse {
		l.store.refuse()
		return nil
	}
	return l.store.open()
}

// endpoint is a reserved address that can be opened and closed repeatedly.
type endpoint struct {
	reserved    *reservation
	handler     http.Handler
	connContext func(context.Context, net.Conn) context.Context

	mu         sync.Mutex
	listener   net.Listener // nil while connections are refused
	httpServer *http.Server
}

func newEndpoint(addr string, h http.Handler) (*endpoint, error) {
	r, err := reserve(addr)
	if err != nil {
		return nil, err
	}
	return &endpoint{reserved: r, handler: h}, nil
}

// open starts to accept connections, unless the endpoint already does.
func (e *endpoint) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.httpServer != nil {
		return nil
	}
	ln, err := e.reserved.listen()
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.reserved.addr, err)
	}
	e.listener = ln
	e.httpServer = &http.Server{
		Handler:           e.handler,
		ConnContext:       e.connContext,
		ReadHeaderTimeout: headerTimeout,
	}
	go serve(e.httpServer, ln)
	return nil
}

func serve(srv *http.Server, ln net.Listener) {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("store stand-in stopped accepting connections", "address", ln.Addr().String(), "error", err)
	}
}

// refuse closes all connections and refuses new ones.
func (e *endpoint) refuse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.httpServer == nil {
		return
	}
	_ = e.httpServer.Close()
	_ = e.listener.Close() // not closed above if Serve has not registered it yet
	e.httpServer, e.listener = nil, nil
}

// close closes the endpoint and releases its address. It does nothing on a nil endpoint.
func (e *endpoint) close() {
	if e == nil {
		return
	}
	e.refuse()
	e.reserved.close()
}
