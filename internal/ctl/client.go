package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// callTimeout bounds one call. A daemon gives its store calls 3 s.
const callTimeout = 5 * time.Second

// maxResponseBytes bounds a reply in bytes. The largest is a burn snapshot.
const maxResponseBytes = 8 << 20

// ErrNoResponse reports a call that got no complete answer. A write may have
// taken effect.
var ErrNoResponse = errors.New("no answer")

// ErrNotSent reports a call that never reached a daemon. It comes with
// ErrNoAnswer.
var ErrNotSent = errors.New("not connected")

// statusError is an error answer of a daemon.
type statusError struct {
	status int
	body   adminapi.Error
}

// Error returns the daemon's message.
func (e *statusError) Error() string {
	if e.body.Message == "" {
		return "the daemon answered " + http.StatusText(e.status)
	}
	return e.body.Message
}

// Unwrap returns the findings that the answer carries.
func (e *statusError) Unwrap() error {
	if len(e.body.Findings) == 0 {
		return nil
	}
	return &finding.Error{Findings: e.body.Findings}
}

// client calls the administrative interface of one of several daemons.
type client struct {
	addresses []string
	http      *http.Client
}

func newClient(cmd *cli.Command) (*client, error) {
	// A connection that a daemon has closed could lose a write. One that stays
	// open unused holds up the daemon's stop.
	transport := &http.Transport{DisableKeepAlives: true}
	c := &client{http: &http.Client{Transport: transport, Timeout: callTimeout}}
	for _, a := range strings.Split(cmd.String(flagAdmin), ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.addresses = append(c.addresses, a)
		}
	}
	if len(c.addresses) == 0 {
		return nil, usageError("--admin names no address")
	}
	return c, nil
}

// get reads from the first daemon that answers.
func (c *client) get(ctx context.Context, path string, into any) error {
	var failed []error
	for _, address := range c.addresses {
		err := c.getFrom(ctx, address, path, into)
		if !errors.Is(err, ErrNoResponse) {
			return callError(err)
		}
		failed = append(failed, err)
	}
	return callError(errors.Join(failed...))
}

// getFrom reads from one daemon.
func (c *client) getFrom(ctx context.Context, address, path string, into any) error {
	return c.call(ctx, http.MethodGet, address, path, nil, into)
}

// call makes one call; the body is sent as JSON unless nil. It never repeats a
// write: net/http repeats only requests that it may.
func (c *client) call(ctx context.Context, method, address, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return noResponseError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(resp, into)
}

// noResponseError tells a call that was not sent from one that may have arrived.
func noResponseError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w: %w", ErrNoResponse, ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, err)
}

func readResponse(resp *http.Response, into any) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if resp.StatusCode != http.StatusOK {
		refused := &statusError{status: resp.StatusCode}
		if json.Unmarshal(b, &refused.body) != nil {
			refused.body.Message = resp.Status
		}
		return refused
	}
	if err := json.Unmarshal(b, into); err != nil {
		return fmt.Errorf("%w: reply not understood: %w", ErrNoResponse, err)
	}
	return nil
}

// callError turns a call's error into a CommandError that tells what to do.
func callError(err error) error {
	var refused *statusError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNoResponse):
		return &CommandError{
			Code: ExitFailed, Problem: "no daemon answered", Cause: err,
			Remedy: "check --admin against [listen] admin of a running daemon",
		}
	case errors.As(err, &refused):
		return &CommandError{Code: ExitFailed, Problem: "the daemon refused", Cause: err, Remedy: remedyFor(refused.status)}
	}
	return &CommandError{Code: ExitFailed, Problem: "call failed", Cause: err, Remedy: "check --admin"}
}

func remedyFor(status int) string {
	switch status {
	case http.StatusNotFound:
		return "check the name with jackdawctl targets; a new fleet needs jackdawctl apply first"
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable:
		return "the store or the coordinator cannot be reached from the daemon; try again, or name another one with --admin"
	}
	return "correct the request as the message says"
}
