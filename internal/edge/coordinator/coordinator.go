package coordinator

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/coldstart"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/ring"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Intervals, timeouts and bounds of the coordinator.
const (
	// tickInterval is how often the coordinator checks its spans.
	tickInterval = 50 * time.Millisecond
	// minStepInterval is the shortest time between two steps. Each step reads all
	// targets, and hundreds of calls may end within a second.
	minStepInterval = 10 * time.Millisecond
	// idleInterval is how often a daemon without the lease checks whether there is a
	// coordinator, in addition to the checks after each change of the view.
	idleInterval = 500 * time.Millisecond
	// defaultGrantTimeout is far above the duration of a call without load.
	defaultGrantTimeout = 600 * time.Millisecond
	// resignTimeout bounds the call that revokes the lease when the daemon stops.
	resignTimeout = 600 * time.Millisecond
	// releaseTimeout leaves time for the running requests of the keys to end. The
	// grants have expired by then.
	releaseTimeout = 4 * time.Second
	// endpointRetention is how long the endpoint of a target that is gone is kept, so
	// that its keys can still be released.
	endpointRetention = 15 * time.Second
	// maxConnsPerTarget bounds the connections to a target for grants and releases.
	maxConnsPerTarget = 12
	// resultQueueSize is the capacity of the queue of call results. At most one call is
	// pending per span.
	resultQueueSize = 4096
	// defaultBodyMemory is the default of Config.Bodies, in bytes.
	defaultBodyMemory = 4 << 20
)

// GrantProtocol builds the requests that grant keys to targets and release them, and
// interprets the responses.
type GrantProtocol interface {
	GrantRequest(ownership.Grant) (*upstream.Request, error)
	ReleaseRequest(ownership.Release) (*upstream.Request, error)
	ParseResult(*upstream.Response) (ownership.Result, string)
}

// TargetStats provides the measured service time of each target by its ID. Targets
// without a measurement are missing.
type TargetStats interface {
	ServiceTimes() map[string]time.Duration
}

// Config holds the settings and dependencies of a Coordinator.
type Config struct {
	Store         topo.Store
	Self          Identity
	Views         *view.Tracker
	GrantProtocol GrantProtocol
	TargetStats   TargetStats
	// Grants configures the ownership engine of each service.
	Grants ownership.Config
	// ColdOverage is that of dispatch.Config.
	ColdOverage float64
	// LeaseTTL bounds how long there is no coordinator after the coordinator has failed;
	// zero means two seconds.
	LeaseTTL time.Duration
	// GrantTimeout is the timeout of a grant call; zero means 600 ms.
	GrantTimeout time.Duration
	// CapacityDeficit is 0 for the instances with the highest capacity and approaches 1
	// for the instances with the lowest capacity.
	CapacityDeficit func() float64
	// SendHandover tells possible successors when the grants of this coordinator expire.
	SendHandover func(context.Context, peers.Handover)
	// FirstEra returns the earliest era of the store in which the fleet may have granted keys, as far as
	// this daemon knows. It is called once, with the era of the first copy of the store that was read.
	// Nil means era 0.
	FirstEra func(era int64) int64
	// FleetSawEarlierEra reports whether a daemon of the fleet has seen an earlier era of the store
	// than that of the view. It may be nil.
	FleetSawEarlierEra func(*view.View) bool
	// Bodies is the memory for the bodies of responses to grants and releases.
	Bodies *bodybuf.Budget
	Log    *slog.Logger
}

// Coordinator takes part in the election and, while it holds the lease, assigns the keys
// of all keyed services to targets.
type Coordinator struct {
	config        Config
	election      election
	term          *term
	engines       map[string]*engine
	results       *ring.Queue[func()]
	loads         *ring.Queue[peers.KeySample]
	endpoints     map[target.Incarnation]targetEndpoint
	lastStep      time.Duration // when the last step began
	nextRenewal   time.Duration
	renewing      bool
	renewalSentAt time.Duration
	writeCount    int
	received      receivedHandover
	restored      eraState
}

// Holder returns the name of the daemon that holds the coordinator's lease, or "" if
// there is none or its entry cannot be decoded.
func Holder(v *view.View) string {
	var holder Identity
	if !v.Coordinator.Exists() || cbor.Unmarshal(v.Coordinator.Value, &holder) != nil {
		return ""
	}
	return holder.Name
}

