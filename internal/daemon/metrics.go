package daemon

import (
	"net/http"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/jackdawloom/jackdawloom/internal/coordination/retry"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// metricsInterval is how often tally passes its values on.
const metricsInterval = time.Second

// classKey names a request class.
type classKey struct {
	service, class string
}

// refusalKey names a kind of refusal. A reason can have several outcomes.
type refusalKey struct {
	reason  reason
	outcome retry.Outcome
}

// classCounts are the totals of one class for the service-level report.
type classCounts struct {
	total, good uint64
	objective   manifest.Objective
}

// metrics are the daemon's counters.
type metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter

	heartbeatsFailed, reportsFailed, retries, fences, terms, tables tally.Counter
	writesFailed, badDocuments, suspects, controlBytes              tally.Counter

	mu       sync.Mutex
	classes  map[classKey]*classCounts
	latency  map[classKey]tally.Histogram
	refusals map[refusalKey]tally.Counter
}

func newMetrics() *metrics {
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: newRegistry()})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "jackdawloom", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
	}, metricsInterval)
	return &metrics{
		scope:            scope,
		reporter:         reporter,
		heartbeatsFailed: scope.Counter("heartbeats_failed"),
		reportsFailed:    scope.Counter("reports_failed"),
		retries:          scope.Counter("retries"),
		fences:           scope.Counter("fences"),
		terms:            scope.Counter("coordinator_terms"),
		tables:           scope.Counter("tables_written"),
		writesFailed:     scope.Counter("table_writes_failed"),
		badDocuments:     scope.Counter("documents_rejected"),
		suspects:         scope.Counter("connections_suspect"),
		controlBytes:     scope.Counter("control_bytes_sent"),
		classes:          make(map[classKey]*classCounts),
		latency:          make(map[classKey]tally.Histogram),
		refusals:         make(map[refusalKey]tally.Counter),
	}
}

// newRegistry returns a registry with the metrics of the process. The registry
// of the whole process would refuse those of a second daemon in it.
func newRegistry() *client.Registry {
	r := client.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// observe counts the end of a request. Good requests are those answered well
// within the class's objective.
func (m *metrics) observe(match manifest.Match, took time.Duration, well bool) {
	key := classKey{match.Service.Name, match.Class.Name}
	objective := match.Class.Objective
	good := well && took <= time.Duration(objective.LatencyMs)*time.Millisecond
	m.mu.Lock()
	c := m.classes[key]
	if c == nil {
		c = &classCounts{}
		m.classes[key] = c
		m.latency[key] = m.newLatency(key)
	}
	c.objective = objective
	c.total++
	if good {
		c.good++
	}
	histogram := m.latency[key]
	m.mu.Unlock()
	histogram.RecordDuration(took)
}

func (m *metrics) newLatency(key classKey) tally.Histogram {
	tags := map[string]string{"service": key.service, "class": key.class}
	return m.scope.Tagged(tags).Histogram("request_latency", latencyBuckets)
}

// latencyBuckets doubles from 0.5 ms to 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 15)

func (m *metrics) refused(r *refusal) {
	m.mu.Lock()
	key := refusalKey{r.reason, r.outcome}
	c := m.refusals[key]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"reason": string(r.reason), "outcome": string(r.outcome)}).Counter("refusals")
		m.refusals[key] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

// classTotals returns a copy of the totals per class.
func (m *metrics) classTotals() map[classKey]classCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[classKey]classCounts, len(m.classes))
	for k, c := range m.classes {
		out[k] = *c
	}
	return out
}
