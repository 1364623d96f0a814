// Package daemon wires the pure parts of the router to their transports: one
// goroutine per duty, joined by bounded rings.
package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jackdawloom/jackdawloom/internal/coordination/lease"
	"github.com/jackdawloom/jackdawloom/internal/pki"
	"github.com/jackdawloom/jackdawloom/internal/ring"
	"github.com/jackdawloom/jackdawloom/internal/settings"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/peernet"
)

// Sizes of the rings between duties.
const (
	triggerRing = 1
	suspectRing = 64
	pullRing    = 64
)

// Options are what a daemon is made from.
type Options struct {
	Settings    *settings.Settings
	Store       topo.Store
	Instances   topo.InstanceList // nil if there is none
	Certificate tls.Certificate
	Authorities *x509.CertPool
	Log         *slog.Logger
}

// Daemon is one router process. Use New, then Run.
type Daemon struct {
	set       *settings.Settings
	store     topo.Store
	instances topo.InstanceList
	log       *slog.Logger
	run       table.MemberID
	started   time.Time
	bound     time.Time // when the peer address was bound

	net     *peernet.Net
	docs    *documents
	fronts  *fronts
	entry   *entry
	office  *office
	metrics *metrics
	burn    *burnLog

	voterMu sync.Mutex
	voter   *lease.Voter

	memberMu    sync.Mutex
	members     []*membership
	memberCount int

	addressMu sync.Mutex
	addresses map[table.MemberID]string // by run

	fenceMu   sync.Mutex
	lastHeard map[table.MemberID]time.Time
	fencing   map[table.MemberID]bool
	fencedIDs map[table.MemberID]bool
	lastScan  time.Time // used by the fencing duty only

	heartbeatNow *ring.Ring[struct{}]
	reportWanted *ring.Ring[struct{}]
	reported     *ring.Ring[struct{}]
	suspects     *ring.Ring[table.Member]
	pulls        *ring.Ring[string]

	life     context.Context
	end      context.CancelFunc
	duties   *errgroup.Group
	stopping atomic.Bool
	inFlight atomic.Int64
	requests atomic.Uint64
	sequence atomic.Uint64

	callerServer *http.Server
	adminServer  *http.Server
	callerAddr   net.Addr
	adminAddr    net.Addr
}

// New opens the daemon's sockets. Nothing is served before Run.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		set:          o.Settings,
		store:        o.Store,
		instances:    o.Instances,
		log:          o.Log.With(slog.String("daemon", o.Settings.Daemon.ID)),
		started:      time.Now(),
		docs:         newDocuments(int(o.Settings.Limits.MaxKey)),
		metrics:      newMetrics(),
		addresses:    make(map[table.MemberID]string),
		lastHeard:    make(map[table.MemberID]time.Time),
		fencing:      make(map[table.MemberID]bool),
		fencedIDs:    make(map[table.MemberID]bool),
		heartbeatNow: ring.New[struct{}](triggerRing),
		reportWanted: ring.New[struct{}](triggerRing),
		reported:     ring.New[struct{}](triggerRing),
		suspects:     ring.New[table.Member](suspectRing),
		pulls:        ring.New[string](pullRing),
	}
	d.burn = newBurnLog(d.started)
	d.life, d.end = context.WithCancel(context.Background())
	d.duties = &errgroup.Group{}
	d.run = table.MemberID(o.Settings.Daemon.ID + "." + strconv.FormatInt(d.started.UnixNano(), 36))
	d.voter = lease.NewVoter(d.run)
	d.fronts = newFronts(d)
	d.entry = newEntry(d)
	d.addMembership(d.started)
	if err := d.listen(o); err != nil {
		d.end()
		return nil, err
	}
	d.office = newOffice(d)
	return d, nil
}

func (d *Daemon) listen(o Options) error {
	server := pki.ServerConfig(o.Certificate, o.Authorities)
	client := pki.ClientConfig(o.Certificate, o.Authorities)
	var err error
	d.net, err = peernet.Listen(d.set.Listen.Peer.String(), server, client, d.log)
	d.bound = time.Now()
	return err
}

// Addresses returns the addresses for callers, peers and administration, as
// they are bound.
func (d *Daemon) Addresses() (caller, peers, admin string) {
	return addrString(d.callerAddr), d.net.Addr(), addrString(d.adminAddr)
}

func addrString(a net.Addr) string {
	if a == nil {
		return ""
	}
	return a.String()
}

