package etcdgw

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdwire"
)

// replyChecker is a reply that checks whether it is valid for its request.
type replyChecker interface {
	check() error
}

// readCall performs a read and decodes its reply into res.
func (c *Client) readCall(ctx context.Context, method, path string, req any, res replyChecker) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: %w", topo.ErrRefused, err)
	}
	r, err := c.read(ctx, method, path, body)
	if err != nil {
		return err
	}
	return decode(r, res)
}

// writeCall sends a write once and decodes its reply into res. The error is
// topo.ErrUnknownResult if the write may or may not have taken effect.
func (c *Client) writeCall(ctx context.Context, path string, req any, res replyChecker) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("%w: %w", topo.ErrRefused, err)
	}
	r, err := c.write(ctx, path, body)
	if err != nil {
		return err
	}
	err = decode(r, res)
	if errors.Is(err, topo.ErrBadReply) || errors.Is(err, topo.ErrUnavailable) {
		return fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	}
	return err
}

// decode decodes a reply into res and checks it.
func decode(r reply, res replyChecker) error {
	if r.status != http.StatusOK {
		return statusError(r)
	}
	if err := json.Unmarshal(r.body, res); err != nil {
		return badReply(err)
	}
	if err := res.check(); err != nil {
		return badReply(err)
	}
	return nil
}

// statusError returns the error for a reply with an error status. Only a well-formed
// error of the gateway with a 4xx status, or with the code for an unimplemented call,
// proves that the call had no effect. After any other the store may still perform it.
func statusError(r reply) error {
	var e etcdwire.Error
	if err := json.Unmarshal(r.body, &e); err != nil || e.Code == 0 {
		return badReply(fmt.Errorf("status %d without a well-formed error", r.status))
	}
	message := e.Message
	if message == "" {
		message = e.Error
	}
	switch {
	case r.status >= http.StatusInternalServerError && e.Code != etcdwire.CodeUnimplemented:
		return fmt.Errorf("%w: status %d: %s", topo.ErrUnavailable, r.status, message)
	case strings.Contains(message, leaseNotFoundText):
		return fmt.Errorf("%w: %s", topo.ErrLeaseNotFound, message)
	default:
		return fmt.Errorf("%w: %s", topo.ErrRefused, message)
	}
}

// leaseNotFoundText is part of etcd's message for a lease that does not exist. The error
// code alone does not distinguish it from an unknown path.
const leaseNotFoundText = "requested lease not found"

func badReply(cause error) error {
	return fmt.Errorf("%w: %w", topo.ErrBadReply, cause)
}

// errNoHeader reports a reply without a revision, which etcd never sends.
var errNoHeader = errors.New("reply has no header with a revision")

func checkHeader(h *etcdwire.Header) error {
	if h == nil || h.Revision <= 0 {
		return errNoHeader
	}
	return nil
}
