// Package levels counts for each request class how many requests met the latency objective,
// for the service-level reports.
package levels

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/burn"
	"github.com/jackdawloom/jackdawloom/internal/edge/front"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Recorder holds the request counters of one run of a daemon. It is safe for concurrent
// use.
type Recorder struct {
	started time.Time
	log     *slog.Logger

	mu      sync.Mutex
	classes map[burn.ClassID]burn.Counter
	history *burn.History
}

// New returns a Recorder that starts counting now.
func New(log *slog.Logger) *Recorder {
	started := time.Now()
	return &Recorder{started: started, log: log, classes: make(map[burn.ClassID]burn.Counter), history: burn.NewHistory(started)}
}

// Started returns when counting started.
func (rec *Recorder) Started() time.Time { return rec.started }

// Observe counts a finished request. It is good if a target responded without a server
// error and within the latency objective of the class.
func (rec *Recorder) Observe(r front.Result) {
	if r.Route == nil {
		return
	}
	id := burn.ClassID{Service: r.Route.WeightedServices[0].Service, Class: r.Route.Name}
	good := r.Reason == "" && r.Status < http.StatusInternalServerError && r.Took <= r.Route.Objective
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := rec.classes[id]
	c.Total++
	if good {
		c.Good++
	}
	rec.classes[id] = c
}

// Run adds samples of the counters to the history until ctx ends.
func (rec *Recorder) Run(ctx context.Context) {
	ticker := time.NewTicker(burn.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if err := rec.sample(time.Now()); err != nil {
			rec.log.Warn("sample of the service-level counters not added in full", "error", err)
		}
	}
}

func (rec *Recorder) sample(at time.Time) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	sample := burn.Sample{At: at, Classes: make(map[burn.ClassID]burn.Counter, len(rec.classes))}
	for id, c := range rec.classes {
		sample.Classes[id] = c
	}
	return rec.history.Add(sample)
}

// Snapshot returns this daemon's contribution to the burn report.
func (rec *Recorder) Snapshot(from burn.Source, m *manifest.Manifest) burn.Snapshot {
	objectives := make(map[burn.ClassID]manifest.Objective)
	for _, s := range m.Services {
		for _, c := range s.Classes {
			objectives[burn.ClassID{Service: s.Name, Class: c.Name}] = c.Objective
		}
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.history.Snapshot(from, objectives)
}

// Totals returns the counters of each class.
func (rec *Recorder) Totals() map[burn.ClassID]burn.Counter {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := make(map[burn.ClassID]burn.Counter, len(rec.classes))
	for id, c := range rec.classes {
		out[id] = c
	}
	return out
}
