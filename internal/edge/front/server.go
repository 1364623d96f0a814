package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
)

// defaults bound callers' connections until a configuration is known.
var defaults = route.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	// idleSlack is added to the idle timeout, so that a request that a caller sends
	// at its end does not meet a closing connection.
	idleSlack = 2 * time.Second
	// handOver is the number of accepted connections that wait for a server.
	handOver = 64
)

// Server serves callers within the limits of the configuration in force. Changed
// limits apply to new connections.
type Server struct {
	handler http.Handler
	views   *view.Tracker
	log     *slog.Logger

	mu      sync.Mutex
	limits  route.Limits
	current *generation
	all     []*generation
	closing bool
}

// generation is a server with fixed limits.
type generation struct {
	server *http.Server
	conns  *handedOver
}

// NewServer returns a server that has no connections.
func NewServer(h http.Handler, views *view.Tracker, log *slog.Logger) *Server {
	return &Server{handler: h, views: views, log: log}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if g := s.generation(l.Addr()); g == nil || !g.conns.put(&guard{Conn: c}) {
			_ = c.Close()
		}
	}
}

// generation returns the server for new connections, or nil once closing.
func (s *Server) generation(address net.Addr) *generation {
	limits := defaults
	if c := s.views.Current().Config; c != nil && c.Limits.IdleTimeout > 0 {
		limits = c.Limits
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	if s.current != nil && s.limits == limits {
		return s.current
	}
	s.limits = limits
	s.current = newGeneration(s.handler, limits, address, s.log)
	s.all = append(s.all, s.current)
	return s.current
}

func newGeneration(h http.Handler, l route.Limits, address net.Addr, log *slog.Logger) *generation {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	g := &generation{
		conns: &handedOver{conns: make(chan net.Conn, handOver), done: make(chan struct{}), address: address},
		server: &http.Server{
			Handler: rejectAmbiguous(h), Protocols: &protocols, MaxHeaderBytes: l.HeaderBytes,
			ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleSlack,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelInfo), ConnContext: withGuard,
			ConnState: func(c net.Conn, state http.ConnState) {
				if g, ok := c.(*guard); ok && state == http.StateIdle {
					g.idle()
				}
			},
		},
	}
	go func() {
		if err := g.server.Serve(g.conns); !errors.Is(err, http.ErrServerClosed) {
			log.Error("callers' server failed", "error", err)
		}
	}()
	return g
}

// rejectAmbiguous refuses requests whose end is unclear, and closes their
// connection.
func rejectAmbiguous(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isAmbiguous(r.Context()) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Shutdown closes idle connections and waits for requests to end.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	all := s.all
	s.mu.Unlock()
	errs := make([]error, len(all))
	var wg sync.WaitGroup
	for i, g := range all {
		wg.Go(func() { errs[i] = g.server.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// handedOver is a listener whose connections another one accepted.
type handedOver struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

func (h *handedOver) put(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.done:
		return false
	}
}

// Accept implements net.Listener.
func (h *handedOver) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handedOver) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handedOver) Addr() net.Addr { return h.address }