// engine manages the assignment of one service.
type engine struct {
	*ownership.Engine
	tableRev int64  // revision of the table in the store
	writeID  string // of the last table that was sent to the store
	kept     bool   // kept from a term of an earlier era
}

// targetEndpoint is a target's registration with a connection pool for grants and
// releases. Callers' requests use another pool, so that they do not delay grants.
type targetEndpoint struct {
	record   target.Record
	pool     *upstream.Pool
	lastSeen time.Duration
}

// loadQueueSize is the capacity of the queue of load samples; it holds the samples of
// all daemons for several ticks.
const loadQueueSize = 1024

// New returns a Coordinator that does not hold the lease.
func New(c Config) *Coordinator {
	if c.LeaseTTL == 0 {
		c.LeaseTTL = defaultLeaseTTL
	}
	if c.GrantTimeout == 0 {
		c.GrantTimeout = defaultGrantTimeout
	}
	if c.Bodies == nil {
		c.Bodies = bodybuf.NewBudget(defaultBodyMemory)
	}
	return &Coordinator{
		config:    c,
		election:  election{store: c.Store, self: c.Self, ttl: c.LeaseTTL, log: c.Log},
		engines:   make(map[string]*engine),
		results:   ring.New[func()](resultQueueSize),
		loads:     ring.New[peers.KeySample](loadQueueSize),
		endpoints: make(map[target.Incarnation]targetEndpoint),
	}
}

// AddLoad queues a load sample. The sample is dropped if the queue is full.
func (c *Coordinator) AddLoad(s peers.KeySample) { _ = c.loads.TryPut(s) }

// Run takes part in the election and assigns keys until ctx ends, then hands over to
// the next coordinator and revokes the lease.
func (c *Coordinator) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := c.config.Views.Changed()
		select {
		case <-ctx.Done():
			c.resign()
			return
		case f := <-c.results.Items():
			f()
			timer.Reset(c.delayToNextStep())
		case l := <-c.loads.Items():
			c.applySample(l)
		case <-changed:
			timer.Reset(c.delayToNextStep())
		case <-timer.C:
			c.lastStep = clock.Now()
			c.step(ctx)
			timer.Reset(c.tickDelay())
		}
	}
}

// delayToNextStep returns how long a step that is due must wait for minStepInterval.
func (c *Coordinator) delayToNextStep() time.Duration {
	return max(c.lastStep+minStepInterval-clock.Now(), 0)
}

func (c *Coordinator) tickDelay() time.Duration {
	if c.term != nil {
		return tickInterval
	}
	return idleInterval
}

func (c *Coordinator) applySample(sample peers.KeySample) {
	if e := c.engines[sample.Service]; e != nil {
		e.AddLoad(sample.Keys, sample.Weight)
	}
}

func (c *Coordinator) step(ctx context.Context) {
	now := clock.Now()
	v := c.config.Views.Current()
	c.updateEndpoints(v, now)
	c.noteEra(v)
	if c.term == nil {
		c.tryElection(ctx, v)
		return
	}
	if c.term.superseded(v, c.config.Self) {
		c.dropTerm("another daemon holds it")
		return
	}
	c.renew(ctx, now)
	if c.confirmed(now) && v.Era >= topo.EraOf(c.term.rev) {
		c.assign(ctx, v, now)
	}
}

// updateEndpoints records the endpoints of all registered targets and closes the endpoints
// of targets that have been gone for endpointRetention.
func (c *Coordinator) updateEndpoints(v *view.View, now time.Duration) {
	v.Targets.All(func(r target.Record) {
		endpoint, ok := c.endpoints[r.Incarnation()]
		if !ok || endpoint.record.Address != r.Address {
			endpoint.pool = upstream.NewPool(r.Address, maxConnsPerTarget, c.config.Bodies)
		}
		endpoint.record, endpoint.lastSeen = r, now
		c.endpoints[r.Incarnation()] = endpoint
	})
	for incarnation, endpoint := range c.endpoints {
		if now-endpoint.lastSeen > endpointRetention {
			endpoint.pool.Close()
			delete(c.endpoints, incarnation)
		}
	}
}

