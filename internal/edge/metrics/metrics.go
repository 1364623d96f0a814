// Package metrics counts what a daemon does and serves the counts.
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

// interval is how often tally passes its values on.
const interval = time.Second

// buckets double from 1 ms to 8 s.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Metrics are a daemon's counters, gauges and histograms.
type Metrics struct {
	registry *client.Registry
	scope    tally.Scope
	reporter prometheus.Reporter

	mu         sync.Mutex
	counters   map[series]tally.Counter
	histograms map[series]tally.Histogram
}

// series names one counter or histogram with the values of its labels.
type series struct{ name, a, b, c string }

// TargetGauges are the values of one target.
type TargetGauges struct {
	Service, ID string
	// Running and Elsewhere are the requests of this daemon and of the others.
	Running, Elsewhere int
	Slots, Connections int
	Suspect            bool
	ServiceTime        time.Duration
}

// targets collects the values of targets when the metrics are read. There may be
// hundreds, which are not worth keeping up to date in between.
type targets struct {
	read func() []TargetGauges
	// descriptions are in the order of the values in Collect.
	descriptions []*client.Desc
}

func newTargets(read func() []TargetGauges) *targets {
	t := &targets{read: read}
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
func (t *targets) Describe(ch chan<- *client.Desc) {
	for _, d := range t.descriptions {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (t *targets) Collect(ch chan<- client.Metric) {
	for _, x := range t.read() {
		values := []float64{
			float64(x.Running), float64(x.Elsewhere), float64(x.Slots), float64(x.Connections), flag(x.Suspect), x.ServiceTime.Seconds(),
		}
		for i, d := range t.descriptions {
			ch <- client.MustNewConstMetric(d, client.GaugeValue, values[i], x.Service, x.ID)
		}
	}
}

// RegisterTargets makes the values of targets part of the metrics. It is called once.
func (m *Metrics) RegisterTargets(read func() []TargetGauges) {
	m.registry.MustRegister(newTargets(read))
}

// New returns metrics without values.
func New() *Metrics {
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "jackdawloom", Separator: prometheus.DefaultSeparator, CachedReporter: reporter,
	}, interval)
	return &Metrics{
		registry: registry, scope: scope, reporter: reporter,
		counters: make(map[series]tally.Counter), histograms: make(map[series]tally.Histogram),
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *Metrics) count(s series, tags map[string]string) {
	m.mu.Lock()
	c := m.counters[s]
	if c == nil {
		c = m.scope.Tagged(tags).Counter(s.name)
		m.counters[s] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

func (m *Metrics) time(s series, tags map[string]string, took time.Duration) {
	m.mu.Lock()
	h := m.histograms[s]
	if h == nil {
		h = m.scope.Tagged(tags).Histogram(s.name, buckets)
		m.histograms[s] = h
	}
	m.mu.Unlock()
	h.RecordDuration(took)
}

// ObserveRequest counts a request that ended. reason is empty if a target answered.
func (m *Metrics) ObserveRequest(service string, status int, reason string, took time.Duration) {
	code := strconv.Itoa(status)
	m.count(series{"requests", service, code, reason}, map[string]string{"service": service, "status": code, "reason": reason})
	m.time(series{name: "request_time", a: service}, map[string]string{"service": service}, took)
}

// ObserveSend counts a send to a target and its outcome.
func (m *Metrics) ObserveSend(service, outcome string, took time.Duration) {
	m.count(series{name: "sends", a: service, b: outcome}, map[string]string{"service": service, "outcome": outcome})
	m.time(series{name: "send_time", a: service}, map[string]string{"service": service}, took)
}

// CountStoreCall counts a call to the store; status 0 means that there was no answer.
func (m *Metrics) CountStoreCall(verb string, status int) {
	code := strconv.Itoa(status)
	m.count(series{name: "store_calls", a: verb, b: code}, map[string]string{"verb": verb, "status": code})
}

// Gauges are values that are read at times.
type Gauges struct {
	StoreUp         bool
	CopyAge         time.Duration
	ConfigVersion   uint64
	Targets         int
	Daemons         int
	Coordinating    bool
	LogLinesDropped uint64
	LogLinesOmitted uint64
	Services        map[string]ServiceGauges
}

// ServiceGauges are the values of one service.
type ServiceGauges struct {
	// RetryBudgetLeft is the number of second sends that this daemon may make.
	RetryBudgetLeft float64
	// Running and Elsewhere are the requests at its targets, of this daemon and of
	// the others.
	Running, Elsewhere int
	// Slots are those of its targets, and Connections this daemon's to them.
	Slots, Connections int
	// Suspect is the number of targets that are avoided after failures.
	Suspect int
}

// SetGauges records the gauges.
func (m *Metrics) SetGauges(g Gauges) {
	set := func(name string, v float64) { m.scope.Gauge(name).Update(v) }
	set("store_up", flag(g.StoreUp))
	set("copy_age_seconds", g.CopyAge.Seconds())
	set("config_version", float64(g.ConfigVersion))
	set("targets", float64(g.Targets))
	set("daemons", float64(g.Daemons))
	set("coordinating", flag(g.Coordinating))
	set("log_lines_dropped", float64(g.LogLinesDropped))
	set("log_lines_omitted", float64(g.LogLinesOmitted))
	for service, s := range g.Services {
		scope := m.scope.Tagged(map[string]string{"service": service})
		scope.Gauge("repeat_budget_left").Update(s.RetryBudgetLeft)
		scope.Gauge("target_requests").Update(float64(s.Running))
		scope.Gauge("target_requests_elsewhere").Update(float64(s.Elsewhere))
		scope.Gauge("target_slots").Update(float64(s.Slots))
		scope.Gauge("target_connections").Update(float64(s.Connections))
		scope.Gauge("targets_suspect").Update(float64(s.Suspect))
	}
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
