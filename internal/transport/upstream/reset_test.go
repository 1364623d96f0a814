package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a response without a length whose reset was reported only to the goroutine that
// writes the request: the part that had arrived counted as the whole body.
func TestResetWhileRequestIsWritten(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\nhalf"
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, part)
		time.Sleep(2 * time.Millisecond) // while the request fills the buffers of the sockets
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range 30 {
		if r, err := sendLarge(t, p); !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("got %+v, %v, want ErrOutcomeUnknown", r, err)
		}
	}
}

// Guards against refusing a whole response without a length because the target did not read the
// request to its end, but ended the response and kept the connection open in the other direction.
func TestResponseEndsWhileRequestIsWritten(t *testing.T) {
	p := serveTarget(t, func(_ int, c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\nwhole")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
	})
	for range 5 {
		if r, err := sendLarge(t, p); err != nil || string(r.Body) != "whole" {
			t.Fatalf("got %+v, %v, want the whole response", r, err)
		}
	}
}

// sendLarge sends a request that does not fit the buffers of the sockets.
func sendLarge(t *testing.T, p *Pool) (*Response, error) {
	t.Helper()
	req := request("1")
	req.Method, req.Body = http.MethodPost, make([]byte, 16<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.Send(ctx, req)
}
