package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Run generates load until its duration or ctx ends, waits for the requests in flight and
// returns the result. It returns an error only if the configuration is invalid; failed
// requests are part of the result.
func Run(ctx context.Context, c Config, m *manifest.Manifest) (*Result, error) {
	p, err := newPlan(c, m)
	if err != nil {
		return nil, err
	}
	s := newSender(c, p.classes)
	defer s.client.CloseIdleConnections()
	s.run(ctx, p)
	return s.recorder.result(c, time.Since(s.start)), nil
}

// sender sends the requests of a plan at their arrival times.
type sender struct {
	client   *http.Client
	recorder *recorder
	inFlight chan struct{}
	start    time.Time
	pending  sync.WaitGroup
}

func newSender(c Config, classes []*requestClass) *sender {
	transport := &http.Transport{
		MaxIdleConnsPerHost: c.InFlight,
		DisableCompression:  true,
	}
	return &sender{
		client: &http.Client{
			Transport:     transport,
			Timeout:       c.Timeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		recorder: newRecorder(classes, c.Duration),
		inFlight: make(chan struct{}, c.InFlight),
	}
}

func (s *sender) run(ctx context.Context, p *plan) {
	s.start = time.Now()
	for {
		a, ok := p.next()
		if !ok {
			s.waitUntil(ctx, p.config.Duration)
			break
		}
		if !s.waitUntil(ctx, a.at) {
			break
		}
		select {
		case s.inFlight <- struct{}{}:
			s.pending.Go(func() {
				s.send(a)
				<-s.inFlight
			})
		default:
			s.recorder.recordNotSent(a)
		}
	}
	s.pending.Wait()
}

// waitUntil waits until the time since the start reaches at. It returns false if ctx has
// ended.
func (s *sender) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := at - time.Since(s.start)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and records its result. It does not use the context of the run:
// requests in flight complete when the run is interrupted, so that their results are
// known. They are bounded by the client's timeout.
func (s *sender) send(a arrival) {
	delay := time.Since(s.start) - a.at
	result := s.request(a)
	result.sendDelay = delay
	result.latency = time.Since(s.start) - a.at
	s.recorder.recordResult(a, result)
}

func (s *sender) request(a arrival) requestResult {
	req, err := http.NewRequestWithContext(context.Background(), a.class.method, "http://"+a.address+a.url, nil)
	if err != nil {
		return requestResult{failure: "invalid request"}
	}
	if a.headerKey != "" {
		req.Header.Set(a.class.service.Key.Name, a.headerKey)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return requestResult{failure: classifyError(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return requestResult{failure: "response cut off"}
	}
	return classifyResponse(resp)
}

// requestResult is the result of a request. At most one of failure and refusal is set. If
// neither is set, the response was complete.
type requestResult struct {
	latency   time.Duration // from the intended arrival
	sendDelay time.Duration // from the intended arrival to the sending
	failure   string
	refusal   Refusal
	status    int
}

// answered reports whether the target's complete response arrived and is not a server
// error.
func (e requestResult) answered() bool {
	return e.failure == "" && e.refusal == Refusal{} && e.status < http.StatusInternalServerError
}

func classifyResponse(resp *http.Response) requestResult {
	result := requestResult{status: resp.StatusCode}
	if reason := resp.Header.Get(header.Reason); reason != "" {
		result.refusal = Refusal{Status: resp.StatusCode, Outcome: resp.Header.Get(header.Outcome), Reason: reason}
	} else if resp.StatusCode >= http.StatusInternalServerError {
		result.failure = fmt.Sprintf("status %d", resp.StatusCode)
	}
	return result
}

// classifyError returns the category of a transport error. The error texts contain port
// numbers, so they cannot be used to count equal failures.
func classifyError(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.As(err, &op) && op.Op == "dial":
		return "not connected"
	}
	return "connection lost"
}