// tryElection campaigns for the lease if there is no coordinator.
func (c *Coordinator) tryElection(ctx context.Context, v *view.View) {
	if !v.Synced || !hasKeyedService(v) {
		return
	}
	may, first := c.mayCampaign(v)
	// The copy may show a lease of this run that has ended since.
	rev, isVacant := c.election.vacant(v, c.restored.rose)
	if !may || !isVacant {
		return
	}
	if rev == 0 && !first && !c.waitCandidateDelay(ctx) {
		return
	}
	t, err := c.election.campaign(ctx, rev)
	if err != nil {
		c.config.Log.Warn("election not decided", "error", err)
		return
	}
	if t == nil {
		return
	}
	c.term, c.nextRenewal, c.renewing = t, clock.Now()+c.election.renewInterval(), false
	c.engines = c.takeKept(t)
	c.config.Log.Info("coordinator's lease won", "term", t.rev, "lease", int64(t.lease))
}

// waitCandidateDelay gives the candidates with a shorter delay time to win. It reports
// whether there is still no coordinator afterwards.
func (c *Coordinator) waitCandidateDelay(ctx context.Context) bool {
	delay := c.election.candidateDelay(c.config.Views.Current().Coordinator.ModRev)
	delay += time.Duration(c.config.CapacityDeficit() * float64(maxDeficitDelay))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		changed := c.config.Views.Changed()
		if c.config.Views.Current().Coordinator.Exists() {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-timer.C:
			return true
		}
	}
}

func hasKeyedService(v *view.View) bool {
	if v.Config == nil {
		return false
	}
	for _, s := range v.Config.Services {
		if s.Keyed {
			return true
		}
	}
	return false
}

func (c *Coordinator) enqueue(f func()) {
	if err := c.results.TryPut(f); err != nil {
		c.config.Log.Error("coordinator's event queue did not accept an event; dropping it", "error", err)
	}
}

// assign advances the ownership engine of each keyed service.
func (c *Coordinator) assign(ctx context.Context, v *view.View, now time.Duration) {
	for name, s := range v.Config.Services {
		if !s.Keyed {
			continue
		}
		e := c.engines[name]
		if e == nil || e.kept && !c.resume(e, v, name) {
			if !c.eraSettled(v, name, now) {
				continue
			}
			e = c.openEngine(v, name, now)
		}
		e.SetTargets(c.ownershipTargets(v, name, now), now)
		e.SetBalancing(c.config.Views.StoreUp())
		c.execute(ctx, name, e, e.Tick(now))
	}
}

func (c *Coordinator) openEngine(v *view.View, name string, now time.Duration) *engine {
	e := &engine{}
	table := ranges.Empty()
	if t := v.Tables[name]; t != nil {
		table = t.Table
		if topo.EraOf(t.Rev) == topo.EraOf(c.term.rev) {
			e.tableRev = t.Rev
		}
	}
	e.Engine = c.newOwnership(v, name, table, now)
	e.ApplyGrantExpiries(c.received.remaining(name, now), now)
	c.engines[name] = e
	c.config.Log.Info("assigning keys", "service", name, "term", c.term.rev, "table_revision", e.tableRev, "spans", len(table.Spans),
		"era", v.Era, "era_age_ms", (now - c.restored.since).Milliseconds(), "first_era", c.restored.first, "saw_earlier_era", c.restored.rose, "fleet_saw_earlier_era", c.fleetSawEarlierEra(v))
	return e
}

// Bounds of the factor by which a target's measured service time scales its capacity.
const (
	minSpeedFactor = 0.1
	maxSpeedFactor = 2.5
)

func (c *Coordinator) ownershipTargets(v *view.View, service string, now time.Duration) []ownership.Target {
	records := v.Targets.Service(service)
	serviceTimes := c.config.TargetStats.ServiceTimes()
	var sum time.Duration
	n := 0
	for _, r := range records {
		if s := serviceTimes[r.ID]; s > 0 {
			sum += s
			n++
		}
	}
	coldRate := v.Config.Services[service].ColdRate
	out := make([]ownership.Target, 0, len(records))
	for _, r := range records {
		t := ownership.Target{Incarnation: r.Incarnation(), Capacity: float64(r.Slots), Leaving: r.State != target.Ready}
		if s := serviceTimes[r.ID]; s > 0 && n > 0 {
			t.Capacity *= min(max(float64(sum)/float64(n)/float64(s), minSpeedFactor), maxSpeedFactor)
		}
		if coldRate > 0 && r.ColdUntil > now {
			t.MaxRate = coldstart.OwnerRate(coldRate, c.config.ColdOverage)
		}
		out = append(out, t)
	}
	return out
}

