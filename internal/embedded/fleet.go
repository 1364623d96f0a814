package embedded

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/daemon"
	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Fleet is several daemons in one process that share a store, for benchmarks
// and for measuring how costs grow with the number of daemons.
type Fleet struct {
	Store   *memstore.Store
	Daemons []*daemon.Daemon

	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	errs   []error
}

// ErrNotReady reports a fleet that did not serve in time.
var ErrNotReady = errors.New("fleet not ready")

// StartFleet starts n daemons in three failure domains on loopback ports. The
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
	any := netip.MustParseAddrPort("127.0.0.1:0")
	set := Settings(any, any, any)
	set.Daemon.ID = fmt.Sprintf("loom-%d", i+1)
	set.Daemon.Domain = string(rune('a' + i%3))
	set.Daemon.DrainTimeout = 100 * time.Millisecond
	cert, err := authority.Issue(set.Daemon.ID)
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Options{Settings: set, Store: f.Store, Certificate: cert, Authorities: authority.Pool(), Log: log})
	if err != nil {
		return err
	}
	f.Daemons = append(f.Daemons, d)
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		f.note(d.Run(ctx))
	}()
	return nil
}

func (f *Fleet) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errs = append(f.errs, err)
}

// AwaitReady waits until every daemon has authority and documents in force and
// every shard has an owner.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.ready() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("%w: %w", ErrNotReady, ctx.Err())
}

const readyPoll = 20 * time.Millisecond

func (f *Fleet) ready() bool {
	for _, d := range f.Daemons {
		if !d.Ready() {
			return false
		}
	}
	return true
}

// Stop ends all daemons.
func (f *Fleet) Stop() {
	f.cancel()
	f.done.Wait()
}
