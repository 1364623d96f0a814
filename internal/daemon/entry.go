package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/retry"
	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/transport/peernet"
)

// entry receives callers' requests and sends each to the front of the target
// that owns its key.
type entry struct {
	daemon *Daemon

	mu       sync.Mutex
	policies map[string]*retry.Policy // by service
}

func newEntry(d *Daemon) *entry {
	return &entry{daemon: d, policies: make(map[string]*retry.Policy)}
}

// job is one request of a caller through all of its attempts.
type job struct {
	match    manifest.Match
	hash     uint64
	caller   string
	id       string
	deadline time.Time
	body     body
	request  *http.Request
}

// ServeHTTP implements http.Handler.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	snap := e.daemon.docs.get()
	if snap.router == nil {
		e.refuse(w, nil, &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonNoConfig}, start)
		return
	}
	match, err := snap.router.Match(r.Method, r.URL.EscapedPath(), manifest.Query(r.URL.RawQuery), r.Header)
	if err != nil {
		e.refuse(w, nil, matchRefusal(err), start)
		return
	}
	j := e.newJob(match, r, start)
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if refused := j.readBody(w, e.daemon.set.Limits.HeldBody, e.daemon.set.Limits.MaxBody); refused != nil {
		e.refuse(w, &j, refused, start)
		return
	}
	e.serve(ctx, w, &j, start)
}

func (e *entry) newJob(m manifest.Match, r *http.Request, start time.Time) job {
	deadline := start.Add(m.Class.Deadline())
	if ms, err := strconv.Atoi(r.Header.Get(header.DeadlineMs)); err == nil && ms > 0 {
		deadline = earlier(deadline, start.Add(time.Duration(ms)*time.Millisecond))
	}
	return job{
		match:    m,
		hash:     table.KeyHash(m.Key),
		caller:   callerOf(r),
		id:       e.daemon.newRequestID(),
		deadline: deadline,
		request:  r,
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// callerOf identifies the caller for fair queueing: the first address that the
// platform's balancer noted, or the connection's.
func callerOf(r *http.Request) string {
	if forwarded := r.Header.Get("X-Forwarded-For"); forwarded != "" {
		first, _, _ := strings.Cut(forwarded, ",")
		return strings.TrimSpace(first)
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// serve makes attempts until one gives a response or none may follow.
func (e *entry) serve(ctx context.Context, w http.ResponseWriter, j *job, start time.Time) {
	policy := e.policyOf(j.match.Service.Name, start)
	info := &informational{w: w}
	ctx = info.trace(ctx)
	var previous retry.Outcome
	for number := 1; ; number++ {
		_, changed := e.daemon.docs.wait()
		resp, err := e.attempt(ctx, j, number) //nolint:bodyclose // relay closes it
		if err == nil {
			info.stop()
			e.respond(w, j, resp, start)
			return
		}
		refused := asRefusal(err)
		decision := e.decide(policy, j, refused, number, previous)
		if !decision.Retry {
			info.stop()
			refused.status, refused.outcome = decision.Status, decision.Outcome
			e.refuse(w, j, refused, start)
			return
		}
		previous = decision.Outcome
		e.daemon.metrics.retries.Inc(1)
		wait(ctx, decision.After, changed)
	}
}

// wait waits for the delay, or until a new document may have given the key
// another owner.
func wait(ctx context.Context, delay time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

func (e *entry) decide(p *retry.Policy, j *job, r *refusal, number int, previous retry.Outcome) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return p.Decide(retry.Attempt{
		NeverRepeat:    j.match.Class.NeverRepeat(),
		Number:         number,
		Outcome:        r.outcome,
		Previous:       previous,
		Status:         r.status,
		Overload:       r.overload,
		RetryAfter:     r.retryAfter,
		Deadline:       j.deadline,
		BodyReplayable: j.body.replayable(),
		Jitter:         rand.Float64(),
	}, time.Now())
}

func (e *entry) policyOf(service string, now time.Time) *retry.Policy {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.policies[service]
	if p == nil {
		p = retry.New(retry.Config{})
		e.policies[service] = p
	}
	p.Request(now)
	return p
}

// attempt sends the request once to the front of its key's owner. Every other
// attempt goes to the standby instead, which may have succeeded the front
// without a table that says so.
func (e *entry) attempt(ctx context.Context, j *job, number int) (*http.Response, error) {
	if f, unit := e.daemon.fronts.locate(j.match.Service.Name, j.hash); f != nil {
		return f.do(ctx, e.localCall(ctx, j, unit))
	}
	snap := e.daemon.docs.get()
	target := ownerOf(snap.table, j.match.Service.Name, j.hash)
	if target == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonNoOwner}
	}
	id := target.Front
	if number%2 == 0 && target.Standby != "" {
		id = target.Standby
	}
	member, ok := snap.table.Member(id)
	if !ok || id.Run() == e.daemon.run {
		return nil, &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonNoOwner}
	}
	return e.forward(ctx, j, member.Address, snap)
}

// ownerOf returns the target that owns the key's hash, or nil.
func ownerOf(t *table.Table, service string, hash uint64) *table.Target {
	if t == nil {
		return nil
	}
	svc := t.Service(service)
	if svc == nil {
		return nil
	}
	p := svc.Place(hash)
	if p.Owner == table.NoOwner {
		return nil
	}
	return &svc.Targets[p.Owner]
}

func (e *entry) localCall(ctx context.Context, j *job, unit table.Unit) call {
	return call{
		service:     j.match.Service.Name,
		class:       j.match.Class.Name,
		neverRepeat: j.match.Class.NeverRepeat(),
		unit:        unit,
		hash:        j.hash,
		caller:      j.caller,
		requestID:   j.id,
		deadline:    j.deadline,
		request:     j.next(ctx),
	}
}

// forward sends the request to another daemon, which fronts the target.
func (e *entry) forward(ctx context.Context, j *job, address string, snap *snapshot) (*http.Response, error) {
	req := j.next(ctx)
	req.URL = &url.URL{
		Scheme: "https", Host: address,
		Path: peer.PathForward + req.URL.Path, RawPath: peer.PathForward + req.URL.EscapedPath(),
		RawQuery: req.URL.RawQuery,
	}
	req.RequestURI = ""
	h := req.Header
	stripHopByHop(h)
	stripOwn(h)
	h.Set(header.Forward, header.ForwardInfo{
		Service: j.match.Service.Name, Class: j.match.Class.Name, KeyHash: j.hash, Caller: j.caller,
		RequestID: j.id, Left: max(time.Until(j.deadline), time.Millisecond),
		TableRevision: snap.revisions().Table, Host: j.request.Host,
	}.String())
	resp, err := e.daemon.net.RoundTrip(address, req)
	if err != nil {
		return nil, forwardFailed(ctx, err)
	}
	if refused := readRefusal(resp); refused != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBody))
		_ = resp.Body.Close()
		return nil, refused
	}
	return resp, nil
}

