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

// callTimeout limits one call to a daemon. It is longer than the 3 s that a daemon allows
// for its own calls to the store.
const callTimeout = 5 * time.Second

// maxResponseBytes limits the size of a response body. The largest response is a burn
// snapshot.
const maxResponseBytes = 8 << 20

// ErrNoResponse is returned when a call received no complete response. If the call was a
// write, it may have taken effect.
var ErrNoResponse = errors.New("no usable response from the daemon")

// ErrNotSent is returned when no connection to a daemon could be established. It is
// always wrapped together with ErrNoResponse.
var ErrNotSent = errors.New("connection could not be opened")

// statusError is a response of a daemon with a status other than 200.
type statusError struct {
	status int
	body   adminapi.Error
}

// Error returns the daemon's error message, or the status text if there is none.
func (e *statusError) Error() string {
	if e.body.Message == "" {
		return "response with status " + http.StatusText(e.status)
	}
	return e.body.Message
}

// Unwrap returns the findings in the response, if any.
func (e *statusError) Unwrap() error {
	if len(e.body.Findings) == 0 {
		return nil
	}
	return &finding.Error{Findings: e.body.Findings}
}

// client calls the administrative interface of daemons.
type client struct {
	addresses []string
	http      *http.Client
}

func newClient(cmd *cli.Command) (*client, error) {
	// Keep-alives are off: a write sent on a reused connection that the daemon has closed
	// could be lost, and an idle open connection delays the daemon's shutdown.
	transport := &http.Transport{DisableKeepAlives: true}
	c := &client{http: &http.Client{Transport: transport, Timeout: callTimeout}}
	for _, a := range strings.Split(cmd.String(flagAdmin), ",") {
		if a = strings.TrimSpace(a); a != "" {
			c.addresses = append(c.addresses, a)
		}
	}
	if len(c.addresses) == 0 {
		return nil, usageError("--admin contains no address")
	}
	return c, nil
}

// get sends a GET request to the daemons in turn until one responds.
func (c *client) get(ctx context.Context, path string, into any) error {
	var errs []error
	for _, address := range c.addresses {
		err := c.getFrom(ctx, address, path, into)
		if !errors.Is(err, ErrNoResponse) {
			return callError(err)
		}
		errs = append(errs, err)
	}
	return callError(errors.Join(errs...))
}

// getFrom sends a GET request to one daemon.
func (c *client) getFrom(ctx context.Context, address, path string, into any) error {
	return c.call(ctx, http.MethodGet, address, path, nil, into)
}

// call makes one call and decodes the response into into. A non-nil body is sent as JSON.
// It never retries a write; net/http itself retries only requests that are safe to
// resend.
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

// noResponseError wraps err in ErrNoResponse. It adds ErrNotSent if the connection was
// not established; otherwise the request may have reached the daemon.
func noResponseError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
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
		statusErr := &statusError{status: resp.StatusCode}
		if json.Unmarshal(b, &statusErr.body) != nil {
			statusErr.body.Message = resp.Status
		}
		return statusErr
	}
	if err := json.Unmarshal(b, into); err != nil {
		return fmt.Errorf("%w: cannot decode the response: %w", ErrNoResponse, err)
	}
	return nil
}

// callError converts the error of a call into a CommandError with a remedy.
func callError(err error) error {
	var statusErr *statusError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNoResponse):
		return &CommandError{
			Code: ExitFailed, Problem: "no daemon answered", Cause: err,
			Remedy: "check --admin against [listen] admin of a running daemon",
		}
	case errors.As(err, &statusErr):
		return &CommandError{Code: ExitFailed, Problem: "the daemon returned an error", Cause: err, Remedy: remedyFor(statusErr.status)}
	}
	return &CommandError{Code: ExitFailed, Problem: "cannot create the request", Cause: err, Remedy: "check --admin"}
}

func remedyFor(status int) string {
	switch status {
	case http.StatusNotFound:
		return "check the name with jackdawctl targets; a new fleet needs jackdawctl apply first"
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable:
		return "the store or the coordinator cannot be reached from the daemon; try again, or name another daemon with --admin"
	}
	return "correct the request according to the error message"
}
