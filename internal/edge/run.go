package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/front"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
)

// Times of a stop, as parts of the grace.
const (
	// leaveTime is how long a stopping daemon goes on accepting connections. The
	// balancer has noticed by then that it is not ready.
	leaveTime = 2500 * time.Millisecond
	// finishMargin is kept to the end by force.
	finishMargin = 400 * time.Millisecond
	// sweepEvery is how often what has gone is cleared away.
	sweepEvery = 500 * time.Millisecond
)

// Run serves until ctx ends, and then until all requests have ended or the grace
// is over.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := d.listen(ctx, d.options.Settings.CallerAddress)
	if err != nil {
		return err
	}
	if err := d.options.Network.Listen(ctx); err != nil {
		return errors.Join(err, callers.Close())
	}
	readiness, err := d.openServer(ctx, d.options.Settings.ReadyAddress, http.HandlerFunc(d.ready))
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	admin, err := d.openServer(ctx, d.options.Settings.AdminAddress, d.admin)
	if err != nil {
		return errors.Join(err, callers.Close(), readiness.close())
	}
	d.log.Info("daemon started", "name", d.self.Name, "run", d.self.RunID, "domain", d.options.Settings.Domain, "callers", callers.Addr().String())

	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	// A daemon that stops leaves the fleet at once and serves on.
	membership, leaveFleet := context.WithCancel(duties)
	defer leaveFleet()
	var wg sync.WaitGroup
	wg.Go(func() { d.mirror.Run(duties) })
	wg.Go(func() { d.coord.Run(membership) })
	wg.Go(func() { d.announce(membership) })
	wg.Go(func() { d.withdrawGone(duties) })
	wg.Go(func() { d.teller.Run(duties) })
	wg.Go(func() { d.sweep(duties) })
	calls := peers.NewHandler(
		&peers.FeedHandler{Mirror: d.mirror, Log: d.log}, &peers.RelayHandler{Store: d.options.Store, Log: d.log},
		&peers.HandoverHandler{Accept: d.coord.ReceiveHandover, Log: d.log})
	wg.Go(func() { d.options.Network.Serve(duties, calls, d.teller.Receive) })
	for _, duty := range d.duties {
		wg.Go(func() { duty(duties) })
	}
	wg.Go(func() { d.serveMetrics(duties) })
	front := front.NewServer(d.handler, d.views, d.log)
	wg.Go(func() {
		if err := front.Serve(callers); !errors.Is(err, net.ErrClosed) {
			d.log.Error("listener failed", "address", callers.Addr().String(), "error", err)
		}
	})
	wg.Go(func() { readiness.serve(d.log) })
	wg.Go(func() { admin.serve(d.log) })

	<-ctx.Done()
	d.stop(front, callers, leaveFleet)
	_ = readiness.close()
	_ = admin.close()
	endDuties()
	wg.Wait()
	d.log.Info("daemon stopped", "name", d.self.Name, "run", d.self.RunID)
	return nil
}

func (d *Daemon) listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return l, nil
}

// side is a server beside that of callers. Without an address it does nothing.
type side struct {
	listener net.Listener
	server   *http.Server
}

// openServer opens the listener of a server.
func (d *Daemon) openServer(ctx context.Context, address string, h http.Handler) (*side, error) {
	if address == "" {
		return &side{}, nil
	}
	l, err := d.listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &side{l, &http.Server{Handler: h, ReadHeaderTimeout: time.Second}}, nil
}

func (s *side) serve(log *slog.Logger) {
	if s.listener == nil {
		return
	}
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("listener failed", "address", s.listener.Addr().String(), "error", err)
	}
}

func (s *side) close() error {
	if s.listener == nil {
		return nil
	}
	return s.server.Close()
}

// serveMetrics serves the metrics until ctx ends. A daemon without metrics still
// serves callers.
func (d *Daemon) serveMetrics(ctx context.Context) {
	s, err := d.openServer(ctx, d.options.Settings.MetricsAddress, d.options.Metrics.Handler())
	if err != nil {
		d.log.Error("metrics not served", "address", d.options.Settings.MetricsAddress, "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = s.close() })
	defer stop()
	s.serve(d.log)
}

// ready reports whether the daemon can serve callers.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready reports whether the daemon can serve callers.
func (d *Daemon) Ready() bool {
	v := d.views.Current()
	return !d.handler.Stopping.Load() && v.Config != nil && v.Synced
}

// stop leaves the balancer, then waits for the running requests.
func (d *Daemon) stop(callers *front.Server, listener net.Listener, leaveFleet func()) {
	start := time.Now()
	grace := time.Duration(d.grace.Load())
	d.log.Info("stopping", "grace_ms", grace.Milliseconds())
	d.handler.Stopping.Store(true)
	leaveFleet()
	leave := min(leaveTime, grace/2)
	time.Sleep(leave)
	ctx, cancel := context.WithTimeout(context.Background(), grace-finishMargin-time.Since(start))
	defer cancel()
	if err := listener.Close(); err != nil {
		d.log.Warn("listener not closed", "error", err)
	}
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn("requests cut by the end of the grace", "error", err)
	}
}

func (d *Daemon) gauges() metrics.Gauges {
	v := d.views.Current()
	status := d.mirror.Status()
	g := metrics.Gauges{
		StoreUp: status.Up, CopyAge: clock.Now() - status.CurrentAt, Targets: v.Targets.Len(), Daemons: len(v.Daemons),
		Coordinating: coordinator.Holder(v) == d.self.Name, Services: d.sender.Gauges(),
	}
	g.LogLinesDropped, g.LogLinesOmitted = d.options.LogCounts()
	if v.Config != nil {
		g.ConfigVersion = v.Config.Version
	}
	return g
}

func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.views.Expire()
			d.sender.CloseRemovedTargets()
			d.options.Metrics.SetGauges(d.gauges())
		}
	}
}