func forwardFailed(ctx context.Context, err error) *refusal {
	if errors.Is(err, peernet.ErrNotSent) {
		if ctx.Err() != nil {
			return contextRefusal(ctx)
		}
		return &refusal{status: http.StatusServiceUnavailable, outcome: notRun, reason: reasonUnreachable, cause: err}
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: unknown, reason: reasonPeerUnknown, cause: err}
}

// respond passes the response on and counts it for the service-level report.
func (e *entry) respond(w http.ResponseWriter, j *job, resp *http.Response, start time.Time) {
	complete := relay(w, resp)
	good := complete && resp.StatusCode < http.StatusInternalServerError
	e.daemon.metrics.observe(j.match, time.Since(start), good)
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

func (e *entry) refuse(w http.ResponseWriter, j *job, r *refusal, start time.Time) {
	e.daemon.metrics.refused(r)
	if j != nil {
		e.daemon.metrics.observe(j.match, time.Since(start), false)
	}
	r.write(w)
}

// body is a request's body. One of known small size is held; any other is
// streamed, and its first part is kept for another attempt.
type body struct {
	held    []byte
	stream  *stream
	attempt *streamReader
}

// replayable reports whether the body can be sent again in full. It ends the
// present attempt's use of a streamed body.
func (b *body) replayable() bool {
	if b.stream == nil || b.attempt == nil {
		return true
	}
	b.attempt.seal()
	return b.stream.rewindable()
}

// readBody holds a small body of known length; any other is streamed.
func (j *job) readBody(w http.ResponseWriter, held, limit int64) *refusal {
	r := j.request
	if r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: notRun, reason: reasonBodyTooLarge}
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 || r.ContentLength > held {
		j.body.stream = newStream(limited, held)
		return nil
	}
	j.body.held = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(limited, j.body.held); err != nil {
		return &refusal{status: http.StatusBadRequest, outcome: notRun, reason: reasonBadBody, cause: err}
	}
	return nil
}

// next returns the request of the next attempt.
func (j *job) next(ctx context.Context) *http.Request {
	req := j.request.Clone(ctx)
	switch {
	case j.body.stream != nil:
		j.body.attempt = j.body.stream.reader()
		req.Body = j.body.attempt
	case j.body.held != nil:
		req.Body = io.NopCloser(bytes.NewReader(j.body.held))
		req.ContentLength = int64(len(j.body.held))
	default:
		req.Body = nil
		req.ContentLength = 0
	}
	return req
}
