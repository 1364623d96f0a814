package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/burn"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// burnLog is the history of the class counters for the burn report.
type burnLog struct {
	mu      sync.Mutex
	history *burn.History
}

func newBurnLog(started time.Time) *burnLog {
	return &burnLog{history: burn.NewHistory(started)}
}

// runBurn samples the class counters until ctx ends.
func (d *Daemon) runBurn(ctx context.Context) error {
	ticker := time.NewTicker(burn.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if err := d.burn.add(time.Now(), d.metrics.classTotals()); err != nil {
			d.log.Warn("burn sample incomplete", slog.Any("error", err))
		}
	}
}

func (b *burnLog) add(at time.Time, totals map[classKey]classCounts) error {
	sample := burn.Sample{At: at, Classes: make(map[burn.ClassID]burn.Counter, len(totals))}
	for key, c := range totals {
		id := burn.ClassID{Service: key.service, Class: key.class}
		sample.Classes[id] = burn.Counter{Total: c.total, Good: c.good}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.history.Add(sample)
}

// burnEndpoint returns this daemon's part of the burn report.
func (d *Daemon) burnEndpoint(context.Context, any) (any, error) {
	config := d.docs.get().config
	if config == nil {
		return nil, errNoConfig
	}
	from := burn.Source{Daemon: string(d.run), Revision: config.Revision}
	d.burn.mu.Lock()
	defer d.burn.mu.Unlock()
	return d.burn.history.Snapshot(from, objectivesOf(&config.Manifest)), nil
}

func objectivesOf(m *manifest.Manifest) map[burn.ClassID]manifest.Objective {
	out := make(map[burn.ClassID]manifest.Objective)
	for _, s := range m.Services {
		for _, c := range s.Classes {
			out[burn.ClassID{Service: s.Name, Class: c.Name}] = c.Objective
		}
	}
	return out
}
