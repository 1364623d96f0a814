package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/front"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/transport/listener"
)

// Durations of the shutdown, which are part of the grace period, and of the cleanup.
const (
	// balancerLeaveTime is how long a stopping daemon continues to accept connections.
	// By then the load balancer has noticed that the daemon is not ready.
	balancerLeaveTime = 2500 * time.Millisecond
	// maxShutdownMargin is reserved between the end of the graceful shutdown and forced
	// termination. Of a short grace period only the part 1/shutdownMarginDivisor is reserved, as
	// requests are to be served for most of it.
	maxShutdownMargin     = 400 * time.Millisecond
	shutdownMarginDivisor = 10
	// responseMarginDivisor is the part of that margin, before the end of the graceful
	// shutdown, in which the last responses reach their callers.
	responseMarginDivisor = 4
	// cleanupInterval is how often expired registrations and removed targets are
	// cleaned up and the gauges are updated.
	cleanupInterval = 500 * time.Millisecond
)

// maxAuxHeaderBytes bounds the header of readiness checks and of operators' requests.
const maxAuxHeaderBytes = 16 << 10

// Run serves until ctx ends, and then until all requests have ended or the grace period
// is over. It stops in the same way, and returns an error, if it cannot accept connections any
// more.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := d.listen(ctx, d.options.Settings.CallerAddress)
	if err != nil {
		return err
	}
	if err := d.options.Network.Listen(ctx); err != nil {
		return errors.Join(err, callers.Close())
	}
	readiness, err := d.openServer(ctx, d.options.Settings.ReadyAddress, http.HandlerFunc(d.serveReadiness))
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	admin, err := d.openServer(ctx, d.options.Settings.AdminAddress, d.admin)
	if err != nil {
		return errors.Join(err, callers.Close(), readiness.close())
	}
	d.log.Info("daemon started", "name", d.self.Name, "run", d.self.RunID, "domain", d.options.Settings.Domain, "callers", callers.Addr().String(), "first_start", d.options.Settings.FirstStart)

	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	// A stopping daemon leaves the fleet immediately but continues to serve requests.
	membershipCtx, leaveFleet := context.WithCancel(tasksCtx)
	defer leaveFleet()
	var wg sync.WaitGroup
	wg.Go(func() { d.mirror.Run(tasksCtx) })
	wg.Go(func() { d.coord.Run(membershipCtx) })
	wg.Go(func() { d.announce(membershipCtx) })
	wg.Go(func() { d.withdrawSilentDaemons(tasksCtx) })
	wg.Go(func() { d.statsExchange.Run(tasksCtx) })
	wg.Go(func() { d.cleanUpPeriodically(tasksCtx) })
	peerHandler := peers.NewHandler(
		&peers.FeedHandler{Mirror: d.mirror, Log: d.log}, &peers.RelayHandler{Store: d.options.Store, Log: d.log},
		&peers.HandoverHandler{Accept: d.coord.ReceiveHandover, Log: d.log}, &peers.TableHandler{Table: d.views.EncodedTable, Log: d.log})
	failed := make(chan error, 1)
	// serve runs a server without which the daemon stops.
	serve := func(server func() error) {
		wg.Go(func() {
			if err := server(); err != nil {
				select {
				case failed <- err:
				default: // the daemon stops already
				}
			}
		})
	}
	serve(func() error { return d.options.Network.Serve(tasksCtx, peerHandler, d.statsExchange.Receive) })
	for _, task := range d.tasks {
		wg.Go(func() { task(tasksCtx) })
	}
	wg.Go(func() { d.serveMetrics(tasksCtx) })
	front := front.NewServer(d.handler, d.views, maxCallerConns(d.options.Settings.DescriptorLimit), d.log)
	serve(func() error { return serveCallers(front, callers) })
	serve(readiness.serve)
	serve(admin.serve)

	select {
	case <-ctx.Done():
	case err = <-failed:
		d.log.Error("listener failed; stopping", "error", err)
	}
	d.stop(front, callers, leaveFleet)
	_ = readiness.close()
	_ = admin.close()
	stopTasks()
	wg.Wait()
	d.log.Info("daemon stopped", "name", d.self.Name, "run", d.self.RunID)
	return err
}

// serveCallers returns nil once the listener is closed, and otherwise the error that ended it.
func serveCallers(server *front.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("serve callers at %s: %w", l.Addr(), err)
	}
	return nil
}

