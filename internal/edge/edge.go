// Package edge is the daemon that serves callers through a platform's store and
// targets. It joins the duties; what they decide is in their packages.
package edge

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/http"
	"net/netip"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
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
	// CallerAddress and ReadyAddress are the addresses that the daemon listens at. ReadyAddress may be
	// empty.
	CallerAddress, ReadyAddress string
	// PeerAddress is where other daemons reach this one, and AdminAddress where operators do;
	// AdminAddress may be empty.
	PeerAddress, AdminAddress string
	// Seeds are peer addresses of daemons that may have a copy of the store when
	// this one starts and does not reach it.
	Seeds []netip.AddrPort
	// MetricsAddress is the address of the metrics; empty for none.
	MetricsAddress string
	// Capacity is the instance's share of work in its fleet. The strongest instance
	// of a domain is its hub.
	Capacity float64
	// GracePeriod is the time between the signal to stop and the end by force.
	GracePeriod time.Duration
	// Grants holds the times of grants. LeaseTTL and GrantTimeout are those of
	// coordinator.Config.
	Grants                 ownership.Config
	LeaseTTL, GrantTimeout time.Duration
	// RetryBudget bounds what all daemons send a second time.
	RetryBudget budget.Bound
}

// Store is the platform's store.
type Store interface {
	topo.Store
	topo.Feed
}

// Options are what a Daemon is made of.
type Options struct {
	Settings      Settings
	Store         Store
	Documents     view.Documents
	Network       peers.Network
	GrantProtocol coordinator.GrantProtocol
	Names         *upstream.HeaderNames
	Log           *slog.Logger
	Metrics       *metrics.Metrics
	// LogCounts returns the log lines that were dropped and left out.
	LogCounts func() (dropped, omitted uint64)
}

// Daemon is one daemon.
type Daemon struct {
	options Options
	self    coordinator.Identity
	log     *slog.Logger
	views   *view.Tracker
	mirror  *mirror.Mirror
	sender  *dispatch.Dispatcher
	handler *front.Handler
	coord   *coordinator.Coordinator
	teller  *peers.StatsExchange
	grace   atomic.Int64 // nanoseconds
	hubs    *peers.HubSelector
	admin   http.Handler
	duties  []func(context.Context)
	// observe is told of each request that ended.
	observe func(front.Result)
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
	d := &Daemon{options: o, log: o.Log, self: coordinator.Identity{Name: o.Settings.Name, RunID: rand.Text()}}
	d.views = view.NewTracker(o.Documents, o.Log, func() mirror.Status { return d.mirror.Status() })
	d.hubs = peers.NewHubSelector()
	feed := &peers.Feed{
		Self: o.Settings.Name, Domain: o.Settings.Domain, Store: o.Store, Hubs: d.hubs, Peers: d.peers,
		Seeds: o.Settings.Seeds, Network: o.Network, Log: o.Log,
	}
	relay := peers.NewRelay(o.Settings.Name, o.Store, o.Network, d.hubs, d.peers, o.Log)
	d.mirror = mirror.New(feed, o.Documents.Prefix(), o.Log, d.views.Apply)
	d.sender = dispatch.New(dispatch.Config{
		Names: o.Names, Domain: o.Settings.Domain, RetryBudget: o.Settings.RetryBudget, Views: d.views, Log: o.Log,
		ObserveSend:        o.Metrics.ObserveSend,
		ObserveKey:         func(service string, key uint16) { d.teller.RecordKey(service, key) },
		ObserveServiceTime: func(t peers.TargetHash, took time.Duration) { d.teller.RecordServiceTime(t, took) },
	})
	d.teller = peers.NewStatsExchange(peers.StatsExchangeConfig{
		Name: o.Settings.Name, Domain: o.Settings.Domain, Network: o.Network, Log: o.Log, Hubs: d.hubs,
		Peers: d.peers, LocalLoads: d.sender.RunningByTarget, OnFleetLoads: d.sender.SetFleetLoads, OnServiceTimes: d.sender.SetServiceTimes,
		OnKeySample: func(s peers.KeySample) { d.coord.AddLoad(s) },
	})
	d.coord = coordinator.New(coordinator.Config{
		Store: relay, SendHandover: relay.SendHandover, Self: d.self, Views: d.views, GrantProtocol: o.GrantProtocol, TargetStats: d.sender,
		Grants: o.Settings.Grants, LeaseTTL: o.Settings.LeaseTTL, GrantTimeout: o.Settings.GrantTimeout,
		CapacityDeficit: d.weakness, Log: o.Log,
	})
	d.handler = &front.Handler{Names: o.Names, Views: d.views, Dispatcher: d.sender, Log: o.Log, ObserveRequest: func(r front.Result) {
		o.Metrics.ObserveRequest(r.Service, r.Status, string(r.Reason), r.Took)
		d.observe(r)
	}}
	d.observe = func(front.Result) {}
	o.Metrics.RegisterTargets(d.targetMetrics)
	d.grace.Store(int64(o.Settings.GracePeriod))
	return d
}

// Extend adds what serves operators at Settings.Admin, what is told of each request
// that ended, and duties that run until the daemon stops. It is called before Run.
func (d *Daemon) Extend(admin http.Handler, observe func(front.Result), duties ...func(context.Context)) {
	d.admin, d.observe, d.duties = admin, observe, duties
}

// Reload applies the settings that can change while the daemon runs: the grace
// and the bound of repeats.
func (d *Daemon) Reload(s Settings) {
	d.grace.Store(int64(s.GracePeriod))
	d.sender.SetRetryBudget(s.RetryBudget)
	fixed := d.options.Settings
	fixed.GracePeriod, fixed.RetryBudget = s.GracePeriod, s.RetryBudget
	d.log.Info("settings in force", "grace_ms", s.GracePeriod.Milliseconds(), "repeat_ratio", s.RetryBudget.Ratio,
		"repeat_slack", s.RetryBudget.Slack, "restart_needed", !reflect.DeepEqual(fixed, s))
}
