// Package edge is the daemon that serves callers through a platform's store and
// targets. It joins the duties; what they decide is in their packages.
package edge

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
	"github.com/jackdawloom/jackdawloom/internal/edge/front"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Settings are a daemon's settings.
type Settings struct {
	Name, Domain string
	// Callers, Ready and Peers are the addresses that the daemon listens at.
	Callers, Ready, Peers string
	// Metrics is the address of the metrics; empty for none.
	Metrics string
	// Capacity is the instance's share of work in its fleet. The strongest instance
	// of a domain is its hub.
	Capacity float64
	// Grace is the time between the signal to stop and the end by force.
	Grace time.Duration
	// MaxHold is the longest grant that targets accept.
	MaxHold time.Duration
	// Repeats bounds what all daemons send a second time.
	Repeats budget.Bound
}

// Store is the platform's store.
type Store interface {
	topo.Store
	topo.Feed
}

// Options are what a Daemon is made of.
type Options struct {
	Settings  Settings
	Store     Store
	Documents view.Documents
	Calls     coordinator.Calls
	Names     *upstream.Names
	Log       *slog.Logger
	Metrics   *metrics.Metrics
	// LogCounts returns the log lines that were dropped and left out.
	LogCounts func() (dropped, omitted uint64)
}

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

// Daemon is one daemon.
type Daemon struct {
	options Options
	self    coordinator.Identity
	log     *slog.Logger
	views   *view.Keeper
	mirror  *mirror.Mirror
	sender  *dispatch.Dispatcher
	handler *front.Handler
	coord   *coordinator.Coordinator
	teller  *peers.Teller
	grace   atomic.Int64 // nanoseconds
	hubs    *peers.Hubs
	// peerList is read off a view.
	peerList atomic.Pointer[peerList]
}

// peerList is the list of daemons of a view.
type peerList struct {
	of    *view.View
	peers []peers.Peer
}

// New returns a daemon that does nothing yet.
func New(o Options) *Daemon {
	d := &Daemon{options: o, log: o.Log, self: coordinator.Identity{Name: o.Settings.Name, Run: rand.Text()}}
	d.views = view.NewKeeper(o.Documents, o.Log, func() mirror.Status { return d.mirror.Status() })
	d.hubs = peers.NewHubs(o.Settings.Name)
	feed := peers.NewFeed(o.Settings.Name, o.Settings.Domain, o.Store, d.hubs, d.peers, o.Log)
	d.mirror = mirror.New(feed, "", o.Log, d.views.Apply)
	d.sender = dispatch.New(dispatch.Config{
		Names: o.Names, Domain: o.Settings.Domain, Budget: o.Settings.Repeats, Views: d.views, Log: o.Log,
		Sent:  o.Metrics.Send,
		Keys:  func(service string, key uint16) { d.teller.Asked(service, key) },
		Ended: func(t peers.TargetHash, took time.Duration) { d.teller.Ended(t, took) },
	})
	d.teller = peers.New(peers.Config{
		Name: o.Settings.Name, Domain: o.Settings.Domain, Address: o.Settings.Peers, Log: o.Log, Hubs: d.hubs,
		Peers: d.peers, Running: d.sender.Running, Fleet: d.sender.SetFleet, Measured: d.sender.SetTimes,
		Sampled: func(s peers.Sample) { d.coord.AddLoad(s) },
	})
	d.coord = coordinator.New(coordinator.Config{
		Store: o.Store, Self: d.self, Views: d.views, Calls: o.Calls, Targets: d.sender,
		MaxHold: o.Settings.MaxHold, Weakness: d.weakness, Log: o.Log,
	})
	d.handler = &front.Handler{Names: o.Names, Views: d.views, Dispatcher: d.sender, Log: o.Log, Observe: func(r front.Result) {
		o.Metrics.Request(r.Service, r.Status, string(r.Reason), r.Took)
	}}
	d.grace.Store(int64(o.Settings.Grace))
	return d
}

