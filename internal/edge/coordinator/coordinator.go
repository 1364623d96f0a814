package coordinator

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/ring"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// Times of the duty.
const (
	// tickEvery is how often the coordinator looks at its spans.
	tickEvery = 50 * time.Millisecond
	// stepPause is the least time between two looks. Each look reads all targets, and
	// hundreds of calls may end within a second.
	stepPause = 10 * time.Millisecond
	// idleEvery is how often a candidate looks whether it is needed, besides
	// after each change.
	idleEvery = 500 * time.Millisecond
	// grantTimeout is far above the time of a call without load.
	grantTimeout = 600 * time.Millisecond
	// resignTimeout bounds the end of the lease when the daemon stops.
	resignTimeout = 600 * time.Millisecond
	// releaseTimeout covers the running requests of the keys. Grants have run out
	// by then.
	releaseTimeout = 4 * time.Second
	// addressTime is how long the address of a target that is gone is kept, to
	// take its keys back.
	addressTime = 15 * time.Second
	// callConnections bounds the connections to a target for calls about keys.
	callConnections = 12
	// resultRing holds the outcomes of calls; there is at most one a span.
	resultRing = 4096
)

// GrantProtocol makes the calls that give keys to targets.
type GrantProtocol interface {
	Grant(ownership.Grant) (*upstream.Request, error)
	Release(ownership.Release) (*upstream.Request, error)
	Result(*upstream.Response) (ownership.Result, string)
}

// TargetStats tells how fast targets are.
type TargetStats interface {
	Speeds() map[string]time.Duration
}

// Config holds what a Coordinator needs.
type Config struct {
	Store         topo.Store
	Self          Identity
	Views         *view.Tracker
	GrantProtocol GrantProtocol
	TargetStats   TargetStats
	// Grants holds the times of grants.
	Grants ownership.Config
	// LeaseTTL bounds how long nobody coordinates after a loss; zero means two
	// seconds.
	LeaseTTL time.Duration
	// GrantTimeout is the time limit of a grant; zero means 600 ms.
	GrantTimeout time.Duration
	// CapacityDeficit is 0 for the strongest instances and nears 1 for the weakest.
	CapacityDeficit func() float64
	// SendHandover tells successors how long the grants of this coordinator last.
	SendHandover func(context.Context, peers.Handover)
	Log          *slog.Logger
}

// Coordinator takes part in the election and, while it holds the lease, assigns
// the keys of all keyed services.
type Coordinator struct {
	config   Config
	election election
	term     *term
	engines  map[string]*engine
	results  *ring.Queue[func()]
	loads    *ring.Queue[peers.KeySample]
	known    map[target.Incarnation]address
	stepped  time.Duration // when the last step began
	keepAt   time.Duration
	keeping  bool
	keptAt   time.Duration // when the last renewal was sent
	writes   int
	told     told
}

// Holder returns the name of the daemon that holds the lease, or "".
func Holder(v *view.View) string {
	var holder Identity
	if !v.Coordinator.Exists() || cbor.Unmarshal(v.Coordinator.Value, &holder) != nil {
		return ""
	}
	return holder.Name
}

// engine is the assignment of one service.
type engine struct {
	*ownership.Engine
	rev int64 // revision of the table in the store
}

// address is where calls about a target's keys go. They have connections of
// their own, so that requests do not hold them up.
type address struct {
	record target.Record
	pool   *upstream.Pool
	seen   time.Duration
}

// loadRing holds the samples of all daemons for some ticks.
const loadRing = 1024

// New returns a Coordinator that does not hold the lease.
func New(c Config) *Coordinator {
	if c.LeaseTTL == 0 {
		c.LeaseTTL = leaseTTL
	}
	if c.GrantTimeout == 0 {
		c.GrantTimeout = grantTimeout
	}
	return &Coordinator{
		config:   c,
		election: election{store: c.Store, self: c.Self, ttl: c.LeaseTTL, log: c.Log},
		engines:  make(map[string]*engine),
		results:  ring.New[func()](resultRing),
		loads:    ring.New[peers.KeySample](loadRing),
		known:    make(map[target.Incarnation]address),
	}
}

