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

// Run sends the load until its duration or ctx ends, then waits for the
// requests in flight, and returns the result. It is an error only if the
// configuration cannot be used; failed requests are part of the result.
func Run(ctx context.Context, c Config, m *manifest.Manifest) (*Result, error) {
	p, err := newPlan(c, m)
	if err != nil {
		return nil, err
	}
	s := newSender(c, p.kinds)
	defer s.client.CloseIdleConnections()
	s.run(ctx, p)
	return s.recorder.result(c, time.Since(s.start)), nil
}

// sender sends arrivals at their times.
type sender struct {
	client   *http.Client
	recorder *recorder
	slots    chan struct{}
	start    time.Time
	running  sync.WaitGroup
}

func newSender(c Config, kinds []*kind) *sender {
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
		recorder: newRecorder(kinds, c.Duration),
		slots:    make(chan struct{}, c.InFlight),
	}
}

func (s *sender) run(ctx context.Context, p *plan) {
	s.start = time.Now()
	for {
		a, more := p.next()
		if !more {
			s.await(ctx, p.config.Duration)
			break
		}
		if !s.await(ctx, a.at) {
			break
		}
		select {
		case s.slots <- struct{}{}:
			s.running.Go(func() {
				s.send(a)
				<-s.slots
			})
		default:
			s.recorder.notSent(a)
		}
	}
	s.running.Wait()
}

// await waits until the arrival's time and reports whether the run goes on.
func (s *sender) await(ctx context.Context, at time.Duration) bool {
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

// send makes one request. It goes on when the run is interrupted, so that its
// end is known; the client's timeout bounds it.
func (s *sender) send(a arrival) {
	delay := time.Since(s.start) - a.at
	end := s.request(a)
	end.delay = delay
	end.latency = time.Since(s.start) - a.at
	s.recorder.ended(a, end)
}

func (s *sender) request(a arrival) ending {
	req, err := http.NewRequestWithContext(context.Background(), a.kind.method, "http://"+a.address+a.url, nil)
	if err != nil {
		return ending{failure: "invalid request"}
	}
	if a.header != "" {
		req.Header.Set(a.kind.service.Key.Name, a.header)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return ending{failure: failureOf(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return ending{failure: "response cut off"}
	}
	return endingOf(resp)
}

// ending is how a request ended. At most one of failure and refusal is set;
// with neither, the response was complete.
type ending struct {
	latency time.Duration // from the intended arrival
	delay   time.Duration // from the intended arrival to the sending
	failure string
	refusal Refusal
	status  int
}

// answered reports whether the target's complete response arrived and is no
// server error.
func (e ending) answered() bool {
	return e.failure == "" && e.refusal == Refusal{} && e.status < http.StatusInternalServerError
}

func endingOf(resp *http.Response) ending {
	e := ending{status: resp.StatusCode}
	if reason := resp.Header.Get(header.Reason); reason != "" {
		e.refusal = Refusal{Status: resp.StatusCode, Outcome: resp.Header.Get(header.Outcome), Reason: reason}
	} else if resp.StatusCode >= http.StatusInternalServerError {
		e.failure = fmt.Sprintf("status %d", resp.StatusCode)
	}
	return e
}

// failureOf names the kind of a transport error; the errors themselves differ
// in ports.
func failureOf(err error) string {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.As(err, &op) && op.Op == "dial":
		return "not connected"
	}
	return "connection lost"
}