func (d *Daemon) listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen at %s: %w", address, err)
	}
	return listener.New(l, d.log), nil
}

// auxServer is an HTTP server for readiness checks, operators or metrics. Without an
// address it does nothing.
type auxServer struct {
	listener net.Listener
	server   *http.Server
}

// openServer opens the listener of an auxiliary server.
func (d *Daemon) openServer(ctx context.Context, address string, h http.Handler) (*auxServer, error) {
	if address == "" {
		return &auxServer{}, nil
	}
	l, err := d.listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &auxServer{l, &http.Server{Handler: h, ReadHeaderTimeout: time.Second, MaxHeaderBytes: maxAuxHeaderBytes}}, nil
}

// serve returns nil once the server is closed, and otherwise the error that ended it.
func (s *auxServer) serve() error {
	if s.listener == nil {
		return nil
	}
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve at %s: %w", s.listener.Addr(), err)
	}
	return nil
}

func (s *auxServer) close() error {
	if s.listener == nil {
		return nil
	}
	return s.server.Close()
}

// serveMetrics serves the metrics until ctx ends. Failing to listen is only logged, as
// the daemon can serve callers without metrics.
func (d *Daemon) serveMetrics(ctx context.Context) {
	s, err := d.openServer(ctx, d.options.Settings.MetricsAddress, d.metricsHandler())
	if err != nil {
		d.log.Error("could not listen for metrics requests; running without them", "address", d.options.Settings.MetricsAddress, "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = s.close() })
	defer stop()
	if err := s.serve(); err != nil {
		d.log.Error("listener failed for metrics requests; running without them", "error", err)
	}
}

// serveReadiness answers 503 while the daemon cannot serve callers.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready reports whether the daemon can serve callers.
func (d *Daemon) Ready() bool {
	v := d.views.Current()
	return !d.handler.Stopping.Load() && v.Config != nil && v.Synced
}

// stop gives the load balancer time to notice that the daemon is not ready, then closes
// the listener and waits for the running requests. Requests that arrive later, on connections
// that are still open, are served only if they end in time.
func (d *Daemon) stop(callers *front.Server, listener net.Listener, leaveFleet func()) {
	start := time.Now()
	grace := time.Duration(d.gracePeriod.Load())
	d.log.Info("stopping", "grace_ms", grace.Milliseconds())
	d.handler.Stopping.Store(true)
	leaveFleet()
	margin := min(maxShutdownMargin, grace/shutdownMarginDivisor)
	acceptTime, serveTime := min(balancerLeaveTime, grace/2), grace-margin
	now, responseTime := clock.Now(), serveTime-margin/responseMarginDivisor
	d.dispatcher.StopSending(now+acceptTime, now+responseTime)
	// Requests that still wait for memory then are refused.
	defer time.AfterFunc(responseTime, d.handler.Bodies.Close).Stop()
	time.Sleep(acceptTime)
	ctx, cancel := context.WithTimeout(context.Background(), serveTime-time.Since(start))
	defer cancel()
	if err := listener.Close(); err != nil {
		d.log.Warn("listener for callers could not be closed", "error", err)
	}
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn("requests still running at the end of the grace period; stopping without waiting for them", "error", err)
	}
}

func (d *Daemon) gauges() metrics.Gauges {
	v := d.views.Current()
	status := d.mirror.Status()
	g := metrics.Gauges{
		StoreUp: status.Up, StoreEra: v.Era, CopyAge: clock.Now() - status.CurrentAt, Targets: v.Targets.Len(), Daemons: len(v.Daemons),
		EvacuatedDomains: len(v.EvacuatedDomains),
		Coordinating:     coordinator.Holder(v) == d.self.Name, Services: d.dispatcher.Gauges(),
	}
	g.LogLinesDropped, g.LogLinesOmitted = d.options.LogCounts()
	if len(v.EvacuatedDomains) > 0 {
		g.EvacuatedKeys, g.EvacuatedRequests = v.KeysIn(v.EvacuatedDomains), d.dispatcher.RunningIn(v.EvacuatedDomains)
	}
	if v.Config != nil {
		g.ConfigVersion = v.Config.Version
	}
	return g
}

func (d *Daemon) cleanUpPeriodically(ctx context.Context) {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.views.Expire()
			d.dispatcher.CloseRemovedTargets()
			d.options.Metrics.SetGauges(d.gauges())
		}
	}
}
