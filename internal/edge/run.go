package edge

import (
	"context"
	"errors"
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
	// announceRetry is the pause after an announcement that failed.
	announceRetry = time.Second
)

// Run serves until ctx ends, and then until all requests have ended or the grace
// is over.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := listen(ctx, d.options.Settings.Callers, d.options.Settings.Ready, d.options.Settings.Peers)
	if err != nil {
		return err
	}
	callers, ready, among := listeners[0], listeners[1], listeners[2]
	d.log.Info("daemon started", "name", d.self.Name, "run", d.self.Run, "domain", d.options.Settings.Domain, "callers", callers.Addr().String())

	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	coordinating, endCoordinating := context.WithCancel(duties)
	defer endCoordinating()
	var wg sync.WaitGroup
	wg.Go(func() { d.mirror.Run(duties) })
	wg.Go(func() { d.coord.Run(coordinating) })
	wg.Go(func() { d.announce(duties) })
	wg.Go(func() {
		if err := d.teller.Run(duties); err != nil {
			d.log.Error("daemons not told of running requests", "error", err)
		}
	})
	wg.Go(func() { d.sweep(duties) })
	feed := &http.Server{
		Handler: peers.NewHandler(
			&peers.FeedHandler{Mirror: d.mirror, Log: d.log}, &peers.RelayHandler{Store: d.options.Store, Log: d.log},
			&peers.HandOverHandler{Take: d.coord.TakeOver, Log: d.log}),
		ReadHeaderTimeout: time.Second,
	}
	wg.Go(func() { d.serve(feed, among) })
	if address := d.options.Settings.Metrics; address != "" {
		wg.Go(func() { d.serveMetrics(duties, address) })
	}
	front := front.NewServer(d.handler, d.views, d.log)
	readiness := &http.Server{Handler: http.HandlerFunc(d.ready), ReadHeaderTimeout: time.Second}
	wg.Go(func() {
		if err := front.Serve(callers); !errors.Is(err, net.ErrClosed) {
			d.log.Error("listener failed", "address", callers.Addr().String(), "error", err)
		}
	})
	wg.Go(func() { d.serve(readiness, ready) })

	<-ctx.Done()
	d.stop(front, callers, readiness, endCoordinating)
	endDuties()
	_ = feed.Close()
	wg.Wait()
	d.log.Info("daemon stopped", "name", d.self.Name, "run", d.self.Run)
	return nil
}

// listen opens listeners at all addresses, or at none.
func listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	var config net.ListenConfig
	var open []net.Listener
	for _, address := range addresses {
		l, err := config.Listen(ctx, "tcp4", address)
		if err != nil {
			errs := []error{err}
			for _, l := range open {
				errs = append(errs, l.Close())
			}
			return nil, errors.Join(errs...)
		}
		open = append(open, l)
	}
	return open, nil
}

func (d *Daemon) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("listener failed", "address", l.Addr().String(), "error", err)
	}
}

// serveMetrics serves the metrics until ctx ends. A daemon without metrics still
// serves callers.
func (d *Daemon) serveMetrics(ctx context.Context, address string) {
	listeners, err := listen(ctx, address)
	if err != nil {
		d.log.Error("metrics not served", "address", address, "error", err)
		return
	}
	s := &http.Server{Handler: d.options.Metrics.Handler(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	d.serve(s, listeners[0])
}

// ready reports whether the daemon can serve callers.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	v := d.views.Current()
	if d.handler.Stopping.Load() || v.Config == nil || !v.Read {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop leaves the balancer, then waits for the running requests.
func (d *Daemon) stop(callers *front.Server, listener net.Listener, readiness *http.Server, endCoordinating func()) {
	start := time.Now()
	grace := time.Duration(d.grace.Load())
	d.log.Info("stopping", "grace_ms", grace.Milliseconds())
	d.handler.Stopping.Store(true)
	endCoordinating()
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
	_ = readiness.Close()
}

func (d *Daemon) gauges() metrics.Gauges {
	v := d.views.Current()
	status := d.mirror.Status()
	g := metrics.Gauges{
		StoreUp: status.Up, CopyAge: clock.Now() - status.Heard, Targets: v.Targets.Len(), Daemons: len(v.Daemons),
		Coordinating: coordinator.Holder(v) == d.self.Name, Services: d.sender.Gauges(),
	}
	g.LogDropped, g.LogOmitted = d.options.LogCounts()
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
			d.sender.Sweep()
			d.options.Metrics.Set(d.gauges())
		}
	}
}
