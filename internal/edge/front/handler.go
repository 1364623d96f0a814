// Package front is the HTTP server for callers.
package front

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

const (
	// retryAfterDivisor limits Retry-After to the remaining time divided by it.
	retryAfterDivisor = 3
	// defaultTimeout is used if neither the route nor the caller states a timeout.
	defaultTimeout = 10 * time.Second
	// minRetryAfter keeps callers from retrying immediately.
	minRetryAfter = 20 * time.Millisecond
)

// Handler handles callers' requests.
type Handler struct {
	Names      *upstream.HeaderNames
	Views      *view.Tracker
	Dispatcher *dispatch.Dispatcher
	// Bodies is the memory for the bodies of requests.
	Bodies *bodybuf.Budget
	Log    *slog.Logger
	// ObserveRequest is called for each request that has ended.
	ObserveRequest func(Result)
	// Stopping makes responses close their connections.
	Stopping atomic.Bool
	running  atomic.Int64
}

// Running returns the number of requests that have not ended.
func (h *Handler) Running() int { return int(h.running.Load()) }

// Result describes a request that has ended.
type Result struct {
	Service string
	// Route is nil if no route was matched.
	Route  *route.Route
	Status int
	Reason dispatch.Reason
	Took   time.Duration
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the hop-by-hop headers, including the headers that Connection
// names.
func removeHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	resetDeadlines(w)
	arrived := clock.Now()
	if h.Stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	id := r.Header.Get(h.Names.RequestID)
	if id == "" && h.Names.AssignID {
		id = cryptorand.Text()
		r.Header.Set(h.Names.RequestID, id)
	}
	if id != "" {
		w.Header().Set(h.Names.RequestID, id)
	}
	running, end := beginRequest(r.Context(), id, arrived)
	defer end()
	if isBeyondLimit(r.Context()) {
		w.Header().Set("Connection", "close")
		h.refuse(w, r, nil, arrived, &dispatch.Refusal{Reason: dispatch.TooManyConnections, RetryAfter: defaultRetryAfter})
		return
	}
	v := h.Views.Current()
	if v.Config == nil {
		h.refuse(w, r, nil, arrived, &dispatch.Refusal{Reason: dispatch.NoConfig, RetryAfter: defaultRetryAfter})
		return
	}
	path, _, _ := strings.Cut(originForm(r.RequestURI), "?")
	match, err := v.Config.Match(route.Query{
		Method: r.Method, Host: r.Host, Path: path, RawQuery: r.URL.RawQuery, Header: r.Header,
	})
	if err != nil {
		h.refuseUnrouted(w, r, v.Config, err, arrived)
		return
	}
	h.forward(w, r, v.Config, match, running)
}

// originForm returns a request target without the scheme and host of its absolute form, which
// net/http has moved to Request.Host. Otherwise the target is as the caller sent it.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, isAbsolute := strings.Cut(target, "://")
	if !isAbsolute {
		return target
	}
	begin := strings.IndexAny(rest, "/?")
	switch {
	case begin < 0:
		return "/"
	case rest[begin] == '?':
		return "/" + rest[begin:]
	default:
		return rest[begin:]
	}
}

// refuseUnrouted refuses a request that no route matches.
func (h *Handler) refuseUnrouted(w http.ResponseWriter, r *http.Request, c *route.Config, err error, arrived time.Duration) {
	status := http.StatusNotFound
	var m *route.MismatchError
	if errors.As(err, &m) {
		status = m.Status
	}
	h.Log.Info("no route matches", "request", r.Header.Get(h.Names.RequestID), "host", r.Host, "status", status,
		"version", c.Version, "error", err)
	h.setOutcomeHeaders(w, false, err.Error())
	h.writeEmpty(w, status, Result{Status: status, Took: clock.Now() - arrived})
}

// Values of the outcome header.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// setOutcomeHeaders tells the caller whether a request without a target's response may
// have run, and why it has no response.
func (h *Handler) setOutcomeHeaders(w http.ResponseWriter, mayHaveRun bool, reason string) {
	if h.Names.Outcome == "" {
		return
	}
	outcome := outcomeNotRun
	if mayHaveRun {
		outcome = outcomeUnknown
	}
	w.Header().Set(h.Names.Outcome, outcome)
	w.Header().Set(h.Names.Reason, reason)
}

// defaultRetryAfter is the Retry-After of refusals that no route is known for.
const defaultRetryAfter = 300 * time.Millisecond

