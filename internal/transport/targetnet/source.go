package targetnet

import (
	"io"
	"net"
	"net/http"
)

// withSource replaces the body of a request that is about to be written to the
// socket. A body that may keep its reader waiting is read by a goroutine of its
// own: net/http does not return from a failed round trip before the read of the
// body returns, so a caller that stops sending would hold the connection beyond
// every deadline. The goroutine ends when that read does.
func withSource(r *http.Request, s *socket) {
	if r.Body == nil || r.Body == http.NoBody || r.GetBody != nil {
		return // GetBody is set for bodies in memory
	}
	in, out := io.Pipe()
	s.onClose(func() { _ = out.CloseWithError(net.ErrClosed) })
	go pump(out, r.Body)
	r.Body = sourceBody{in, s}
}

func pump(out *io.PipeWriter, body io.ReadCloser) {
	_, err := io.Copy(out, body)
	_ = out.CloseWithError(err) // nil means io.EOF
	_ = body.Close()
}

// sourceBody marks the time that is spent waiting for the request's body.
type sourceBody struct {
	io.ReadCloser
	socket *socket
}

// Read implements io.Reader.
func (b sourceBody) Read(p []byte) (int, error) {
	b.socket.source.Store(true)
	n, err := b.ReadCloser.Read(p)
	b.socket.touch()
	b.socket.source.Store(false)
	return n, err
}