// execute carries out the actions that an engine has decided on.
func (c *Coordinator) execute(ctx context.Context, service string, e *engine, a ownership.Actions) {
	for _, g := range a.Grants {
		c.sendGrant(ctx, service, e, g)
	}
	for _, r := range a.Releases {
		c.sendRelease(ctx, service, e, r)
	}
	if a.Table != nil {
		c.writeTable(ctx, service, e, a.Table)
	}
}

func (c *Coordinator) sendGrant(ctx context.Context, service string, e *engine, g ownership.Grant) {
	// Copied because a renewal may change the expiry of the lease concurrently.
	t := *c.term
	endpoint, ok := c.endpoints[g.Span.Incarnation()]
	if !ok {
		e.HandleGrantResult(g, ownership.Failed, clock.Now())
		return
	}
	go func() {
		result := ownership.NotSent
		var cause error
		// A process that was suspended must not send after the lease has expired.
		if t.valid(clock.Now()) {
			req, err := c.config.GrantProtocol.GrantRequest(g)
			if err == nil {
				req.NotAfter = t.lastSend()
				result, _, err = c.call(ctx, endpoint, req, c.config.GrantTimeout)
			}
			cause = err
		}
		if result != ownership.OK {
			c.config.Log.Info("grant without success", "service", service, "target", g.Span.Owner, "from", g.Span.From,
				"to", g.Span.To, "fence", g.Span.Fence, "fenced", result == ownership.Fenced, "error", cause)
		}
		c.enqueue(func() { e.HandleGrantResult(g, result, clock.Now()) })
	}()
}

func (c *Coordinator) sendRelease(ctx context.Context, service string, e *engine, r ownership.Release) {
	endpoint, ok := c.endpoints[c.currentIncarnation(r.Span.Incarnation())]
	if !ok {
		e.HandleReleaseResult(r, ownership.Failed, "", clock.Now())
		return
	}
	go func() {
		start := clock.Now()
		result := ownership.Failed
		handover := ""
		req, err := c.config.GrantProtocol.ReleaseRequest(r)
		if err == nil {
			// The response means that no work on the keys is left. Many targets return no ID to
			// grants and releases, so a late copy of the response to a grant would mean the same.
			req.OwnConnection = true
			result, handover, err = c.call(ctx, endpoint, req, releaseTimeout)
		}
		c.config.Log.Info("release ended", "service", service, "target", r.Span.Owner, "from", r.Span.From, "to", r.Span.To,
			"fence", r.Span.Fence, "released", result == ownership.OK, "took_ms", (clock.Now() - start).Milliseconds(), "error", err)
		c.enqueue(func() { e.HandleReleaseResult(r, result, handover, clock.Now()) })
	}()
}

// currentIncarnation returns the registered incarnation of a target, which may hold keys
// that were granted to an earlier incarnation. It returns the given incarnation if the
// target is not registered.
func (c *Coordinator) currentIncarnation(incarnation target.Incarnation) target.Incarnation {
	if r, registered := c.config.Views.Current().Targets.Get(incarnation.ID); registered {
		return r.Incarnation()
	}
	return incarnation
}

func (c *Coordinator) call(ctx context.Context, endpoint targetEndpoint, req *upstream.Request, timeout time.Duration) (ownership.Result, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req.Host, req.Target = endpoint.record.Address, endpoint.record.ID
	// The ID tells the response apart from a late copy of an earlier one.
	req.ID, req.EchoOptional = rand.Text(), true
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	req.Header.Set(req.Names.RequestID, req.ID)
	response, err := endpoint.pool.Send(ctx, req)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return ownership.NotSent, "", err
	case err != nil:
		return ownership.Failed, "", err
	}
	defer response.Release()
	if req.Names.IsLeaving(response.Header) && response.Status != http.StatusMisdirectedRequest {
		c.config.Views.MarkLeaving(endpoint.record.Incarnation(), "response to the coordinator")
	}
	if remaining, ok := req.Names.ColdTime(response.Header); ok && remaining > 0 {
		c.config.Views.MarkCold(endpoint.record.Incarnation(), remaining, "response to the coordinator")
	}
	result, handover := c.config.GrantProtocol.ParseResult(response)
	return result, handover, nil
}
