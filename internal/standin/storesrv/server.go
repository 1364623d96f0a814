// Package storesrv is a stand-in for the platform's store, for tests and the
// quick start. It serves the part of etcd's published v3 JSON gateway that the
// router uses, and the platform's instance list, from memory. Faults can be
// injected, and calls are counted.
package storesrv

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// maxRequestBytes bounds a request's body. It leaves room for three values of
// the largest size in base64.
const maxRequestBytes = 5 << 20

// Server serves a store. It is safe for concurrent use.
type Server struct {
	shared *memstore.SharedState
	mux    *http.ServeMux
	done   context.Context // ends waiting calls on Close
	end    context.CancelFunc

	// generation counts how often StallOpen has been set. A connection is old
	// if it was opened in an earlier generation.
	generation atomic.Int64
	// applyDown opens or closes the address; nil if there is no Listener.
	applyDown func(memstore.Down) error
	// ownControl tells that the controls are reachable while the store's
	// address refuses connections.
	ownControl bool
}

// New returns a server for shared, which must outlive it. Close must be called.
func New(shared *memstore.SharedState) *Server {
	s := &Server{shared: shared, mux: http.NewServeMux()}
	s.done, s.end = context.WithCancel(context.Background())
	s.routes()
	return s
}

// Shared returns the state behind the server.
func (s *Server) Shared() *memstore.SharedState { return s.shared }

// Close ends all watches and waiting calls.
func (s *Server) Close() { s.end() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) routes() {
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

func (s *Server) handle(path string, call memstore.Call, fn answerFunc) {
	s.mux.HandleFunc("POST "+path, s.withFaults(call, fn))
}