// AddLoad passes on a sample; it is dropped if samples arrive faster than they
// are used.
func (c *Coordinator) AddLoad(s peers.KeySample) { _ = c.loads.TryPut(s) }

// Run takes part until ctx ends, then gives the lease back.
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
			timer.Reset(c.untilStep())
		case l := <-c.loads.Items():
			c.takeLoad(l)
		case <-changed:
			timer.Reset(c.untilStep())
		case <-timer.C:
			c.stepped = clock.Now()
			c.step(ctx)
			timer.Reset(c.pause())
		}
	}
}

// untilStep returns how long to wait with a step for which there is a cause.
func (c *Coordinator) untilStep() time.Duration {
	return max(c.stepped+stepPause-clock.Now(), 0)
}

func (c *Coordinator) pause() time.Duration {
	if c.term != nil {
		return tickEvery
	}
	return idleEvery
}

func (c *Coordinator) takeLoad(l peers.KeySample) {
	if e := c.engines[l.Service]; e != nil {
		e.AddLoad(l.Keys, l.Weight)
	}
}

func (c *Coordinator) step(ctx context.Context) {
	now := clock.Now()
	v := c.config.Views.Current()
	c.remember(v, now)
	if c.term == nil {
		c.stand(ctx, v)
		return
	}
	if c.term.superseded(v, c.config.Self) {
		c.lost("another daemon holds it")
		return
	}
	c.renew(ctx, now)
	if c.confirmed(now) {
		c.assign(ctx, v, now)
	}
}

// remember keeps the addresses of targets, also of those that are gone.
func (c *Coordinator) remember(v *view.View, now time.Duration) {
	v.Targets.All(func(r target.Record) {
		a, ok := c.known[r.Incarnation()]
		if !ok || a.record.Address != r.Address {
			a.pool = upstream.NewPool(r.Address, callConnections)
		}
		a.record, a.seen = r, now
		c.known[r.Incarnation()] = a
	})
	for life, a := range c.known {
		if now-a.seen > addressTime {
			a.pool.Close()
			delete(c.known, life)
		}
	}
}

