package storesrv

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// withFaults counts a call and performs it with the injected faults.
func (s *Server) withFaults(call memstore.Call, fn answerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, bad, ok := readBody(r)
		faults := s.shared.BeginCall(call)
		if faults.Down != memstore.DownNone {
			reset(w)
		}
		if !ok {
			bad.write(w)
			return
		}
		if faults.Stall && s.isOld(r) {
			s.hang(r)
		}
		if faults.Drop {
			s.loseAnswer(r, faults)
		}
		// The delay goes on when the caller has left, since a slow store also
		// applies a write whose caller has given up.
		s.shared.Delay(s.done, faults.Delay)
		reply := fn(body)
		if faults.Lose {
			s.loseAnswer(r, faults)
		}
		if faults.Malformed != memstore.MalformedNone {
			s.writeNonsense(w, faults.Malformed)
			return
		}
		reply.write(w)
	}
}

// loseAnswer breaks the connection, after the caller has given up if the fault
// says so. It does not return.
func (s *Server) loseAnswer(r *http.Request, f memstore.CallFaults) {
	if f.Hang {
		s.hang(r)
	}
	panic(http.ErrAbortHandler)
}

// hang waits until the caller gives up or the server ends, and breaks the
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

// connContext marks a new connection with the present generation.
func (s *Server) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, generationKey{}, s.generation.Load())
}

// isOld reports whether the request's connection was open before StallOpen was
// last set.
func (s *Server) isOld(r *http.Request) bool {
	opened, ok := r.Context().Value(generationKey{}).(int64)
	return ok && opened < s.generation.Load()
}

// reset closes the connection with a TCP reset. It does not return.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is an ordinary one
	}
	_ = conn.Close()
	panic(http.ErrAbortHandler)
}

func (s *Server) writeNonsense(w http.ResponseWriter, n memstore.MalformedReply) {
	w.Header().Set("Content-Type", "application/json")
	switch n {
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

// writeEndless writes until the caller leaves or the server ends.
func (s *Server) writeEndless(w http.ResponseWriter) {
	const chunk = 64 << 10
	filler := strings.Repeat(" ", chunk)
	for s.done.Err() == nil {
		if _, err := io.WriteString(w, filler); err != nil {
			return
		}
	}
}
