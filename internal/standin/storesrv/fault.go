package storesrv

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// withFaults returns a handler that counts a call and performs it with the injected faults.
func (s *Server) withFaults(call memstore.Call, fn unaryFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, errResp, ok := readBody(r)
		faults := s.shared.BeginCall(call)
		if faults.Down != memstore.DownNone {
			resetConn(w)
		}
		if !ok {
			errResp.write(w)
			return
		}
		if faults.Stall && s.openedBeforeStall(r) {
			s.hang(r)
		}
		if faults.Drop {
			s.loseResponse(r, faults)
		}
		// The delay continues after the caller has left, because a slow store
		// also applies a write whose caller has given up.
		s.shared.Delay(s.done, faults.Delay)
		reply := fn(body)
		if faults.Lose {
			s.loseResponse(r, faults)
		}
		if faults.Malformed != memstore.MalformedNone {
			s.writeMalformed(w, faults.Malformed)
			return
		}
		reply.write(w)
	}
}

// loseResponse closes the connection without a response; if the fault is set to hang, only
// after the caller has given up. It does not return.
func (s *Server) loseResponse(r *http.Request, f memstore.CallFaults) {
	if f.Hang {
		s.hang(r)
	}
	panic(http.ErrAbortHandler)
}

// hang waits until the caller gives up or the server is closed, and then closes the
// connection. It does not return.
func (s *Server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.done.Done():
	}
	panic(http.ErrAbortHandler)
}

// generationKey is the context key of a connection's generation.
type generationKey struct{}

// connContext stores the current generation in the context of a new connection.
func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, generationKey{}, s.generation.Load())
}

// openedBeforeStall reports whether the request's connection was opened before StallOpen was
// last set.
func (s *Server) openedBeforeStall(r *http.Request) bool {
	opened, ok := r.Context().Value(generationKey{}).(int64)
	return ok && opened < s.generation.Load()
}

// resetConn closes the connection with a TCP reset. It does not return.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset instead of a FIN
	}
	_ = conn.Close()
	panic(http.ErrAbortHandler)
}

func (s *Server) writeMalformed(w http.ResponseWriter, kind memstore.MalformedReply) {
	w.Header().Set("Content-Type", "application/json")
	switch kind {
	case memstore.MalformedEmpty:
		_, _ = io.WriteString(w, "{}")
	case memstore.MalformedTypes:
		_, _ = io.WriteString(w, `{"header":[],"kvs":"x","succeeded":7,"ID":{},"result":{"header":3},"instances":1}`)
	case memstore.MalformedTruncated:
		_, _ = io.WriteString(w, `{"header":{"revision":"12"`)
	case memstore.MalformedEndless:
		s.writeEndless(w)
	default:
		_, _ = io.WriteString(w, "<html>502 Bad Gateway</html>")
	}
}

// writeEndless writes until the caller leaves or the server is closed.
func (s *Server) writeEndless(w http.ResponseWriter) {
	const chunk = 64 << 10
	filler := strings.Repeat(" ", chunk)
	for s.done.Err() == nil {
		if _, err := io.WriteString(w, filler); err != nil {
			return
		}
	}
}
