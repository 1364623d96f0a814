package storesrv

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// headerTimeout bounds the time a caller may take to send a request's header.
const headerTimeout = 10 * time.Second

// Addresses are the addresses to listen on. Control is optional; without it
// refused connections can be ended only in Go.
type Addresses struct {
	Store   string
	Control string
}

// Listener serves a Server over TCP. While the fault DownRefuse is set, its
// store address refuses connections.
type Listener struct {
	server  *Server
	addr    string
	control *http.Server
	caddr   string

	mu    sync.Mutex
	store *http.Server // nil while connections are refused
}

// Listen serves shared on the addresses until Close.
func Listen(shared *memstore.Shared, a Addresses) (*Listener, error) {
	l := &Listener{server: New(shared), addr: a.Store}
	l.server.applyDown = l.applyDown
	if err := l.openControl(a.Control); err != nil {
		return nil, err
	}
	if err := l.open(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Addr returns the store address with the port that was chosen.
func (l *Listener) Addr() string { return l.addr }

// ControlAddr returns the control address, or "" if there is none.
func (l *Listener) ControlAddr() string { return l.caddr }

// SetFaults replaces the injected faults.
func (l *Listener) SetFaults(f memstore.Faults) error { return l.server.SetFaults(f) }

// Close ends the listeners and all connections.
func (l *Listener) Close() {
	l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse()
	if l.control != nil {
		_ = l.control.Close()
	}
}

// applyDown opens or closes the store address.
func (l *Listener) applyDown(d memstore.Down) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d == memstore.DownRefuse {
		l.refuse()
		return nil
	}
	return l.open()
}

func (l *Listener) refuse() {
	if l.store != nil {
		_ = l.store.Close()
		l.store = nil
	}
}

func (l *Listener) open() error {
	if l.store != nil {
		return nil
	}
	srv, addr, err := serve(l.addr, l.server)
	if err != nil {
		return err
	}
	l.store, l.addr = srv, addr
	return nil
}

func (l *Listener) openControl(addr string) error {
	if addr == "" {
		return nil
	}
	srv, actual, err := serve(addr, l.server.Control())
	l.control, l.caddr = srv, actual
	return err
}

func serve(addr string, h http.Handler) (*http.Server, string, error) {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, "", fmt.Errorf("listen on %s: %w", addr, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			panic(err) // a broken listener is a defect of the stand-in
		}
	}()
	return srv, ln.Addr().String(), nil
}
