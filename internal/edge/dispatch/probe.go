package dispatch

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/balance"
	"github.com/jackdawloom/jackdawloom/internal/coordination/probing"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

const (
	// roundTimeout is how long a request waits for the probes of a round. A round trip between
	// failure domains and a new connection take less.
	roundTimeout = 5 * time.Millisecond
	// probeTimeout is how long a probe may take. Its connection is kept if it is answered after
	// its round, and another one would have to be opened otherwise.
	probeTimeout = 250 * time.Millisecond
	// probeTimeShare is the largest part of the remaining time that one round may take.
	probeTimeShare = 0.02
)

// Outcomes of probes, as in the metrics.
const (
	probeAnswered     = "answered"
	probeLate         = "late"
	probeNoReport     = "no report"
	probeOtherTarget  = "other target"
	probeNoConnection = "no connection"
	probeFailed       = "failed"
)

// probe asks targets of a service without keys for their load until one is good enough for the
// request. The reports are recorded in the targets' estimates.
func (d *Dispatcher) probe(ctx context.Context, t *requestState) {
	for round := range probing.MaxRounds {
		now := clock.Now()
		v := d.config.Views.Current()
		path, probed := d.startRound(v, t, now, round)
		if len(probed) == 0 {
			return
		}
		limit := min(roundTimeout, time.Duration(probeTimeShare*float64(t.req.Deadline-now)))
		d.runRound(ctx, path, probed, limit)
		if ctx.Err() != nil {
			return
		}
	}
}

// startRound returns the targets to be probed, and the path to probe them at. There are none if
// one of the targets is known to be good enough, or the service is not probed.
func (d *Dispatcher) startRound(v *view.View, t *requestState, now time.Duration, round int) (path string, probed []*endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if path = d.healthPath(v, t.req.Service, now); path == "" {
		return "", nil
	}
	s := d.serviceState(t.req.Service)
	eps, _ := d.candidates(v, t, target.Ready)
	eps, candidates := probingCandidates(eps, now)
	decision := probing.Decision{Objective: t.req.Route.Objective, MeanTime: s.avgServiceTime}
	if _, good := decision.Best(now, candidates); good {
		return "", nil
	}
	chosen := decision.Round(now, candidates, round)
	for _, i := range chosen[:s.probes.Take(now, len(chosen))] {
		eps[i].probe.Begin()
		probed = append(probed, eps[i])
	}
	return path, probed
}

// healthPath returns the path at which the service's targets are probed; it is empty if they are
// not. d.mu must be held.
func (d *Dispatcher) healthPath(v *view.View, service string, now time.Duration) string {
	s := d.serviceState(service)
	path := v.Config.Services[service].HealthPath
	active := path != "" && s.probes.Active(now)
	if active != s.probed {
		s.probed = active
		d.config.Log.Info("probing of targets changed", "service", service, "active", active, "cause", s.probes.Cause(now))
	}
	if !active {
		return ""
	}
	return path
}

// considered returns the targets that are considered for the request, or nil for all: a part of
// them if there are many and they are probed. d.mu must be held.
func (d *Dispatcher) considered(t *requestState, records []target.Record) []target.Record {
	if !d.serviceState(t.req.Service).probed {
		return nil
	}
	var part []target.Record
	for _, i := range t.window.Indexes(len(records)) {
		part = append(part, records[i])
	}
	return part
}

// probingCandidates leaves out targets that are avoided, cold, or have no connection to spare for
// a probe.
func probingCandidates(eps []*endpoint, now time.Duration) (kept []*endpoint, candidates []probing.Candidate) {
	for _, ep := range eps {
		if ep.estimate.Suspect(now) || now < ep.estimate.ColdUntil || ep.estimate.Running+1 >= ep.limit {
			continue
		}
		kept = append(kept, ep)
		candidates = append(candidates, probing.Candidate{Estimate: &ep.estimate, Target: &ep.probe, Connected: ep.pool.HasIdleConn()})
	}
	return kept, candidates
}

// pickProbed returns the best target of those that have reported their load just now, or nil if
// there is none. d.mu must be held.
func (d *Dispatcher) pickProbed(v *view.View, t *requestState, eps []*endpoint) *endpoint {
	now := clock.Now()
	if d.healthPath(v, t.req.Service, now) == "" {
		return nil
	}
	eps, candidates := probingCandidates(eps, now)
	decision := probing.Decision{Objective: t.req.Route.Objective, MeanTime: d.serviceState(t.req.Service).avgServiceTime}
	best, _ := decision.Best(now, candidates)
	if best < 0 {
		return nil
	}
	return eps[best]
}