// Reload applies the settings that can change while the daemon runs: the grace
// and the bound of repeats.
func (d *Daemon) Reload(s Settings) {
	d.grace.Store(int64(s.Grace))
	d.sender.SetBudget(s.Repeats)
	fixed := d.options.Settings
	fixed.Grace, fixed.Repeats = s.Grace, s.Repeats
	d.log.Info("settings in force", "grace_ms", s.Grace.Milliseconds(), "repeat_ratio", s.Repeats.Ratio,
		"repeat_slack", s.Repeats.Slack, "restart_needed", fixed != s)
}

// Run serves until ctx ends, and then until all requests have ended or the grace
// is over.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp4", d.options.Settings.Callers)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	ready, err := net.Listen("tcp4", d.options.Settings.Ready)
	if err != nil {
		return errors.Join(fmt.Errorf("readiness: %w", err), callers.Close())
	}
	among, err := net.Listen("tcp4", d.options.Settings.Peers)
	if err != nil {
		return errors.Join(fmt.Errorf("daemons: %w", err), callers.Close(), ready.Close())
	}
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
		Handler:           &peers.FeedHandler{Mirror: d.mirror, Log: d.log},
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

func (d *Daemon) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("listener failed", "address", l.Addr().String(), "error", err)
	}
}

// serveMetrics serves the metrics until ctx ends. A daemon without metrics still
// serves callers.
func (d *Daemon) serveMetrics(ctx context.Context, address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		d.log.Error("metrics not served", "address", address, "error", err)
		return
	}
	s := &http.Server{Handler: d.options.Metrics.Handler(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	d.serve(s, l)
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

// announcement is what a daemon tells the others about itself.
type announcement struct {
	Run    string `cbor:"1,keyasint"`
	Domain string `cbor:"2,keyasint"`
	Peers  string `cbor:"3,keyasint"`
	// Capacity is that of the instance.
	Capacity float64 `cbor:"4,keyasint"`
}

// announce writes the daemon's address into the store once.
func (d *Daemon) announce(ctx context.Context) {
	value, err := cbor.Marshal(announcement{
		Run: d.self.Run, Domain: d.options.Settings.Domain, Peers: d.options.Settings.Peers, Capacity: d.options.Settings.Capacity,
	})
	if err != nil {
		d.log.Error("announcement not encoded", "error", err)
		return
	}
	for ctx.Err() == nil {
		_, err := d.options.Store.Commit(ctx, topo.Txn{Puts: []topo.Put{{Key: view.DaemonKey(d.self.Name), Value: value}}})
		if err == nil {
			return
		}
		d.log.Warn("daemon not announced", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(announceRetry):
		}
	}
}

// weakness tells how far this instance is below the strongest one, from 0 to 1.
func (d *Daemon) weakness() float64 {
	strongest := d.options.Settings.Capacity
	for _, p := range d.peers() {
		strongest = max(strongest, p.Capacity)
	}
	if strongest <= 0 {
		return 0
	}
	return 1 - d.options.Settings.Capacity/strongest
}

// peers returns the daemons that announced themselves.
func (d *Daemon) peers() []peers.Peer {
	v := d.views.Current()
	if known := d.peerList.Load(); known != nil && known.of == v {
		return known.peers
	}
	coordinator := coordinator.Holder(v)
	var list []peers.Peer
	for name, e := range v.Daemons {
		var a announcement
		if err := cbor.Unmarshal(e.Value, &a); err != nil {
			d.log.Warn("announcement not readable", "daemon", name, "revision", e.ModRev, "error", err)
			continue
		}
		address, err := netip.ParseAddrPort(a.Peers)
		if err != nil {
			d.log.Warn("announcement without address", "daemon", name, "revision", e.ModRev, "error", err)
			continue
		}
		list = append(list, peers.Peer{
			Name: name, Address: address, Domain: a.Domain, Capacity: a.Capacity, Coordinates: name == coordinator,
		})
	}
	d.peerList.Store(&peerList{v, list})
	return list
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
