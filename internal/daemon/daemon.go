// Package daemon makes the router's daemon of its parts: package edge with the
// router's own formats, store and targets.
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

// Times of grants and of the coordinator's lease. A key must be served again two
// seconds after a loss. Keys of a target that is lost wait for the end of its grants,
// and those of all targets for a new coordinator once their grants have ended; both
// stay below that with a second to spare for the loss to be noticed.
const (
	hold         = time.Second
	renewEvery   = 300 * time.Millisecond
	silentFor    = 600 * time.Millisecond
	grantTimeout = 300 * time.Millisecond
	leaseTTL     = time.Second
	// maxHold is the duration of grants while the store cannot be reached.
	maxHold = 10 * time.Second
)

// repeats bounds requests that are sent again. Nearly all of them were refused by a
// target that gave their keys up a moment before, so the bound is wide.
var repeats = budget.Bound{Ratio: 0.5, Slack: 200, Window: 10 * time.Second}

// Store is what the daemon needs of the store.
type Store interface {
	topo.Store
	topo.Lister
}

// Options are what a Daemon is made of.
type Options struct {
	Settings    *settings.Settings
	Store       Store
	Certificate tls.Certificate
	Authorities *x509.CertPool
	Log         *slog.Logger
	// LogCounts returns the log lines that were dropped and left out; nil for none.
	LogCounts func() (dropped, omitted uint64)
}

// Daemon is one daemon.
type Daemon struct {
	*edge.Daemon
	feed *watchfeed.Feed
}

// store joins the store's calls with the feed that follows it.
type store struct {
	topo.Store
	topo.Feed
}

// New returns a daemon that does nothing yet.
func New(o Options) *Daemon {
	set := o.Settings
	counts := metrics.New()
	if o.LogCounts == nil {
		o.LogCounts = func() (uint64, uint64) { return 0, 0 }
	}
	readings := native.NewClockReadings()
	feed := watchfeed.New(o.Store)
	d := &Daemon{feed: feed}
	d.Daemon = edge.New(edge.Options{
		Settings: edgeSettings(set), Store: store{o.Store, feed}, Network: network(o),
		Documents: native.Documents{Limits: native.Limits{
			HeaderBytes: int(set.Limits.MaxHeader), KeyBytes: int(set.Limits.MaxKey), BodyBytes: set.Limits.MaxBody,
		}},
		GrantProtocol: native.GrantProtocol{Readings: readings}, Names: &native.HeaderNames, Log: o.Log, Metrics: counts, LogCounts: o.LogCounts,
	})
	classes := levels.New(o.Log)
	register := registrar.New(registrar.Config{
		Store: o.Store, View: d.View, Coordinates: d.Coordinates, Readings: readings, Log: o.Log,
	})
	operators := admin.New(admin.Config{
		Daemon: d, Store: o.Store, Levels: classes, Metrics: counts.Handler(),
		Callers: set.Listen.Caller.String(), Peers: set.Listen.Peer.String(), Admin: set.Listen.Admin.String(),
	})
	d.Extend(operators, classes.Observe, classes.Run, register.Run)
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
			MaxGrantDuration: maxHold, GrantDuration: hold, RenewInterval: renewEvery, UnresponsiveTimeout: silentFor, AbsoluteExpiry: true, HigherFenceSupersedes: true, NamesLife: true,
		},
		LeaseTTL: leaseTTL, GrantTimeout: grantTimeout, RetryBudget: repeats,
	}
}

// Run serves until ctx ends, and then until all requests have ended or the drain
// timeout is over.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.feed.Close()
	return d.Daemon.Run(ctx)
}
