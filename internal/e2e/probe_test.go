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

// probeInterval is the time between two probes of a key. It limits the resolution of the
// measured unavailable time.
const probeInterval = 10 * time.Millisecond

// prober sends idempotent requests for one key of each target at a fixed rate, without
// waiting for earlier responses, so that a key without an owner does not slow down the
// probing.
type prober struct {
	fleet  *fleet
	keys   map[string]string // target -> key
	client *http.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu        sync.Mutex
	successes map[string][]time.Time // key -> completion times of successful probes
}

func startProber(f *fleet, usable func() []int) *prober {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &prober{fleet: f, keys: f.keyOfEachTarget(), cancel: cancel, successes: make(map[string][]time.Time)}
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
		d := p.fleet.daemons[daemons[n%len(daemons)]]
		p.done.Add(1)
		go func() {
			defer p.done.Done()
			p.probe(d, key)
		}()
	}
}

func (p *prober) probe(d *daemonProcess, key string) {
	resp, err := p.client.Get("http://" + d.callerAddress + "/display/" + key)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.successes[key] = append(p.successes[key], time.Now())
}

func (p *prober) stop() {
	p.cancel()
	p.done.Wait()
}

// longestGap returns the longest interval after from without a successful probe of a key,
// and that key.
func (p *prober) longestGap(from time.Time) (time.Duration, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var worst time.Duration
	var key string
	for k, all := range p.successes {
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

// keyOfEachTarget finds a key owned by each target, according to the first daemon.
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
	f.getJSON(f.daemons[0].adminAddress, adminapi.PathOwner+"?service=display&key="+key, &o)
	return o
}

// medianAndMax returns the median and the largest of the durations.
func medianAndMax(d []time.Duration) (median, worst time.Duration) {
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// checkUnavailability logs the unavailable times, and fails the test if one exceeds the
// required limit of 2 s.
func checkUnavailability(t *testing.T, what string, gaps []time.Duration) {
	t.Helper()
	median, worst := medianAndMax(gaps)
	t.Logf("unavailable time after %s, %d losses: median %v, worst %v", what, len(gaps), median.Round(time.Millisecond), worst.Round(time.Millisecond))
	if worst > 2*time.Second {
		t.Errorf("unavailable for %v after %s; the limit is 2 s", worst, what)
	}
}
