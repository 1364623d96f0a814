// Package metrics records a daemon's metrics and serves them to Prometheus.
package metrics

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally reports its values to the registry.
const reportInterval = time.Second

// durationBuckets double from 1 ms to 8 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Metrics holds a daemon's counters, gauges and histograms. It is safe for concurrent
// use.
type Metrics struct {
	registry *client.Registry
	scope    tally.Scope
	reporter prometheus.Reporter

	mu         sync.Mutex
	counters   map[seriesKey]tally.Counter
	histograms map[seriesKey]tally.Histogram
}

// seriesKey identifies a counter or histogram by its name and label values.
type seriesKey struct{ name, label1, label2, label3 string }

// TargetGauges are the gauge values of one target.
type TargetGauges struct {
	Service, ID string
	// Running and RunningElsewhere are the running requests of this daemon and of all
	// others.
	Running, RunningElsewhere int
	Slots, Connections        int
	Suspect                   bool
	ServiceTime               time.Duration
}

// targetCollector collects the gauges of targets at each scrape. There may be hundreds
// of targets, too many to keep their gauges up to date between scrapes.
type targetCollector struct {
	read func() []TargetGauges
	// descriptions has the same order as the values in Collect.
	descriptions []*client.Desc
}

func newTargetCollector(read func() []TargetGauges) *targetCollector {
	t := &targetCollector{read: read}
	for _, d := range [][2]string{
		{"target_running", "Requests of this daemon at the target."},
		{"target_elsewhere", "Requests of the other daemons at the target."},
		{"target_slot_count", "Slots of the target."},
		{"target_open_connections", "Open connections of this daemon to the target."},
		{"target_suspect", "1 while the target is avoided after failures."},
		{"target_time_seconds", "Measured time of a request at the target."},
	} {
		t.descriptions = append(t.descriptions, client.NewDesc("jackdawloom_"+d[0], d[1], []string{"service", "target"}, nil))
	}
	return t
}

