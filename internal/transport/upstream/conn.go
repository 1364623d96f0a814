// Package upstream sends requests to targets over persistent HTTP/1.1 connections.
//
// Every request is written at most once, and the caller learns whether any byte of it may
// have reached the target. http.Transport does not report that, and it cannot read on after
// a response that belongs to another request. Its parser, http.ReadResponse, is used without it.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
	"github.com/jackdawloom/jackdawloom/internal/transport/dialer"
)

// Errors of a send. ErrNotSent means that no part of the request reached the target;
// ErrOutcomeUnknown means that the target may have run it.
var (
	ErrNotSent            = errors.New("request not sent")
	ErrOutcomeUnknown     = errors.New("request sent without a complete response")
	ErrPoolExhausted      = errors.New("no connection to target available")
	errMismatchedResponse = errors.New("received the response to another request")
	errResponseTooLarge   = errors.New("response takes more bytes than allowed")
	errTooLate            = errors.New("too late to send the request")
)

// Limits of connections.
const (
	// dialTimeout is far above the round-trip time between failure domains.
	dialTimeout = 300 * time.Millisecond
	// unacknowledgedTimeout closes a connection whose data or keep-alive probes stay
	// unacknowledged.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// maxReadResponses is the number of responses that are read for one request. It
	// includes interim responses and those to other requests, which are skipped.
	maxReadResponses = 4
	// maxHeadBytes bounds the head of a response, and of each interim response. The parser
	// keeps a head in memory, where many short fields take several times their size.
	maxHeadBytes = 16 << 10
	// maxResponseBytes bounds the body of a response, which is held in memory.
	maxResponseBytes = 8 << 20
	// A body may take maxFramingBytes, and framingFactor times the bytes read so far, on the
	// wire. A body of one-byte chunks, which is costly to parse, exceeds that soon.
	maxFramingBytes = 64 << 10
	framingFactor   = 2
	// idleTimeoutMargin is subtracted from the idle timeout that a target announces.
	idleTimeoutMargin = 1500 * time.Millisecond
	// defaultIdleTimeout is used for targets that announce no idle timeout.
	defaultIdleTimeout = 6 * time.Second
	// readBufferSize also bounds a trailer and a line of chunked framing: the parser takes
	// neither if it exceeds the buffer.
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
)

// conn is a connection to a target. It serves one request at a time.
type conn struct {
	net         net.Conn
	raw         syscall.RawConn
	bodies      *bodybuf.Budget
	incoming    *incomingReader
	in          *bufio.Reader
	head        []byte // buffer for the head of a response
	out         *bufio.Writer
	used        bool          // a response has been read
	returnsIDs  bool          // a response carried the ID of its request
	sent        sentIDs       // IDs of the requests that were sent
	idleTimeout time.Duration // how long the connection may stay idle before it is not reused
	idleSince   time.Duration
	written     bool // a byte of the current request may have been written to the socket
}

func dial(ctx context.Context, address string, bodies *bodybuf.Budget) (*conn, error) {
	n, err := dialer.New(dialTimeout, unacknowledgedTimeout).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := n.(*net.TCPConn)
	if !ok {
		_ = n.Close()
		return nil, fmt.Errorf("connection to %s is not a TCP connection", address)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = n.Close()
		return nil, err
	}
	c := &conn{net: n, raw: raw, bodies: bodies, incoming: &incomingReader{in: n}, idleTimeout: defaultIdleTimeout}
	c.in = bufio.NewReaderSize(c.incoming, readBufferSize)
	c.out = bufio.NewWriterSize(trackingWriter{c}, writeBufferSize)
	return c, nil
}

// incomingReader reads from the socket and bounds the bytes that the current part of a response
// takes. It returns the bytes that were put back first, which were counted before.
type incomingReader struct {
	in      io.Reader
	left    int
	pending []byte
}

