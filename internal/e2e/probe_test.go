package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
)

// probeInterval is the time between two probes of a key, and so the resolution
// of the measured unavailable time.
const probeInterval = 10 * time.Millisecond

// prober sends idempotent requests for one key of each target at a fixed rate,
// whether or not earlier ones were answered, so that a key without an owner
// does not slow the probing down.
type prober struct {
	f      *fleet
	keys   map[string]string // target -> key
	client *http.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu   sync.Mutex
	good map[string][]time.Time // key -> ends of good answers
}

func startProber(f *fleet, usable func() []int) *prober {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &prober{f: f, keys: f.keyOfEachTarget(), cancel: cancel, good: make(map[string][]time.Time)}
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for _, key := range p.keys {
		p.done.Add(1)
		go p.run(ctx, key, usable)
	}
	return p
}

func (p *prober) run(ctx context.Context, key string, usable func() []int) {
	defer p.done.Done()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		daemons := usable()
		d := p.f.daemons[daemons[n%len(daemons)]]
		p.done.Add(1)
		go func() {
			defer p.done.Done()
			p.probe(d, key)
		}()
	}
}

func (p *prober) probe(d *daemonProcess, key string) {
	resp, err := p.client.Get("http://" + d.callers + "/display/" + key)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.good[key] = append(p.good[key], time.Now())
}

func (p *prober) stop() {
	p.cancel()
	p.done.Wait()
}

// longestGap returns the longest time after from without a good answer to a
// probed key.
func (p *prober) longestGap(from time.Time) (time.Duration, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var worst time.Duration
	var key string
	for k, all := range p.good {
		times := append(slices.Clone(all), now)
		slices.SortFunc(times, time.Time.Compare)
		last := from
		for _, at := range times {
			if at.Before(from) {
				continue
			}
			if gap := at.Sub(last); gap > worst {
				worst, key = gap, k
			}
			last = at
		}
	}
	return worst, key
}

// keyOfEachTarget finds a key for every target by the owner that a daemon
// names.
func (f *fleet) keyOfEachTarget() map[string]string {
	f.t.Helper()
	keys := make(map[string]string)
	for n := 0; len(keys) < len(f.targets) && n < 1000; n++ {
		key := fmt.Sprintf("probe-%d", n)
		if o := f.owner(key); o.Target != "" && keys[o.Target] == "" {
			keys[o.Target] = key
		}
	}
	if len(keys) < len(f.targets) {
		f.t.Fatalf("keys found for %d of %d targets", len(keys), len(f.targets))
	}
	return keys
}

func (f *fleet) owner(key string) adminapi.Owner {
	f.t.Helper()
	var o adminapi.Owner
	f.getJSON(f.daemons[0].admin, adminapi.PathOwner+"?service=display&key="+key, &o)
	return o
}

// spread returns the median and the largest of the durations.
func spread(d []time.Duration) (median, worst time.Duration) {
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// reportGaps prints the unavailable times and checks them against the 2 s that
// the requirements state.
func reportGaps(t *testing.T, what string, gaps []time.Duration) {
	t.Helper()
	median, worst := spread(gaps)
	t.Logf("unavailable time after %s, %d losses: median %v, worst %v", what, len(gaps), median.Round(time.Millisecond), worst.Round(time.Millisecond))
	if worst > 2*time.Second {
		t.Errorf("unavailable for %v after %s; the limit is 2 s", worst, what)
	}
}