// stand becomes the coordinator if there is none.
func (c *Coordinator) stand(ctx context.Context, v *view.View) {
	if !v.Synced || !hasKeyed(v) {
		return
	}
	rev, vacant := c.election.vacant(v)
	if !vacant {
		return
	}
	if rev == 0 && !c.waitRank(ctx) {
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
	c.term, c.keepAt, c.keeping = t, clock.Now()+c.election.keepEvery(), false
	c.engines = make(map[string]*engine)
	c.config.Log.Info("coordinator's lease won", "term", t.rev, "lease", int64(t.lease))
}

// waitRank waits for the candidates before this one. It reports whether there is
// still no coordinator.
func (c *Coordinator) waitRank(ctx context.Context) bool {
	delay := c.election.rank(c.config.Views.Current().Coordinator.ModRev)
	delay += time.Duration(c.config.CapacityDeficit() * float64(weakDelay))
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

func hasKeyed(v *view.View) bool {
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

func (c *Coordinator) put(f func()) {
	if err := c.results.TryPut(f); err != nil {
		c.config.Log.Error("outcome of a call dropped", "error", err)
	}
}

// assign advances the services.
func (c *Coordinator) assign(ctx context.Context, v *view.View, now time.Duration) {
	for name, s := range v.Config.Services {
		if !s.Keyed {
			continue
		}
		e := c.engines[name]
		if e == nil {
			e = c.open(v, name, now)
		}
		e.SetTargets(c.targets(v, name), now)
		c.perform(ctx, name, e, e.Tick(now))
	}
}

func (c *Coordinator) open(v *view.View, name string, now time.Duration) *engine {
	e := &engine{}
	table := ranges.Empty()
	if t := v.Tables[name]; t != nil {
		table, e.rev = t.Table, t.Rev
	}
	e.Engine = ownership.New(c.config.Grants, table, now)
	e.ApplyGrantExpiries(c.told.left(name, now), now)
	c.engines[name] = e
	c.config.Log.Info("assigning keys", "service", name, "term", c.term.rev, "table_revision", e.rev, "spans", len(table.Spans))
	return e
}

// Bounds of the capacity that a measured service time gives.
const (
	leastSpeed = 0.1
	mostSpeed  = 2.5
)

func (c *Coordinator) targets(v *view.View, service string) []ownership.Target {
	records := v.Targets.Service(service)
	speeds := c.config.TargetStats.Speeds()
	var sum time.Duration
	n := 0
	for _, r := range records {
		if s := speeds[r.ID]; s > 0 {
			sum += s
			n++
		}
	}
	out := make([]ownership.Target, 0, len(records))
	for _, r := range records {
		t := ownership.Target{Incarnation: r.Incarnation(), Capacity: float64(r.Slots), Leaving: r.State != target.Ready}
		if s := speeds[r.ID]; s > 0 && n > 0 {
			t.Capacity *= min(max(float64(sum)/float64(n)/float64(s), leastSpeed), mostSpeed)
		}
		out = append(out, t)
	}
	return out
}

// perform carries out what an engine wants.
func (c *Coordinator) perform(ctx context.Context, service string, e *engine, a ownership.Actions) {
	for _, g := range a.Grants {
		c.grant(ctx, service, e, g)
	}
	for _, r := range a.Releases {
		c.release(ctx, service, e, r)
	}
	if a.Table != nil {
		c.write(ctx, service, e, a.Table)
	}
}

func (c *Coordinator) grant(ctx context.Context, service string, e *engine, g ownership.Grant) {
	// A copy, as renewals change the end of the lease meanwhile.
	t := *c.term
	known, ok := c.known[g.Span.Incarnation()]
	if !ok {
		e.HandleGrantResult(g, ownership.Failed, clock.Now())
		return
	}
	go func() {
		result := ownership.NotSent
		var cause error
		// A process that was suspended must not send after the lease has ended.
		if t.valid(clock.Now()) {
			req, err := c.config.GrantProtocol.Grant(g)
			if err == nil {
				result, _, err = c.call(ctx, known, req, c.config.GrantTimeout)
			}
			cause = err
		}
		if result != ownership.OK {
			c.config.Log.Info("grant without success", "service", service, "target", g.Span.Owner, "from", g.Span.From,
				"to", g.Span.To, "fence", g.Span.Fence, "fenced", result == ownership.Fenced, "error", cause)
		}
		c.put(func() { e.HandleGrantResult(g, result, clock.Now()) })
	}()
}

func (c *Coordinator) release(ctx context.Context, service string, e *engine, r ownership.Release) {
	known, ok := c.known[c.present(r.Span.Incarnation())]
	if !ok {
		e.HandleReleaseResult(r, ownership.Failed, "", clock.Now())
		return
	}
	go func() {
		start := clock.Now()
		result := ownership.Failed
		handover := ""
		req, err := c.config.GrantProtocol.Release(r)
		if err == nil {
			result, handover, err = c.call(ctx, known, req, releaseTimeout)
		}
		c.config.Log.Info("release ended", "service", service, "target", r.Span.Owner, "from", r.Span.From, "to", r.Span.To,
			"fence", r.Span.Fence, "released", result == ownership.OK, "took_ms", (clock.Now() - start).Milliseconds(), "error", err)
		c.put(func() { e.HandleReleaseResult(r, result, handover, clock.Now()) })
	}()
}

// present returns the registered life of a target, which may hold what was meant for
// the one before, or the given one if none is registered.
func (c *Coordinator) present(life target.Incarnation) target.Incarnation {
	if r, registered := c.config.Views.Current().Targets.Get(life.ID); registered {
		return r.Incarnation()
	}
	return life
}

func (c *Coordinator) call(ctx context.Context, a address, req *upstream.Request, timeout time.Duration) (ownership.Result, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req.Host, req.Target = a.record.Address, a.record.ID
	answer, err := a.pool.Send(ctx, req)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return ownership.NotSent, "", err
	case err != nil:
		return ownership.Failed, "", err
	}
	result, handover := c.config.GrantProtocol.Result(answer)
	return result, handover, nil
}