// Describe implements prometheus.Collector.
func (t *targetCollector) Describe(ch chan<- *client.Desc) {
	for _, d := range t.descriptions {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (t *targetCollector) Collect(ch chan<- client.Metric) {
	for _, g := range t.read() {
		values := []float64{
			float64(g.Running), float64(g.RunningElsewhere), float64(g.Slots), float64(g.Connections), boolValue(g.Suspect), g.ServiceTime.Seconds(),
		}
		for i, d := range t.descriptions {
			ch <- client.MustNewConstMetric(d, client.GaugeValue, values[i], g.Service, g.ID)
		}
	}
}

// RegisterTargets adds the gauges of targets, which read returns at each scrape. It must
// be called at most once.
func (m *Metrics) RegisterTargets(read func() []TargetGauges) {
	m.registry.MustRegister(newTargetCollector(read))
}

// New returns Metrics without values.
func New() *Metrics {
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "jackdawloom", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
	}, reportInterval)
	return &Metrics{
		registry: registry, scope: scope, reporter: reporter,
		counters: make(map[seriesKey]tally.Counter), histograms: make(map[seriesKey]tally.Histogram),
	}
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *Metrics) incCounter(s seriesKey, tags map[string]string) {
	m.mu.Lock()
	c := m.counters[s]
	if c == nil {
		c = m.scope.Tagged(tags).Counter(s.name)
		m.counters[s] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

func (m *Metrics) observeDuration(s seriesKey, tags map[string]string, took time.Duration) {
	m.mu.Lock()
	h := m.histograms[s]
	if h == nil {
		h = m.scope.Tagged(tags).Histogram(s.name, durationBuckets)
		m.histograms[s] = h
	}
	m.mu.Unlock()
	h.RecordDuration(took)
}

// ObserveRequest records a request that has ended. The reason is empty if a target's
// response was returned.
func (m *Metrics) ObserveRequest(service string, status int, reason string, took time.Duration) {
	code := strconv.Itoa(status)
	m.incCounter(seriesKey{"requests", service, code, reason}, map[string]string{"service": service, "status": code, "reason": reason})
	m.observeDuration(seriesKey{name: "request_time", label1: service}, map[string]string{"service": service}, took)
}

// ObserveNotAdmitted records a request that was refused because its target had no room, at a
// service that routes of different priority share.
func (m *Metrics) ObserveNotAdmitted(service string, priority int, cause string) {
	label := strconv.Itoa(priority)
	m.incCounter(seriesKey{"not_admitted", service, label, cause}, map[string]string{"service": service, "priority": label, "cause": cause})
}

// ObserveSend records a send to a target with its outcome and duration.
func (m *Metrics) ObserveSend(service, outcome string, took time.Duration) {
	m.incCounter(seriesKey{name: "sends", label1: service, label2: outcome}, map[string]string{"service": service, "outcome": outcome})
	m.observeDuration(seriesKey{name: "send_time", label1: service}, map[string]string{"service": service}, took)
}

// ObserveProbe counts a probe of a target's load by its outcome.
func (m *Metrics) ObserveProbe(service, outcome string) {
	m.incCounter(seriesKey{name: "probes", label1: service, label2: outcome}, map[string]string{"service": service, "outcome": outcome})
}

// CountHedge counts an event of a hedge, with the reason if it was not sent.
func (m *Metrics) CountHedge(service, event, reason string) {
	m.incCounter(seriesKey{"hedges", service, event, reason}, map[string]string{"service": service, "event": event, "reason": reason})
}

// CountStoreCall counts a call to the store; status 0 means that there was no response.
func (m *Metrics) CountStoreCall(verb string, status int) {
	code := strconv.Itoa(status)
	m.incCounter(seriesKey{name: "store_calls", label1: verb, label2: code}, map[string]string{"verb": verb, "status": code})
}

// Gauges are a daemon's gauge values.
type Gauges struct {
	StoreUp       bool
	StoreEra      int64
	CopyAge       time.Duration
	ConfigVersion uint64
	Targets       int
	Daemons       int
	// EvacuatedDomains is the number of failure domains whose evacuation is requested.
	EvacuatedDomains int
	// EvacuatedKeys is the number of keys that still belong to targets there, and
	// EvacuatedRequests that of this daemon's running requests there.
	EvacuatedKeys, EvacuatedRequests int
	Coordinating                     bool
	LogLinesDropped                  uint64
	LogLinesOmitted                  uint64
	Services                         map[string]ServiceGauges
}

// ServiceGauges are the gauge values of one service.
type ServiceGauges struct {
	// RetryBudgetLeft is the number of retries that this daemon may still make.
	RetryBudgetLeft float64
	// Running and RunningElsewhere are the running requests of this daemon and of
	// all others at the service's targets.
	Running, RunningElsewhere int
	// Slots is the total of the targets' slots, and Connections the number of this
	// daemon's open connections to the targets.
	Slots, Connections int
	// Suspect is the number of targets that are avoided after failures.
	Suspect int
	// Cold is the number of targets that are known as cold and tolerate a limited rate.
	Cold int
	// AdmissionLevel is from 0 to 1 how far less urgent requests yield queue room to more
	// urgent ones.
	AdmissionLevel float64
}

// SetGauges records the gauge values.
func (m *Metrics) SetGauges(g Gauges) {
	set := func(name string, v float64) { m.scope.Gauge(name).Update(v) }
	set("store_up", boolValue(g.StoreUp))
	set("store_era", float64(g.StoreEra))
	set("copy_age_seconds", g.CopyAge.Seconds())
	set("config_version", float64(g.ConfigVersion))
	set("targets", float64(g.Targets))
	set("daemons", float64(g.Daemons))
	set("evacuated_domains", float64(g.EvacuatedDomains))
	set("evacuated_keys", float64(g.EvacuatedKeys))
	set("evacuated_requests", float64(g.EvacuatedRequests))
	set("coordinating", boolValue(g.Coordinating))
	set("log_lines_dropped", float64(g.LogLinesDropped))
	set("log_lines_omitted", float64(g.LogLinesOmitted))
	for service, s := range g.Services {
		scope := m.scope.Tagged(map[string]string{"service": service})
		scope.Gauge("repeat_budget_left").Update(s.RetryBudgetLeft)
		scope.Gauge("target_requests").Update(float64(s.Running))
		scope.Gauge("target_requests_elsewhere").Update(float64(s.RunningElsewhere))
		scope.Gauge("target_slots").Update(float64(s.Slots))
		scope.Gauge("target_connections").Update(float64(s.Connections))
		scope.Gauge("targets_suspect").Update(float64(s.Suspect))
		scope.Gauge("targets_cold").Update(float64(s.Cold))
		scope.Gauge("admission_level").Update(s.AdmissionLevel)
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
