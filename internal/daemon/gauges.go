package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// runGauges publishes the daemon's present state as gauges until ctx ends.
func (d *Daemon) runGauges(ctx context.Context) error {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.updateGauges(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) updateGauges(now time.Time) {
	scope := d.metrics.scope
	revisions := d.docs.get().revisions()
	scope.Gauge("config_revision").Update(float64(revisions.Config))
	scope.Gauge("table_revision").Update(float64(revisions.Table))
	scope.Gauge("requests_in_flight").Update(float64(d.inFlight.Load()))
	left := d.present().authorityUntil().Sub(now)
	scope.Gauge("authority_seconds").Update(max(left.Seconds(), 0))
	fronts := d.fronts.list()
	scope.Gauge("fronts").Update(float64(len(fronts)))
	for _, f := range fronts {
		f.updateGauges(scope)
	}
}

func (f *targetFront) updateGauges(scope tally.Scope) {
	pool := f.pool.Stats()
	f.mu.Lock()
	stats := f.controller.Stats()
	f.mu.Unlock()
	tagged := scope.Tagged(map[string]string{"service": f.key.service, "target": f.key.target})
	tagged.Gauge("target_running").Update(float64(stats.Running))
	tagged.Gauge("target_queued").Update(float64(stats.Queued))
	tagged.Gauge("target_limit").Update(stats.Limit)
	tagged.Gauge("target_connections").Update(float64(pool.Open))
}