func (h *Handler) forward(w http.ResponseWriter, r *http.Request, c *route.Config, match route.Match, running *runningRequest) {
	rt, arrived := match.Route, running.arrived
	deadline := arrived + Timeout(rt, r.Header.Get(h.Names.TimeLeft))
	body, err := h.readBody(w, r, c.Limits.BodyBytes, deadline)
	if err != nil {
		h.refuseBody(w, r, rt, arrived, err)
		return
	}
	defer body.Release()
	req := h.newRequest(r, match, body.Bytes(), arrived, deadline)
	running.dispatched.Store(req)
	resp, refusal := h.Dispatcher.Do(r.Context(), req)
	if refusal != nil {
		h.refuse(w, r, req, arrived, refusal)
		return
	}
	defer resp.Release()
	h.writeResponse(w, resp)
	took := clock.Now() - arrived
	if h.Stopping.Load() {
		h.Log.Info("request answered while stopping", "request", req.ID, "service", req.Service, "status", resp.Status,
			"sends", req.Sends(), "took_ms", took.Milliseconds())
	}
	h.ObserveRequest(Result{Service: req.Service, Route: rt, Status: resp.Status, Took: took})
}

// Timeout returns the time that a request may take, from the route and from the time left that
// the caller states in milliseconds.
func Timeout(rt *route.Route, timeLeft string) time.Duration {
	timeout := defaultTimeout
	if rt.Timeout > 0 {
		timeout = rt.Timeout
	}
	ms, err := strconv.ParseInt(timeLeft, 10, 64)
	if err == nil && ms > 0 && ms < timeout.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return timeout
}

func (h *Handler) newRequest(r *http.Request, match route.Match, body []byte, arrived, deadline time.Duration) *dispatch.Request {
	rt := match.Route
	header := r.Header.Clone()
	removeHopHeaders(header)
	req := &dispatch.Request{
		ID: r.Header.Get(h.Names.RequestID), Method: r.Method, URI: originForm(r.RequestURI), Host: r.Host,
		Header: header, Body: body, Route: rt, Service: rt.PickService(rand.Float64()),
		Arrived: arrived, Deadline: deadline,
	}
	if match.HasKey {
		req.Key, req.HasKey = match.Key, true
		header.Set(h.Names.Key, strconv.Itoa(int(match.Key)))
		return req
	}
	if key, err := strconv.ParseUint(r.Header.Get(h.Names.Key), 10, 16); err == nil {
		req.Key, req.HasKey = uint16(key), true
	}
	return req
}

// writeResponse forwards a target's response, unchanged except for hop-by-hop headers.
func (h *Handler) writeResponse(w http.ResponseWriter, resp *upstream.Response) {
	removeHopHeaders(resp.Header)
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	if len(resp.Trailer) == 0 {
		header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(resp.Status)
	if err := writeBody(w, resp.Body); err != nil {
		h.Log.Info("response could not be sent to the caller", "request", resp.Header.Get(h.Names.RequestID), "error", err)
	}
	for name, values := range resp.Trailer {
		header[name] = values
	}
}

// refuse writes the response to a request that got no response from a target.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, req *dispatch.Request, arrived time.Duration, refusal *dispatch.Refusal) {
	status := refusalStatus(refusal)
	result := Result{Status: status, Reason: refusal.Reason, Took: clock.Now() - arrived}
	var left time.Duration
	name := ""
	if req != nil {
		result.Service, result.Route, name = req.Service, req.Route, req.Route.Name
		left = req.Deadline - clock.Now()
	}
	if status == http.StatusServiceUnavailable && refusal.RetryAfter > 0 {
		after := refusal.RetryAfter
		if req != nil {
			after = max(min(after, left/retryAfterDivisor), minRetryAfter)
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Log.Info("request refused", "request", r.Header.Get(h.Names.RequestID), "route", name, "service", result.Service,
		"status", status, "reason", string(refusal.Reason), "may_have_run", refusal.MayHaveRun, "sends", refusal.Sends, "target", refusal.Target,
		"took_ms", result.Took.Milliseconds(), "left_ms", left.Milliseconds(), keyAttr(req),
		"config_version", refusal.Inputs.ConfigVersion, "table_revision", refusal.Inputs.TableRev, "copy_age_ms", refusal.Inputs.CopyAge.Milliseconds(),
		"ready_targets", refusal.Inputs.ReadyTargets, "load", refusal.Inputs.Load, "slots", refusal.Inputs.Slots,
		"expected_ms", refusal.Inputs.ExpectedTime.Milliseconds(), "admission", refusal.Inputs.Admission, "error", refusal.Cause)
	h.setOutcomeHeaders(w, refusal.MayHaveRun, string(refusal.Reason))
	h.writeEmpty(w, status, result)
}

// keyAttr returns the log attribute with the request's key, or with null if the request has
// no key.
func keyAttr(req *dispatch.Request) slog.Attr {
	if req == nil || !req.HasKey {
		return slog.Any("key", nil)
	}
	return slog.Int("key", int(req.Key))
}

// refusalStatus returns the HTTP status of a refusal. Only 503 promises that the
// request has not run.
func refusalStatus(refusal *dispatch.Refusal) int {
	switch {
	case !refusal.MayHaveRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == dispatch.DeadlineExceeded || errors.Is(refusal.Cause, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (h *Handler) writeEmpty(w http.ResponseWriter, status int, r Result) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	h.ObserveRequest(r)
}