// Run serves until ctx ends, then stops gracefully: the balancer is told, the
// fronts are handed over, and requests in flight are finished.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.serveCallers(); err != nil {
		return err
	}
	if err := d.serveAdmin(); err != nil {
		return err
	}
	go d.net.Serve(d.peerHandler())
	d.log.Info("serving", slog.String("run", string(d.run)), slog.String("callers", addrString(d.callerAddr)),
		slog.String("peers", d.net.Addr()), slog.String("admin", addrString(d.adminAddr)))
	for _, duty := range []func(context.Context) error{
		d.runDocuments, d.runPulls, d.runHeartbeats, d.runPresence, d.runReports,
		d.runFencing, d.runElection, d.runCoordinator, d.runConfig, d.runInstances, d.runGauges,
		d.runBurn,
	} {
		d.duties.Go(func() error { return duty(d.life) })
	}
	<-ctx.Done()
	return d.stop()
}

func (d *Daemon) serveCallers() error {
	listener, err := net.Listen("tcp", d.set.Listen.Caller.String()) //nolint:noctx // bound once at the start
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	d.callerAddr = listener.Addr()
	d.callerServer = &http.Server{
		Handler:           http.HandlerFunc(d.serveCaller),
		MaxHeaderBytes:    int(d.set.Limits.MaxHeader),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	go d.serveOn(d.callerServer, listener)
	return nil
}

// Timeouts of the servers for callers and administration.
const (
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 120 * time.Second
)

func (d *Daemon) serveOn(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("server stopped", slog.Any("error", err))
	}
}

func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.entry.ServeHTTP(w, r)
}

// newRequestID returns an id that no other request of the fleet carries.
func (d *Daemon) newRequestID() string {
	return string(d.run) + "-" + strconv.FormatUint(d.requests.Add(1), 36) + "-" + strconv.FormatUint(rand.Uint64(), 36)
}

// Times of a graceful stop.
const (
	// balancerNotice is how long the balancer is given to see that the health
	// check fails before the sockets close.
	balancerNotice = 1 * time.Second
	stopPoll       = 20 * time.Millisecond
)

// stop ends the daemon without cutting a request in flight.
func (d *Daemon) stop() error {
	d.log.Info("stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Daemon.DrainTimeout)
	defer cancel()
	noticed := time.Now().Add(balancerNotice)
	for _, m := range d.memberships() {
		m.setLeaving()
	}
	d.reportNow()
	drained := d.awaitHandover(ctx)
	sleep(ctx, time.Until(noticed))
	err := d.callerServer.Shutdown(ctx)
	// Requests that peers forwarded may still run; ending the duties closes the
	// connections to the targets.
	d.awaitIdle(ctx)
	d.end()
	err = errors.Join(err, d.net.Shutdown(ctx), d.adminServer.Shutdown(ctx), d.duties.Wait())
	d.log.Info("stopped", slog.Bool("handed_over", drained), slog.Any("error", err))
	return err
}

func (d *Daemon) awaitIdle(ctx context.Context) {
	for d.inFlight.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, stopPoll)
	}
}

// awaitHandover waits until other daemons front this daemon's targets. It gives
// up where there is nobody to take over.
func (d *Daemon) awaitHandover(ctx context.Context) bool {
	for ctx.Err() == nil {
		t := d.docs.get().table
		if t == nil || d.leftTable(t) {
			return true
		}
		if d.alone(t) {
			return false
		}
		sleep(ctx, stopPoll)
	}
	return false
}

func (d *Daemon) leftTable(t *table.Table) bool {
	return !slices.ContainsFunc(t.Members, func(m table.Member) bool { return m.ID.Run() == d.run })
}

func (d *Daemon) alone(t *table.Table) bool {
	return !slices.ContainsFunc(t.Members, func(m table.Member) bool { return m.ID.Run() != d.run })
}

// addressOf returns the peer address of a run, as last named by a table.
func (d *Daemon) addressOf(run table.MemberID) string {
	d.addressMu.Lock()
	defer d.addressMu.Unlock()
	return d.addresses[run]
}

func (d *Daemon) learnAddresses(t *table.Table) {
	d.addressMu.Lock()
	defer d.addressMu.Unlock()
	for _, m := range t.Members {
		d.addresses[m.ID.Run()] = m.Address
	}
}

// Ready reports whether the daemon is a member with authority and every shard
// of the table in force has an owner.
func (d *Daemon) Ready() bool {
	s := d.docs.get()
	if s.table == nil || s.config == nil || d.callerAddr == nil {
		return false
	}
	if !d.present().authorityUntil().After(time.Now()) {
		return false
	}
	for _, svc := range s.table.Services {
		for _, owner := range svc.Owners {
			if owner == table.NoOwner {
				return false
			}
		}
	}
	return true
}

// Fronts returns the number of targets that this daemon fronts.
func (d *Daemon) Fronts() int { return len(d.fronts.list()) }