// runRound probes targets and returns when all have answered, the limit has passed or ctx is
// done. Probes that are still without an answer then go on.
func (d *Dispatcher) runRound(ctx context.Context, path string, eps []*endpoint, limit time.Duration) {
	done := make(chan struct{}, len(eps))
	for _, ep := range eps {
		go func() {
			d.probeTarget(context.WithoutCancel(ctx), path, ep)
			done <- struct{}{}
		}()
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for range eps {
		select {
		case <-done:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// probeTarget sends a probe and records its result. The status of the response is not used,
// because a target may report a health that it does not have.
func (d *Dispatcher) probeTarget(ctx context.Context, path string, ep *endpoint) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	names := d.config.Names
	started := clock.Now()
	// The ID tells the response apart from a late copy of an earlier one.
	id := rand.Text()
	resp, err := ep.pool.Send(ctx, &upstream.Request{
		Names: names, ID: id, EchoNever: true, Method: http.MethodGet, URI: path, Host: ep.pool.Address(),
		Header: http.Header{http.CanonicalHeaderKey(names.RequestID): {id}}, Target: ep.id,
	})
	defer resp.Release()
	report, outcome := d.probeResult(ep, resp, err)
	now := clock.Now()
	result := probing.Unanswered
	switch outcome {
	case probeAnswered:
		result = probing.Answered
	case probeNoConnection:
		result = probing.NotSent
	}
	if result == probing.Answered && now-started > roundTimeout {
		outcome = probeLate
	}
	if resp != nil && outcome != probeOtherTarget {
		d.recordState(ep, resp.Header, "response to a probe")
	}
	d.mu.Lock()
	service := ep.record.Service
	s := d.serviceState(service)
	ep.probe.End(now, result)
	s.probes.RecordProbe(now, result)
	if result == probing.Answered {
		d.recordReport(ep, report, now)
	}
	d.mu.Unlock()
	if d.config.ObserveProbe != nil {
		d.config.ObserveProbe(service, outcome)
	}
}

// probeResult returns the load report of a probe's response and the outcome of the probe.
func (d *Dispatcher) probeResult(ep *endpoint, resp *upstream.Response, err error) (upstream.LoadReport, string) {
	switch {
	case errors.Is(err, upstream.ErrPoolExhausted):
		return upstream.LoadReport{}, probeNoConnection
	case err != nil:
		return upstream.LoadReport{}, probeFailed
	}
	id := resp.Header.Get(d.config.Names.TargetID)
	if resp.Status == http.StatusMisdirectedRequest || id != "" && id != ep.id {
		return upstream.LoadReport{}, probeOtherTarget
	}
	report, ok := d.config.Names.LoadReport(resp.Header)
	if !ok {
		return upstream.LoadReport{}, probeNoReport
	}
	return report, probeAnswered
}

// recordReport records a load report that the target has just sent. d.mu must be held.
func (d *Dispatcher) recordReport(ep *endpoint, report upstream.LoadReport, now time.Duration) {
	d.serviceState(ep.record.Service).probes.RecordReport(now)
	ep.probe.RecordReport()
	ep.estimate.RecordReport(now, balance.Report{Load: report.Running + report.Waiting, Slowdown: report.Slowdown})
}

// responseReport returns the load report of a response to a request; one with the usual slowdown
// and false if there is none.
func (d *Dispatcher) responseReport(resp *upstream.Response, outcome sendOutcome) (upstream.LoadReport, bool) {
	none := upstream.LoadReport{Slowdown: 1}
	if resp == nil || outcome.reason == TargetReplaced {
		return none, false
	}
	report, ok := d.config.Names.LoadReport(resp.Header)
	if !ok {
		return none, false
	}
	if outcome.kind == served && report.Running > 0 {
		report.Running-- // a target counts the request that it responds to
	}
	return report, true
}

// recordResponseReport records the load report of a response to a request, if there is one, and
// whether the target served the request that it was chosen for.
func (d *Dispatcher) recordResponseReport(ep *endpoint, report upstream.LoadReport, reported bool, outcome sendOutcome) {
	now := clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch outcome.reason {
	case "":
		if outcome.kind == served { // not superseded by a hedge
			ep.probe.RecordOutcome(now, true)
		}
	case TargetsFull, TargetUnreachable, ConnectionLost, InvalidResponse:
		ep.probe.RecordOutcome(now, false)
	}
	if reported {
		d.recordReport(ep, report, now)
	}
}
