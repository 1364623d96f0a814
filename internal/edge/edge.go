// Package edge implements the daemon that serves callers on top of a platform's store
// and targets. The package wires the components together; the logic of each component is
// in the component's own package.
package edge

import (
	"context"
	"crypto/rand"
	"log/slog"
	"math"
	"net/http"
	"net/netip"
	"reflect"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/coordination/hedging"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
	"github.com/jackdawloom/jackdawloom/internal/edge/front"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Settings holds a daemon's settings.
type Settings struct {
	Name, Domain string
	// CallerAddress and ReadyAddress are the listen addresses for callers and for
	// readiness checks. ReadyAddress may be empty.
	CallerAddress, ReadyAddress string
	// PeerAddress is the address under which other daemons reach this daemon, and
	// AdminAddress the listen address for operators. AdminAddress may be empty.
	PeerAddress, AdminAddress string
	// Seeds are the peer addresses of daemons that may provide a copy of the store if
	// this daemon cannot reach the store when it starts.
	Seeds []netip.AddrPort
	// MetricsAddress is the listen address of the metrics; empty disables them.
	MetricsAddress string
	// Capacity is the instance's weight when work is shared in the fleet. The instance
	// with the highest capacity in a failure domain is the domain's hub.
	Capacity float64
	// FirstStart is set if the whole fleet starts for the first time, so that no key was granted before.
	FirstStart bool
	// GracePeriod is the time between the stop signal and forced termination.
	GracePeriod time.Duration
	// DrainTime is the time after which a target that said that it is leaving gets no more
	// requests, even for keys that it still holds; zero means the default of package view.
	DrainTime time.Duration
	// EvacuationTime is the time within which the targets of an evacuated failure domain must
	// get no more requests; zero means the default of package view.
	EvacuationTime time.Duration
	// MemoryLimit is the memory of the instance in bytes, of which parts are used for the
	// bodies of requests and responses; zero means defaultMemoryLimit.
	MemoryLimit int64
	// DescriptorLimit is the number of file descriptors of the process, of which callers'
	// connections may use a part; zero means the limit of the operating system.
	DescriptorLimit int
	// Grants, LeaseTTL and GrantTimeout are passed to coordinator.Config.
	Grants                 ownership.Config
	LeaseTTL, GrantTimeout time.Duration
	// RetryBudget bounds the retries of all daemons together.
	RetryBudget budget.Bound
	// HedgeShare is passed to dispatch.Config.
	HedgeShare float64
	// ColdOverage is passed to dispatch.Config and coordinator.Config.
	ColdOverage float64
}

// Store is the platform's store.
type Store interface {
	topo.Store
	topo.Feed
}

// Options holds the dependencies of a Daemon.
type Options struct {
	Settings      Settings
	Store         Store
	Documents     view.Documents
	Network       peers.Network
	GrantProtocol coordinator.GrantProtocol
	HeaderNames   *upstream.HeaderNames
	Log           *slog.Logger
	Metrics       *metrics.Metrics
	// LogCounts returns the numbers of log lines that were dropped and omitted.
	LogCounts func() (dropped, omitted uint64)
}

// Daemon is one daemon process of the router.
type Daemon struct {
	options       Options
	self          coordinator.Identity
	createdAt     time.Duration
	log           *slog.Logger
	views         *view.Tracker
	mirror        *mirror.Mirror
	dispatcher    *dispatch.Dispatcher
	handler       *front.Handler
	coord         *coordinator.Coordinator
	statsExchange *peers.StatsExchange
	gracePeriod   atomic.Int64 // nanoseconds
	hubs          *peers.HubSelector
	admin         http.Handler
	tasks         []func(context.Context)
	// observeRequest is called for each request that ended.
	observeRequest func(front.Result)
	// peerList caches the peers decoded from a view.
	peerList atomic.Pointer[peerList]
}

// peerList holds the announced daemons of a view.
type peerList struct {
	view  *view.View
	peers []peers.Peer
}

// New returns a daemon that does nothing until Run is called.
func New(o Options) *Daemon {
	d := &Daemon{options: o, log: o.Log, createdAt: clock.Now(), self: coordinator.Identity{Name: o.Settings.Name, RunID: rand.Text()}}
	d.views = view.NewTracker(o.Documents, o.Log, func() mirror.Status { return d.mirror.Status() })
	if o.Settings.DrainTime > 0 {
		d.views.SetDrainTime(o.Settings.DrainTime)
	}
	if o.Settings.EvacuationTime > 0 {
		d.views.SetEvacuationTime(o.Settings.EvacuationTime)
	}
	requestBodies, responseBodies := bodyBudgets(o.Settings.MemoryLimit)
	d.hubs = peers.NewHubSelector()
	feed := &peers.Feed{
		Self: o.Settings.Name, Domain: o.Settings.Domain, Store: o.Store, Hubs: d.hubs, Peers: d.peers,
		Seeds: o.Settings.Seeds, Network: o.Network, Log: o.Log,
	}
	relay := peers.NewRelay(o.Settings.Name, o.Store, o.Network, d.hubs, d.peers, o.Log)
	d.mirror = mirror.New(feed, o.Documents.Prefix(), o.Log, d.views.Apply)
	tables := &peers.TableReader{Network: o.Network, Peers: d.peers, Log: o.Log, Apply: func(service string, table []byte, rev int64) {
		d.views.ApplyWrittenTable(topo.Entry{Key: view.RangesKey(service), Value: table, CreateRev: rev, ModRev: rev})
	}}
	d.dispatcher = dispatch.New(dispatch.Config{
		Names: o.HeaderNames, Name: o.Settings.Name, Domain: o.Settings.Domain, RetryBudget: o.Settings.RetryBudget, ColdOverage: o.Settings.ColdOverage, Views: d.views, Bodies: responseBodies, Log: o.Log,
		RefreshTable: tables.Read,
		ObserveSend:  o.Metrics.ObserveSend,
		ObserveProbe: o.Metrics.ObserveProbe,
		HedgeShare:   o.Settings.HedgeShare,
		ObserveHedge: func(service string, event dispatch.HedgeEvent, reason hedging.Reason) {
			o.Metrics.CountHedge(service, string(event), string(reason))
		},
		ObserveNotAdmitted: o.Metrics.ObserveNotAdmitted,
		ObserveKey:         func(service string, key uint16) { d.statsExchange.RecordKey(service, key) },
		ObserveServiceTime: func(t peers.TargetHash, took time.Duration) { d.statsExchange.RecordServiceTime(t, took) },
	})
	d.statsExchange = peers.NewStatsExchange(peers.StatsExchangeConfig{
		Name: o.Settings.Name, Domain: o.Settings.Domain, Network: o.Network, Log: o.Log, Hubs: d.hubs,
		Peers: d.peers, LocalLoads: d.dispatcher.RunningByTarget, OnFleetLoads: d.dispatcher.SetFleetLoads, OnServiceTimes: d.dispatcher.SetServiceTimes,
		OnKeySample:     func(s peers.KeySample) { d.coord.AddLoad(s) },
		RecentlyLeaving: d.views.RecentlyLeaving, OnLeaving: d.views.MarkLeavingHash,
	})
	d.coord = coordinator.New(coordinator.Config{
		Store: relay, SendHandover: relay.SendHandover, Self: d.self, Views: d.views, GrantProtocol: o.GrantProtocol, TargetStats: d.dispatcher,
		Grants: o.Settings.Grants, ColdOverage: o.Settings.ColdOverage, LeaseTTL: o.Settings.LeaseTTL, GrantTimeout: o.Settings.GrantTimeout,
		CapacityDeficit: d.capacityDeficit, Bodies: responseBodies, Log: o.Log, FirstEra: d.firstEra, FleetSawEarlierEra: fleetSawEarlierEra,
	})
	d.handler = &front.Handler{Names: o.HeaderNames, Views: d.views, Dispatcher: d.dispatcher, Bodies: requestBodies, Log: o.Log, ObserveRequest: func(r front.Result) {
		o.Metrics.ObserveRequest(r.Service, r.Status, string(r.Reason), r.Took)
		d.observeRequest(r)
	}}
	d.observeRequest = func(front.Result) {}
	o.Metrics.RegisterTargets(d.targetMetrics)
	d.gracePeriod.Store(int64(o.Settings.GracePeriod))
	return d
}

const (
	// defaultMemoryLimit is assumed if the settings do not state the instance's memory.
	defaultMemoryLimit = 256 << 20
	// Requests and responses may each hold this fraction of the memory. They have separate
	// budgets, so that callers that send slowly do not hold the memory that responses need.
	// The garbage collector may let the heap grow to twice of what is held.
	bodyMemoryFraction = 8
)

// bodyBudgets returns the budgets for the bodies of requests and of responses.
func bodyBudgets(memoryLimit int64) (requests, responses *bodybuf.Budget) {
	if memoryLimit <= 0 {
		memoryLimit = defaultMemoryLimit
	}
	return bodybuf.NewBudget(memoryLimit / bodyMemoryFraction), bodybuf.NewBudget(memoryLimit / bodyMemoryFraction)
}

// callerConnDivisor is the part of the descriptors that callers' connections may use. A request
// takes at most one connection to a target besides its caller's; the rest is for the store, other
// daemons, operators and refusals.
const callerConnDivisor = 3

// maxCallerConns returns the number of callers' connections that are served, or 0 without a
// limit.
func maxCallerConns(descriptorLimit int) int {
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil && system.Cur < math.MaxInt32 &&
		(descriptorLimit == 0 || int(system.Cur) < descriptorLimit) {
		descriptorLimit = int(system.Cur)
	}
	return descriptorLimit / callerConnDivisor
}

// Extend sets the handler served at Settings.AdminAddress, the function that is called
// for each request that ended, and background tasks that run until the daemon stops. It
// must be called before Run.
func (d *Daemon) Extend(admin http.Handler, observeRequest func(front.Result), tasks ...func(context.Context)) {
	d.admin, d.observeRequest, d.tasks = admin, observeRequest, tasks
}

// Reload applies the settings that can change while the daemon runs: the grace period, the
// drain and evacuation times, and the retry budget.
func (d *Daemon) Reload(s Settings) {
	if s.DrainTime > 0 {
		d.views.SetDrainTime(s.DrainTime)
	}
	if s.EvacuationTime > 0 {
		d.views.SetEvacuationTime(s.EvacuationTime)
	}
	d.gracePeriod.Store(int64(s.GracePeriod))
	d.dispatcher.SetRetryBudget(s.RetryBudget)
	fixed := d.options.Settings
	fixed.GracePeriod, fixed.DrainTime, fixed.EvacuationTime, fixed.RetryBudget = s.GracePeriod, s.DrainTime, s.EvacuationTime, s.RetryBudget
	s.HedgeShare = fixed.HedgeShare // not in the settings file
	s.FirstStart = fixed.FirstStart // describes the start only
	d.log.Info("settings in force", "grace_ms", s.GracePeriod.Milliseconds(), "repeat_ratio", s.RetryBudget.Ratio,
		"repeat_slack", s.RetryBudget.Slack, "restart_needed", !reflect.DeepEqual(fixed, s))
}
