// Package front serves callers.
package front

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"io"
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
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

const (
	// retryShare is the part of a caller's time that it waits for at most before
	// it comes back.
	retryShare = 3
	// defaultTimeout is used for routes and callers that state none.
	defaultTimeout = 10 * time.Second
	// leastRetryAfter keeps callers from coming back at once.
	leastRetryAfter = 20 * time.Millisecond
)

// Handler answers callers' requests.
type Handler struct {
	Names      *upstream.HeaderNames
	Views      *view.Tracker
	Dispatcher *dispatch.Dispatcher
	Log        *slog.Logger
	// ObserveRequest is told of each request that ended.
	ObserveRequest func(Result)
	// Stopping makes callers leave their connections.
	Stopping atomic.Bool
	running  atomic.Int64
}

// Running returns the number of requests that have not ended.
func (h *Handler) Running() int { return int(h.running.Load()) }

// Result is the end of a request.
type Result struct {
	Service string
	// Route is nil if none was found.
	Route  *route.Route
	Status int
	Reason dispatch.Reason
	Took   time.Duration
}

// hopHeaders concern one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// withoutHop removes the headers that concern one connection only.
func withoutHop(h http.Header) {
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
	v := h.Views.Current()
	if v.Config == nil {
		h.refuse(w, r, nil, arrived, &dispatch.Refusal{Reason: dispatch.NoConfig, RetryAfter: defaultRetry})
		return
	}
	match, err := v.Config.Match(route.Query{
		Method: r.Method, Host: r.Host, Path: r.URL.EscapedPath(), RawQuery: r.URL.RawQuery, Header: r.Header,
	})
	if err != nil {
		h.mismatch(w, r, v.Config, err, arrived)
		return
	}
	h.forward(w, r, v.Config, match, arrived)
}

// mismatch answers a request that no route covers.
func (h *Handler) mismatch(w http.ResponseWriter, r *http.Request, c *route.Config, err error, arrived time.Duration) {
	status := http.StatusNotFound
	var m *route.MismatchError
	if errors.As(err, &m) {
		status = m.Status
	}
	h.Log.Info("no route matches", "request", r.Header.Get(h.Names.RequestID), "host", r.Host, "status", status,
		"version", c.Version, "error", err)
	h.tellOutcome(w, false, err.Error())
	h.finish(w, status, Result{Status: status, Took: clock.Now() - arrived})
}

// Values of the outcome that callers are told.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// tellOutcome tells the caller whether a request without an answer ran.
func (h *Handler) tellOutcome(w http.ResponseWriter, mayHaveRun bool, reason string) {
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

// defaultRetry is asked of callers while no configuration is known.
const defaultRetry = 300 * time.Millisecond

func (h *Handler) forward(w http.ResponseWriter, r *http.Request, c *route.Config, match route.Match, arrived time.Duration) {
	rt := match.Route
	body, status := readBody(w, r, c.Limits.BodyBytes)
	if status != 0 {
		h.tellOutcome(w, false, "body not accepted")
		h.Log.Info("body not accepted", "request", r.Header.Get(h.Names.RequestID), "route", rt.Name, "status", status)
		w.Header().Set("Connection", "close")
		h.finish(w, status, Result{Route: rt, Status: status, Took: clock.Now() - arrived})
		return
	}
	req := h.request(r, match, body, arrived)
	answer, refusal := h.Dispatcher.Do(r.Context(), req)
	if refusal != nil {
		h.refuse(w, r, req, arrived, refusal)
		return
	}
	h.relay(w, answer)
	h.ObserveRequest(Result{Service: req.Service, Route: rt, Status: answer.Status, Took: clock.Now() - arrived})
}

// readBody returns the whole body, or the status to refuse it with.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

func (h *Handler) request(r *http.Request, match route.Match, body []byte, arrived time.Duration) *dispatch.Request {
	rt := match.Route
	timeout := defaultTimeout
	if rt.Timeout > 0 {
		timeout = rt.Timeout
	}
	if ms, err := strconv.ParseInt(r.Header.Get(h.Names.TimeLeft), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	header := r.Header.Clone()
	withoutHop(header)
	req := &dispatch.Request{
		ID: r.Header.Get(h.Names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: header, Body: body, Route: rt, Service: rt.Pick(rand.Float64()),
		Arrived: arrived, Deadline: arrived + timeout,
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

// relay passes a target's answer on unchanged.
func (h *Handler) relay(w http.ResponseWriter, a *upstream.Response) {
	withoutHop(a.Header)
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	if len(a.Trailer) == 0 {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	for name := range a.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		h.Log.Info("answer not delivered", "request", a.Header.Get(h.Names.RequestID), "error", err)
	}
	for name, values := range a.Trailer {
		header[name] = values
	}
}

// refuse answers a request that no target answered.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, req *dispatch.Request, arrived time.Duration, f *dispatch.Refusal) {
	status := statusOf(f)
	result := Result{Status: status, Reason: f.Reason, Took: clock.Now() - arrived}
	var left time.Duration
	name := ""
	if req != nil {
		result.Service, result.Route, name = req.Service, req.Route, req.Route.Name
		left = req.Deadline - clock.Now()
	}
	if status == http.StatusServiceUnavailable && f.RetryAfter > 0 {
		after := f.RetryAfter
		if req != nil {
			after = max(min(after, left/retryShare), leastRetryAfter)
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Log.Info("request refused", "request", r.Header.Get(h.Names.RequestID), "route", name, "service", result.Service,
		"status", status, "reason", string(f.Reason), "may_have_run", f.MayHaveRun, "sends", f.Sends, "target", f.Target,
		"took_ms", result.Took.Milliseconds(), "left_ms", left.Milliseconds(), keyOf(req),
		"config_version", f.Inputs.ConfigVersion, "table_revision", f.Inputs.TableRev, "copy_age_ms", f.Inputs.CopyAge.Milliseconds(),
		"ready_targets", f.Inputs.ReadyTargets, "load", f.Inputs.Load, "slots", f.Inputs.Slots,
		"expected_ms", f.Inputs.ExpectedTime.Milliseconds(), "error", f.Cause)
	h.tellOutcome(w, f.MayHaveRun, string(f.Reason))
	h.finish(w, status, result)
}

// keyOf is the attribute with the request's key; null without one.
func keyOf(req *dispatch.Request) slog.Attr {
	if req == nil || !req.HasKey {
		return slog.Any("key", nil)
	}
	return slog.Int("key", int(req.Key))
}

// statusOf returns the status of a refusal. Only 503 promises that the request
// has not run.
func statusOf(f *dispatch.Refusal) int {
	switch {
	case !f.MayHaveRun:
		return http.StatusServiceUnavailable
	case f.Reason == dispatch.DeadlineExceeded || errors.Is(f.Cause, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (h *Handler) finish(w http.ResponseWriter, status int, r Result) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	h.ObserveRequest(r)
}
