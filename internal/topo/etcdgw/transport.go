package etcdgw

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/dialer"
	"github.com/jackdawloom/jackdawloom/internal/transport/headcheck"
	"github.com/jackdawloom/jackdawloom/internal/transport/once"
)

// newTransport returns a transport without proxies, HTTP/2 and compression. HTTP/2 is
// disabled because its client retries requests after some errors.
func newTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveSeconds * time.Second, Control: dialer.ResetOnClose}
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              &protocols,
	}
}

// reply is the status and the complete body of an HTTP response.
type reply struct {
	status int
	body   []byte
}

// noReplyError reports a call without a complete reply. sent is true if the request may
// have reached the store.
type noReplyError struct {
	cause error
	sent  bool
}

func (e *noReplyError) Error() string { return "no complete reply from the store: " + e.cause.Error() }
func (e *noReplyError) Unwrap() error { return e.cause }

// errReplyTooLarge reports a reply larger than Options.MaxReplyBytes.
var errReplyTooLarge = errors.New("reply exceeds the size limit")

// request describes a request to send.
type request struct {
	transport *http.Transport
	method    string
	path      string
	body      []byte // for POST
}

// open sends one request and returns the response with its body unread. The error is a
// *noReplyError. It calls RoundTrip because http.Client would send the request again to
// follow a redirect.
func (c *Client) open(ctx context.Context, r request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, c.base+r.path, nil)
	if err != nil {
		return nil, &noReplyError{cause: err}
	}
	if r.method == http.MethodPost {
		req.Body = once.Body(r.body)
		req.ContentLength = int64(len(r.body))
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := r.transport.RoundTrip(req)
	if err != nil {
		return nil, &noReplyError{cause: err, sent: connected.Load()}
	}
	if err := headcheck.Status(res); err != nil {
		closeBody(res)
		return nil, &noReplyError{cause: err, sent: true}
	}
	return res, nil
}

// send sends one request and reads the complete reply within the timeout. The error is a
// *noReplyError or errReplyTooLarge.
func (c *Client) send(ctx context.Context, timeout time.Duration, r request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := c.open(ctx, r)
	if err != nil {
		return reply{}, err
	}
	defer closeBody(res)
	body, err := io.ReadAll(io.LimitReader(res.Body, c.maxReply+1))
	if err != nil {
		return reply{}, &noReplyError{cause: err, sent: true}
	}
	if int64(len(body)) > c.maxReply {
		return reply{}, fmt.Errorf("%w of %d bytes", errReplyTooLarge, c.maxReply)
	}
	return reply{status: res.StatusCode, body: body}, nil
}

// closeBody closes a response's body. The error is ignored, as the body has been read or
// is no longer needed.
func closeBody(res *http.Response) { _ = res.Body.Close() }

// read sends a request that changes nothing. If there is no reply within half of the
// time, it closes the idle connections and sends the request a second time: all open
// connections to a store can stop responding while new ones work.
func (c *Client) read(ctx context.Context, method, path string, body []byte) (reply, error) {
	req := request{transport: c.pooled, method: method, path: path, body: body}
	half := c.remaining(ctx) / 2
	r, err := c.send(ctx, half, req)
	var noReply *noReplyError
	if errors.As(err, &noReply) && ctx.Err() == nil {
		c.pooled.CloseIdleConnections()
		r, err = c.send(ctx, half, req)
	}
	if errors.As(err, &noReply) {
		return r, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	}
	if err != nil {
		return r, fmt.Errorf("%w: %w", topo.ErrBadReply, err)
	}
	return r, nil
}

// remaining returns the time available for a call: up to the context's deadline, but at
// most the client's timeout.
func (c *Client) remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.timeout
	}
	return min(c.timeout, time.Until(deadline))
}

// write sends a request that may change the store. It never sends it a second time.
func (c *Client) write(ctx context.Context, path string, body []byte) (reply, error) {
	req := request{transport: c.unpooled, method: http.MethodPost, path: path, body: body}
	r, err := c.send(ctx, c.timeout, req)
	var noReply *noReplyError
	switch {
	case err == nil:
		return r, nil
	case errors.As(err, &noReply) && !noReply.sent:
		return r, fmt.Errorf("%w: %w", topo.ErrUnavailable, err)
	case errors.As(err, &noReply):
		return r, fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	default:
		return r, fmt.Errorf("%w: %w: %w", topo.ErrUnknownResult, topo.ErrBadReply, err)
	}
}
