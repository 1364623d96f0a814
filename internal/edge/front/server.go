package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// defaultLimits apply to callers' connections until a configuration that sets an idle
// timeout is in force.
var defaultLimits = route.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	// idleTimeoutMargin is added to the idle timeout, so that a request sent just
	// before the timeout does not arrive on a closing connection.
	idleTimeoutMargin = 2 * time.Second
	// connBacklog is the number of accepted connections that may wait for an
	// http.Server.
	connBacklog = 64
)

// Server serves callers within the limits of the configuration in force. Each change
// of the limits starts a new http.Server, so that the new limits apply to new connections
// only.
type Server struct {
	handler http.Handler
	views   *view.Tracker
	log     *slog.Logger

	admission admission
	lingering atomic.Int64
	served    chan struct{} // closed when Serve has returned

	mu          sync.Mutex
	limits      route.Limits
	current     *generation
	generations []*generation
}

// generation is an http.Server with fixed limits and the listener that feeds it.
type generation struct {
	server *http.Server
	log    *slog.Logger
	conns  *connListener
	served chan struct{} // closed when the server has taken over all connections

	mu   sync.Mutex
	open map[*framingConn]struct{} // open connections
}

// NewServer returns a server that does not accept connections yet. It serves at most maxConns
// connections at a time; 0 means no limit.
func NewServer(h http.Handler, views *view.Tracker, maxConns int, log *slog.Logger) *Server {
	return &Server{handler: h, views: views, admission: newAdmission(maxConns), log: log, served: make(chan struct{})}
}

// Serve accepts connections until the listener is closed or fails. It must be called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.served)
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if conn := s.admitConn(c); conn != nil {
			s.generation(l.Addr()).conns.queue <- conn
		}
	}
}

// generation returns the generation for new connections.
func (s *Server) generation(address net.Addr) *generation {
	limits := defaultLimits
	if c := s.views.Current().Config; c != nil && c.Limits.IdleTimeout > 0 {
		limits = c.Limits
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.limits == limits {
		return s.current
	}
	s.limits = limits
	s.current = newGeneration(s.handler, limits, address, s.log)
	s.generations = append(s.generations, s.current)
	return s.current
}

func newGeneration(h http.Handler, l route.Limits, address net.Addr, log *slog.Logger) *generation {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	g := &generation{
		log:    log,
		conns:  &connListener{queue: make(chan net.Conn, connBacklog), address: address},
		served: make(chan struct{}),
		open:   make(map[*framingConn]struct{}),
		server: &http.Server{
			Handler: rejectAmbiguous(cancelOnLeave(h)), DisableGeneralOptionsHandler: true, Protocols: &protocols, MaxHeaderBytes: l.HeaderBytes,
			ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleTimeoutMargin,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelInfo), ConnContext: withFramingConn,
		},
	}
	g.server.ConnState = g.trackConn
	go func() {
		defer close(g.served)
		if err := g.server.Serve(g.conns); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			log.Error("HTTP server for callers failed", "error", err)
		}
	}()
	return g
}

// trackConn keeps track of the open connections and their states.
func (g *generation) trackConn(c net.Conn, state http.ConnState) {
	conn, ok := c.(*framingConn)
	if !ok {
		return
	}
	conn.setWaiting(state == http.StateIdle)
	switch state {
	case http.StateNew:
		conn.headTimeout = g.server.ReadHeaderTimeout
		g.mu.Lock()
		g.open[conn] = struct{}{}
		g.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		g.mu.Lock()
		delete(g.open, conn)
		g.mu.Unlock()
	}
}

// refuseNextRequests ends the idle connections, and the others after their current request. It
// returns the number of open connections.
func (g *generation) refuseNextRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.open {
		conn.refuseNextRequest()
	}
	return len(g.open)
}

// Shutdown closes idle connections and waits until all requests have ended or ctx is
// done. The listener must be closed. Connections that were accepted before are served.
func (s *Server) Shutdown(ctx context.Context) error {
	<-s.served
	s.mu.Lock()
	generations := s.generations
	s.mu.Unlock()
	errs := make([]error, len(generations))
	var wg sync.WaitGroup
	for i, g := range generations {
		wg.Go(func() { errs[i] = g.shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(append(errs, s.awaitLingering(ctx))...)
}

// openPollInterval is the interval at which a stopping server checks for open connections.
const openPollInterval = 10 * time.Millisecond

// shutdown ends idle connections and waits until the others have ended. It does not use
// http.Server.Shutdown, which drops the connections that are still queued and answers no
// request that it finishes reading afterwards, nor SetKeepAlivesEnabled, which closes
// connections whose next request is just being read and may already be passed on.
func (g *generation) shutdown(ctx context.Context) error {
	close(g.conns.queue)
	<-g.served
	ticker := time.NewTicker(openPollInterval)
	defer ticker.Stop()
	for g.refuseNextRequests() > 0 {
		select {
		case <-ctx.Done():
			g.logCutOff()
			return errors.Join(ctx.Err(), g.server.Close())
		case <-ticker.C:
		}
	}
	return g.server.Close()
}

// logCutOff logs the requests that the open connections carry.
func (g *generation) logCutOff() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.open {
		if r := conn.running.Load(); r != nil {
			r.logCutOff(g.log)
		}
	}
}

// awaitLingering waits until the callers have read the last responses. Connections may still be
// closed meanwhile, as requests that were cut off end.
func (s *Server) awaitLingering(ctx context.Context) error {
	ticker := time.NewTicker(openPollInterval)
	defer ticker.Stop()
	for s.lingering.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// connListener is a net.Listener for connections that another listener accepted.
type connListener struct {
	queue   chan net.Conn // closed after the last connection
	address net.Addr
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	c, ok := <-l.queue
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener. The queue is closed by the server that fills it.
func (l *connListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }
