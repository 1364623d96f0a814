// Package upstream sends requests to targets over kept HTTP/1.1 connections.
//
// Every request is written at most once, and the caller learns whether any byte
// of it may have reached the target. http.Transport hides that, and it cannot
// read on after an answer that belongs to another request; its parser and
// writer, http.ReadResponse and Request.Write, are used without it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/transport/dialer"
)

// Errors of a send. ErrNotSent means that nothing reached the target.
var (
	ErrNotSent        = errors.New("request not sent")
	ErrOutcomeUnknown = errors.New("request sent without a complete answer")
	ErrPoolExhausted  = errors.New("connections to target used up")
	errStray          = errors.New("answer to another request")
	errTooLarge       = errors.New("answer too large")
)

// Limits of connections.
const (
	// dialTimeout is far above one round trip between failure domains.
	dialTimeout = 300 * time.Millisecond
	// silentAfter ends a connection whose bytes or keep-alive probes stay
	// unacknowledged.
	silentAfter = 1500 * time.Millisecond
	// maxStray is the number of answers to other requests that are skipped.
	maxStray = 4
	// maxAnswerBytes bounds the body of an answer, which is held in memory.
	maxAnswerBytes = 8 << 20
	// idleMargin is kept to the idle timeout that a target states.
	idleMargin = 1500 * time.Millisecond
	// idleDefault is used with targets that state none.
	idleDefault = 6 * time.Second
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// conn is one connection. It is used by one request at a time.
type conn struct {
	net     net.Conn
	raw     syscall.RawConn
	in      *bufio.Reader
	out     *bufio.Writer
	idle    time.Duration // how long it may stay idle
	parked  time.Duration
	written bool // a byte of the present request was given to the socket
}

func dial(ctx context.Context, address string) (*conn, error) {
	n, err := dialer.New(dialTimeout, silentAfter).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := n.(*net.TCPConn)
	if !ok {
		_ = n.Close()
		return nil, fmt.Errorf("connection to %s is no TCP connection", address)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = n.Close()
		return nil, err
	}
	c := &conn{net: n, raw: raw, idle: idleDefault}
	c.in = bufio.NewReaderSize(n, readBuffer)
	c.out = bufio.NewWriterSize(countingWriter{c}, writeBuffer)
	return c, nil
}

// countingWriter notes that bytes were given to the socket.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(b []byte) (int, error) {
	w.c.written = true
	return w.c.net.Write(b)
}

func (c *conn) close() { _ = c.net.Close() }

// reusable reports whether an idle connection is open and holds no bytes. Bytes
// that arrived since the last answer belong to no request.
func (c *conn) reusable() bool {
	if c.in.Buffered() > 0 || clock.Now()-c.parked > c.idle {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes the request and reads its answer whole. keep tells whether the
// connection may carry another request.
func (c *conn) send(ctx context.Context, req *Request) (answer *Response, keep bool, err error) {
	c.written = false
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.net.SetDeadline(deadline); err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	defer func() { keep = stop() && keep }()

	out := req.outgoing()
	wrote, err := c.write(req, out)
	if err != nil {
		return nil, false, c.unsent(err)
	}
	resp, err := c.read(req, out)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	body, err := readBody(resp)
	if err != nil {
		return nil, false, fmt.Errorf("%w: body: %w", ErrOutcomeUnknown, err)
	}
	keep = wrote() && !resp.Close && c.in.Buffered() == 0 && c.net.SetDeadline(time.Time{}) == nil
	c.noteIdle(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Trailer: resp.Trailer}, keep, nil
}

func (c *conn) unsent(err error) error {
	if c.written {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

// write sends the request. A body that may not fit the connection's window is
// sent by a goroutine, since the target may answer before it reads the body. The
// returned function reports whether all of it was sent.
func (c *conn) write(req *Request, out *http.Request) (func() bool, error) {
	if len(req.Body) <= writeBuffer {
		if err := errors.Join(out.Write(c.out), c.out.Flush()); err != nil {
			return nil, err
		}
		return func() bool { return true }, nil
	}
	c.written = true
	done := make(chan error, 1)
	go func() { done <- errors.Join(out.Write(c.out), c.out.Flush()) }()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false
		}
	}, nil
}

// read returns the answer that carries the request's ID. Interim answers and
// those to other requests are skipped.
func (c *conn) read(req *Request, out *http.Request) (*http.Response, error) {
	for range maxStray {
		resp, err := http.ReadResponse(c.in, out)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.ID == "" || resp.Header.Get(req.Names.RequestID) == req.ID {
			return resp, nil
		}
		if resp.Header.Get(req.Names.RequestID) == "" && resp.StatusCode >= http.StatusBadRequest {
			// A target that refuses before it has read the ID cannot return it.
			return resp, nil
		}
		if _, err := readBody(resp); err != nil || resp.Close {
			return nil, errors.Join(errStray, err)
		}
	}
	return nil, errStray
}

func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errTooLarge
	}
	return body, errors.Join(err, resp.Body.Close())
}

// noteIdle learns how long the target keeps an idle connection.
func (c *conn) noteIdle(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			stated := time.Duration(seconds) * time.Second
			c.idle = max(stated-idleMargin, stated/2)
		}
	}
}
