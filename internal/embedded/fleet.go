package embedded

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/daemon"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/standin/ports"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Fleet is a group of daemons in one process that share a store, for benchmarks and for
// measuring how costs grow with the number of daemons.
type Fleet struct {
	Store   *memstore.Store
	Daemons []*daemon.Daemon
	// CallerAddresses holds the address of each daemon for callers.
	CallerAddresses []string

	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	errs   []error
}

// ErrNotReady is returned if the daemons were not ready before the context ended.
var ErrNotReady = errors.New("fleet not ready")

// StartFleet starts n daemons on loopback ports, spread over three failure domains. The
// manifest's targets must be running.
func StartFleet(ctx context.Context, m *manifest.Manifest, n int, log *slog.Logger) (*Fleet, error) {
	store, err := Store(ctx, m)
	if err != nil {
		return nil, err
	}
	authority, err := pki.NewAuthority()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{Store: store, cancel: cancel}
	for i := range n {
		if err := f.start(ctx, i, authority, log); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, i int, authority *pki.Authority, log *slog.Logger) error {
	addresses, err := ports.Reserve(3)
	if err != nil {
		return err
	}
	set := Settings(addresses[0], addresses[1], addresses[2])
	set.Daemon.ID = fmt.Sprintf("loom-%d", i+1)
	set.Daemon.Domain = string(rune('a' + i%3))
	set.Daemon.DrainTimeout = 100 * time.Millisecond
	cert, err := authority.Issue(set.Daemon.ID)
	if err != nil {
		return err
	}
	d := daemon.New(daemon.Options{Settings: set, Store: f.Store, Certificate: cert, Authorities: authority.Pool(), Log: log})
	f.Daemons = append(f.Daemons, d)
	f.CallerAddresses = append(f.CallerAddresses, addresses[0].String())
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.recordError(d.Run(ctx))
	}()
	return nil
}

func (f *Fleet) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

// AwaitReady waits until every daemon has the configuration in force and a usable owner for
// every key.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.ready() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return fmt.Errorf("%w: %w", ErrNotReady, ctx.Err())
}

const readyPollInterval = 20 * time.Millisecond

func (f *Fleet) ready() bool {
	for _, d := range f.Daemons {
		if !d.Ready() || !allKeysOwned(d.View()) {
			return false
		}
	}
	return true
}

// allKeysOwned reports whether every span of every service's table belongs to the current
// incarnation of a registered target.
func allKeysOwned(v *view.View) bool {
	for name := range v.Config.Services {
		t := v.Tables[name]
		if t == nil {
			return false
		}
		for _, s := range t.Spans {
			r, known := v.Targets.Get(s.Owner)
			if !known || r.Incarnation() != s.Incarnation() {
				return false
			}
		}
	}
	return true
}

// Stop stops all daemons and waits until they have ended.
func (f *Fleet) Stop() {
	f.cancel()
	f.done.Wait()
}
