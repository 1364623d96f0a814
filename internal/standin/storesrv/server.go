// Package storesrv is a stand-in for the platform's store, for tests and the quick start.
// It serves, from memory, the part of etcd's published v3 JSON gateway that the router uses.
// Faults can be injected, and calls are counted.
package storesrv

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// maxRequestBytes bounds the body of a request. It leaves room for three values of the
// largest size in base64.
const maxRequestBytes = 5 << 20

// Server serves a store. It is safe for concurrent use.
type Server struct {
	shared *memstore.SharedState
	mux    *http.ServeMux
	done   context.Context // ends watches and waiting calls on Close
	cancel context.CancelFunc

	// generation counts how often StallOpen has been set. Calls stall on
	// connections that were opened in an earlier generation.
	generation atomic.Int64
	// applyDown opens or closes the store address; it is nil without a Listener.
	applyDown func(memstore.Down) error
	// separateControl is set if the control API has an address of its own, which
	// accepts connections while the store's address refuses them.
	separateControl bool
}

// New returns a server for shared, which must outlive the server. Close must be called.
func New(shared *memstore.SharedState) *Server {
	s := &Server{shared: shared, mux: http.NewServeMux()}
	s.done, s.cancel = context.WithCancel(context.Background())
	s.registerRoutes()
	return s
}

// Shared returns the state that the server serves.
func (s *Server) Shared() *memstore.SharedState { return s.shared }

// Close ends all watches and waiting calls.
func (s *Server) Close() { s.cancel() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) registerRoutes() {
	s.handle(etcdwire.PathRange, memstore.CallRange, unary(s.doRange))
	s.handle(etcdwire.PathPut, memstore.CallPut, unary(s.doPut))
	s.handle(etcdwire.PathDeleteRange, memstore.CallDeleteRange, unary(s.doDelete))
	s.handle(etcdwire.PathTxn, memstore.CallTxn, unary(s.doTxn))
	s.handle(etcdwire.PathGrant, memstore.CallGrant, unary(s.doGrant))
	s.handle(etcdwire.PathKeepAlive, memstore.CallKeepAlive, unary(s.doKeepAlive))
	s.handle(etcdwire.PathRevoke, memstore.CallRevoke, unary(s.doRevoke))
	s.mux.HandleFunc("POST "+etcdwire.PathWatch, s.serveWatch)
	s.mux.Handle("/", s.Control())
}

func (s *Server) handle(path string, call memstore.Call, fn unaryFunc) {
	s.mux.HandleFunc("POST "+path, s.withFaults(call, fn))
}
