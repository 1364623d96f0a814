// Package daemon assembles the router's daemon: package edge combined with the router's
// own formats, store client and target protocol.
package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/native"
	"github.com/jackdawloom/jackdawloom/internal/native/admin"
	"github.com/jackdawloom/jackdawloom/internal/native/levels"
	"github.com/jackdawloom/jackdawloom/internal/native/registrar"
	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/settings"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/watchfeed"
	"github.com/jackdawloom/jackdawloom/internal/transport/peernet"
)

// Durations of grants and of the coordinator's lease. A key must be served again two
// seconds after a failure. The keys of a failed target wait for its grants to expire,
// and after the loss of the coordinator all keys whose grants have expired wait for the
// next coordinator. Both waits leave one of the two seconds for detecting the failure.
const (
	grantDuration       = time.Second
	renewInterval       = 300 * time.Millisecond
	unresponsiveTimeout = 600 * time.Millisecond
	grantTimeout        = 300 * time.Millisecond
	leaseTTL            = time.Second
	// maxGrantDuration is the duration of grants while the store is unreachable.
	maxGrantDuration = 10 * time.Second
)

// retryBudget bounds retries. Nearly all retried requests were refused by a target that
// had given up their keys a moment before, so the budget is generous.
var retryBudget = budget.Bound{Ratio: 0.5, Slack: 200, Window: 10 * time.Second}

// Store is the part of the store client that the daemon uses.
type Store interface {
	topo.Store
	topo.Lister
}

// Options holds the settings and dependencies of a Daemon.
type Options struct {
	Settings    *settings.Settings
	Store       Store
	Certificate tls.Certificate
	Authorities *x509.CertPool
	Log         *slog.Logger
	// LogCounts returns the numbers of log lines that were dropped and omitted. It may
	// be nil.
	LogCounts func() (dropped, omitted uint64)
}

// Daemon is a router daemon.
type Daemon struct {
	*edge.Daemon
	feed *watchfeed.Feed
}

// storeWithFeed combines the store's calls with the feed that watches its changes.
type storeWithFeed struct {
	topo.Store
	topo.Feed
}

// New returns a daemon that does nothing until Run is called.
func New(o Options) *Daemon {
	set := o.Settings
	daemonMetrics := metrics.New()
	if o.LogCounts == nil {
		o.LogCounts = func() (uint64, uint64) { return 0, 0 }
	}
	readings := native.NewClockReadings()
	feed := watchfeed.New(o.Store)
	d := &Daemon{feed: feed}
	d.Daemon = edge.New(edge.Options{
		Settings: edgeSettings(set), Store: storeWithFeed{o.Store, feed}, Network: network(o),
		Documents: native.Documents{Limits: native.Limits{
			HeaderBytes: int(set.Limits.MaxHeader), KeyBytes: int(set.Limits.MaxKey), BodyBytes: set.Limits.MaxBody,
		}},
		GrantProtocol: native.GrantProtocol{Readings: readings}, HeaderNames: &native.HeaderNames, Log: o.Log, Metrics: daemonMetrics, LogCounts: o.LogCounts,
	})
	recorder := levels.New(o.Log)
	targetRegistrar := registrar.New(registrar.Config{
		Store: o.Store, View: d.View, CoordinatorTerm: d.CoordinatorTerm, Readings: readings, Log: o.Log,
	})
	adminHandler := admin.New(admin.Config{
		Daemon: d, Store: o.Store, Recorder: recorder, Metrics: daemonMetrics.Handler(),
		Callers: set.Listen.Caller.String(), Peers: set.Listen.Peer.String(), Admin: set.Listen.Admin.String(),
	})
	d.Extend(adminHandler, recorder.Observe, recorder.Run, targetRegistrar.Run)
	return d
}

func network(o Options) peers.Network {
	return peernet.New(o.Settings.Listen.Peer.String(), pki.ServerConfig(o.Certificate, o.Authorities),
		pki.ClientConfig(o.Certificate, o.Authorities), o.Log)
}

func edgeSettings(set *settings.Settings) edge.Settings {
	return edge.Settings{
		Name: set.Daemon.ID, Domain: set.Daemon.Domain, CallerAddress: set.Listen.Caller.String(), PeerAddress: set.Listen.Peer.String(),
		AdminAddress: set.Listen.Admin.String(), Seeds: set.Peers.Seeds, Capacity: 1, GracePeriod: set.Daemon.DrainTimeout,
		Grants: ownership.Config{
			MaxGrantDuration: maxGrantDuration, GrantDuration: grantDuration, RenewInterval: renewInterval, UnresponsiveTimeout: unresponsiveTimeout, AbsoluteExpiry: true, HigherFenceSupersedes: true, GrantsNameIncarnation: true,
		},
		LeaseTTL: leaseTTL, GrantTimeout: grantTimeout, RetryBudget: retryBudget,
	}
}

// Run serves until ctx ends, and then until all requests have ended or the drain
// timeout is over.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.feed.Close()
	return d.Daemon.Run(ctx)
}
