package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
	"github.com/jackdawloom/jackdawloom/internal/edge/front"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// ExplainRoute is an HTTP handler that explains where a request would go now. Nothing is sent.
func (d *Daemon) ExplainRoute(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	query, err := routeQuery(adminapi.RouteRequest{Method: q.Get("method"), Target: q.Get("target"), Headers: q["header"]})
	if err != nil {
		writeJSON(w, http.StatusBadRequest, adminapi.Error{Message: err.Error()})
		return
	}
	out, known := d.explainRoute(query)
	if !known {
		writeJSON(w, http.StatusServiceUnavailable, adminapi.Error{Message: "no configuration yet"})
		return
	}
	writeJSON(w, http.StatusOK, out)
}

// metricsHandler serves the metrics and, for daemons without an administrative
// address, ExplainRoute and ShowEvacuations.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.options.Metrics.Handler())
	mux.HandleFunc("GET "+adminapi.PathRoute, d.ExplainRoute)
	mux.HandleFunc("GET "+adminapi.PathEvacuations, d.ShowEvacuations)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// routeQuery returns the parts of a request that routes are matched by.
func routeQuery(r adminapi.RouteRequest) (route.Query, error) {
	u, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return route.Query{}, fmt.Errorf("request target %q: %w", r.Target, err)
	}
	out := route.Query{Method: r.Method, Host: u.Host, Path: u.EscapedPath(), RawQuery: u.RawQuery, Header: make(http.Header)}
	if out.Method == "" {
		out.Method = http.MethodGet
	}
	for _, line := range r.Headers {
		name, value, found := strings.Cut(line, ":")
		if !found || strings.TrimSpace(name) == "" {
			return route.Query{}, fmt.Errorf("header %q: expected NAME: VALUE", line)
		}
		out.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if host := out.Header.Get("Host"); host != "" {
		out.Host = host
		out.Header.Del("Host")
	}
	return out, nil
}

// explainRoute returns what would happen to a request, and false if no configuration is known.
func (d *Daemon) explainRoute(q route.Query) (*adminapi.RouteExplanation, bool) {
	v := d.views.Current()
	if v.Config == nil {
		return nil, false
	}
	out := &adminapi.RouteExplanation{
		Daemon: d.self.Name, Domain: d.options.Settings.Domain, ConfigRevision: v.Config.Version,
		CopyAgeMs: (clock.Now() - d.mirror.Status().CurrentAt).Milliseconds(), Services: []adminapi.RoutedToService{},
	}
	match, err := v.Config.Match(q)
	if err != nil {
		out.Status, out.Reason = http.StatusNotFound, err.Error()
		var m *route.MismatchError
		if errors.As(err, &m) {
			out.Status = m.Status
		}
		return out, true
	}
	rt := match.Route
	out.Point, out.HasKey = requestKey(match, q.Header.Get(d.options.HeaderNames.Key))
	timeout := front.Timeout(rt, q.Header.Get(d.options.HeaderNames.TimeLeft))
	out.Route, out.Idempotent, out.MaxAttempts, out.Priority = rt.Name, rt.Idempotent, rt.MaxAttempts, rt.Priority
	out.ObjectiveMs, out.TimeoutMs = rt.Objective.Milliseconds(), timeout.Milliseconds()
	total := 0.0
	for _, ws := range rt.WeightedServices {
		total += ws.Weight
	}
	for _, ws := range rt.WeightedServices {
		e := d.dispatcher.Explain(rt, ws.Service, out.Point, out.HasKey, timeout)
		out.Services = append(out.Services, routedToService(ws, total, e))
	}
	return out, true
}

// requestKey returns the key of a request, from the match or from the key header.
func requestKey(match route.Match, header string) (uint16, bool) {
	if match.HasKey {
		return match.Key, true
	}
	key, err := strconv.ParseUint(header, 10, 16)
	return uint16(key), err == nil
}

func routedToService(ws route.WeightedService, total float64, e dispatch.Explanation) adminapi.RoutedToService {
	out := adminapi.RoutedToService{
		Service: ws.Service, Keyed: e.Keyed, Owner: e.Owner, Fence: e.Fence, TableRevision: e.TableRev,
		Refused: string(e.Refused), RetryAfterMs: e.RetryAfter.Milliseconds(), Running: e.Running, Slots: e.Slots, HedgeAfterMs: e.HedgeAfter.Milliseconds(),
		Candidates: []adminapi.RouteCandidate{}, CandidateCount: len(e.Candidates),
	}
	if total > 0 {
		out.Share = ws.Weight / total
	}
	for _, c := range e.Candidates[:min(len(e.Candidates), adminapi.MaxCandidates)] {
		out.Candidates = append(out.Candidates, adminapi.RouteCandidate{
			TargetLoad: adminapi.TargetLoad{
				Service: c.Service, Target: c.ID, Running: c.Running, RunningElsewhere: c.RunningElsewhere, Slots: c.Slots,
				Connections: c.Connections, Suspect: c.Suspect, ServiceTimeMs: float64(c.ServiceTime) / float64(time.Millisecond),
			},
			Domain: c.Domain, State: stateName(c.State), ExpectedMs: c.Expected.Milliseconds(),
			ColdMs: c.ColdLeft.Milliseconds(), PausedMs: c.PausedLeft.Milliseconds(), LeftOut: string(c.LeftOut),
		})
	}
	return out
}

func stateName(s target.State) string {
	switch s {
	case target.Ready:
		return "ready"
	case target.Leaving:
		return "leaving"
	default:
		return "draining"
	}
}