// Read implements io.Reader.
func (r *incomingReader) Read(b []byte) (int, error) {
	if len(r.pending) > 0 {
		n := copy(b, r.pending)
		if r.pending = r.pending[n:]; len(r.pending) == 0 {
			r.pending = nil // an idle connection keeps no memory
		}
		return n, nil
	}
	if r.left <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := r.in.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// bodyReader reads the body of a response, and allows more bytes on the wire as it proceeds.
type bodyReader struct {
	c    *conn
	body io.Reader
}

// Read implements io.Reader.
func (r bodyReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.c.incoming.left += framingFactor * n
	return n, err
}

// trackingWriter records that bytes were written to the socket.
type trackingWriter struct{ c *conn }

func (w trackingWriter) Write(b []byte) (int, error) {
	w.c.written = true
	return w.c.net.Write(b)
}

func (c *conn) close() { _ = c.net.Close() }

// reusable reports whether an idle connection is open, within its idle timeout, and has no
// unread bytes. Bytes that arrived after the last response belong to no request.
func (c *conn) reusable() bool {
	if c.hasUnread() || clock.Now()-c.idleSince > c.idleTimeout {
		return false
	}
	wouldBlock := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		wouldBlock = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// send writes the request and reads the complete response. keep tells whether the connection
// may be used for another request.
func (c *conn) send(ctx context.Context, req *Request) (response *Response, keep bool, err error) {
	c.written = false
	c.sent.add(req.ID, clock.Now(), req.TimeLeft)
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.net.SetDeadline(deadline); err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, c.close)
	defer func() { keep = stop() && keep }()

	if req.NotAfter > 0 && clock.Now() >= req.NotAfter {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, errTooLate)
	}
	if err := req.validate(); err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	pending, err := c.write(req)
	if err != nil {
		return nil, false, c.writeError(err)
	}
	// The body is not closed, because that would read on after an error. The connection is
	// closed instead.
	resp, err := c.read(req) //nolint:bodyclose // see above
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	length := resp.ContentLength
	if req.Method == http.MethodHead {
		length = 0 // the head states the length of a body that is not sent
	}
	body, err := c.bodies.Read(ctx, bodyReader{c, resp.Body}, length, maxResponseBytes)
	if err != nil {
		return nil, false, fmt.Errorf("%w: reading the body: %w", ErrOutcomeUnknown, err)
	}
	if endsWithConnection := length < 0 && len(resp.TransferEncoding) == 0; endsWithConnection {
		if err := c.stopWrite(pending); err != nil {
			body.Release()
			return nil, false, fmt.Errorf("%w: connection lost before its end: %w", ErrOutcomeUnknown, err)
		}
	}
	c.used = true
	keep = pending.isDone() && !resp.Close && !c.hasUnread() && !c.sent.isFull(clock.Now()) && c.net.SetDeadline(time.Time{}) == nil
	c.updateIdleTimeout(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body.Bytes(), Trailer: resp.Trailer, body: body}, keep, nil
}

// writeError returns the error of a send whose write failed.
func (c *conn) writeError(err error) error {
	if c.written {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

// pendingWrite receives the error of a write when it ends. It is nil if the write has ended
// without one.
type pendingWrite <-chan error

// isDone reports whether the whole request was sent.
func (p pendingWrite) isDone() bool {
	if p == nil {
		return true
	}
	select {
	case err := <-p:
		return err == nil
	default:
		return false
	}
}

// write sends the request. A body that exceeds the write buffer is sent by a goroutine, since
// the target may respond before it has read the body.
func (c *conn) write(req *Request) (pendingWrite, error) {
	if len(req.Body) <= writeBufferSize {
		return nil, errors.Join(req.write(c.out), c.out.Flush())
	}
	c.written = true
	done := make(chan error, 1)
	go func() { done <- errors.Join(req.write(c.out), c.out.Flush()) }()
	return done, nil
}

// past is a deadline that is over. The zero time would mean none.
var past = time.Time{}.Add(1)

// stopWrite ends a write and returns the error that has broken the connection, if any. The kernel
// reports a reset once: if the write gets the error, a read gets the end of the stream. A broken
// pipe is no such error, because the target has ended the stream or the read got the error.
func (c *conn) stopWrite(pending pendingWrite) error {
	if pending == nil {
		return nil
	}
	if err := c.net.SetWriteDeadline(past); err != nil {
		return err
	}
	err := <-pending
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// read returns the response that carries the request's ID. Interim responses and responses to
// other requests are skipped.
func (c *conn) read(req *Request) (*http.Response, error) {
	for range maxReadResponses {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if c.answers(resp, req) {
			return resp, nil
		}
		if err := c.discardBody(resp); err != nil || resp.Close {
			return nil, errors.Join(errMismatchedResponse, err)
		}
	}
	return nil, errMismatchedResponse
}

// answers reports whether a response belongs to the request. A target that refuses a request
// before it has read the ID cannot return the ID. Such a refusal counts only on a new
// connection: on one in use again it may be a late copy for an earlier request. Where the ID is
// optional, a response without it counts until the target has returned one, or always if targets
// return none to such requests.
func (c *conn) answers(resp *http.Response, req *Request) bool {
	id := resp.Header.Get(req.Names.RequestID)
	switch {
	case req.ID == "":
		return true // the connection is new
	case id == req.ID:
		c.returnsIDs = true
		return true
	case id != "":
		return false
	case req.EchoNever:
		return true
	case req.EchoOptional:
		return !c.returnsIDs
	default:
		return resp.StatusCode >= http.StatusBadRequest && !c.used
	}
}

// discardBody skips the body of a response to another request.
func (c *conn) discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(bodyReader{c, resp.Body}, maxResponseBytes+1))
	if err == nil && n > maxResponseBytes {
		err = bodybuf.ErrTooLarge
	}
	return errors.Join(err, resp.Body.Close())
}

// updateIdleTimeout sets the idle timeout from the Keep-Alive header of a response.
func (c *conn) updateIdleTimeout(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			announced := time.Duration(seconds) * time.Second
			c.idleTimeout = max(announced-idleTimeoutMargin, announced/2)
		}
	}
}
