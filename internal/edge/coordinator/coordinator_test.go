package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/standin/partition"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// pausableStore is a store with one lease, which does not expire while the store is down.
type pausableStore struct {
	topo.Store
	views *view.Tracker

	mu            sync.Mutex
	down          bool
	renewalsHang  bool // renewals get no response
	rev           int64
	entries       map[string]topo.Entry
	leaseEnded    bool
	leasesGranted int
	renewals      int
}

func (s *pausableStore) GrantLease(context.Context, time.Duration) (topo.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, topo.ErrUnavailable
	}
	s.leasesGranted++
	return topo.LeaseID(topo.Position(topo.EraOf(s.rev), int64(s.leasesGranted))), nil
}

func (s *pausableStore) KeepAlive(ctx context.Context, id topo.LeaseID) error {
	s.mu.Lock()
	hangs := s.renewalsHang
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return topo.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return topo.ErrUnavailable
	case topo.EraOf(int64(id)) < topo.EraOf(s.rev):
		return errors.Join(topo.ErrLeaseNotFound, topo.ErrEarlierEra)
	case s.leaseEnded:
		return topo.ErrLeaseNotFound
	}
	s.renewals++
	return nil
}

func (s *pausableStore) RevokeLease(context.Context, topo.LeaseID) error { return nil }

func (s *pausableStore) Get(_ context.Context, key string) (topo.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return topo.Entry{}, topo.ErrUnavailable
	}
	return s.entries[key], nil
}

func (s *pausableStore) Commit(_ context.Context, txn topo.Txn) (topo.TxnResult, error) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return topo.TxnResult{}, topo.ErrUnavailable
	}
	for _, c := range txn.Compares {
		if s.entries[c.Key].ModRev != c.Rev {
			s.mu.Unlock()
			return topo.TxnResult{Rev: s.rev}, nil
		}
	}
	s.rev++
	var changed []topo.Entry
	for _, p := range txn.Puts {
		e := topo.Entry{Key: p.Key, Value: p.Value, CreateRev: s.rev, ModRev: s.rev, Lease: p.Lease}
		s.entries[p.Key] = e
		changed = append(changed, e)
	}
	result := topo.TxnResult{Succeeded: true, Rev: s.rev}
	s.mu.Unlock()
	s.views.Apply(mirror.Change{Entries: changed, Snapshot: false})
	return result, nil
}

func (s *pausableStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// documents decodes any configuration to one keyed service and any registration to a
// target of that service.
type documents struct{ address string }

func (documents) Prefix() string        { return "" }
func (documents) ConfigKey() string     { return "config" }
func (documents) TargetsPrefix() string { return "targets/" }

func (documents) EvacuatedDomain(string) (string, bool) { return "", false }

func (documents) DecodeConfig([]byte) (*route.Config, error) {
	return route.New(1, nil, []route.Service{{Name: "s", Keyed: true}}, route.Limits{}), nil
}

func (d documents) DecodeTarget(key string, _ []byte) (target.Record, error) {
	return target.Record{
		ID: strings.TrimPrefix(key, "targets/"), Service: "s", Address: d.address, Slots: 3, State: target.Ready, Epoch: 1,
	}, nil
}

// fakeProtocol builds requests for a plain HTTP server and records the duration of the
// last grant and the requests of all grants.
type fakeProtocol struct {
	grantDuration *atomic.Int64
	built         *builtGrants
}

// grantNumber is the header field that tells which request of a grant has arrived.
const grantNumber = "Grant-Number"

// builtGrants are the requests of all grants, and when they were built.
type builtGrants struct {
	mu       sync.Mutex
	requests []*upstream.Request
	times    []time.Duration
}

func (b *builtGrants) add(r *upstream.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Header.Set(grantNumber, strconv.Itoa(len(b.requests)))
	b.requests, b.times = append(b.requests, r), append(b.times, clock.Now())
}

// arrived returns when the request that has arrived was built, and the time from which it was not
// to be sent, or 0 if it might have been sent at any time.
func (b *builtGrants) arrived(h http.Header) (built, lastSend time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := strconv.Atoi(h.Get(grantNumber))
	if err != nil || n < 0 || n >= len(b.requests) {
		return clock.Now(), 0
	}
	return b.times[n], b.requests[n].NotAfter
}

var headerNames = &upstream.HeaderNames{RequestID: "Id", TimeLeft: "Left", ExpectTarget: "Expect-Target", NotRun: "Not-Run", Stamp: "Stamp"}

func newRequest(path string) (*upstream.Request, error) {
	return &upstream.Request{Names: headerNames, Method: http.MethodPost, URI: path, Header: http.Header{}}, nil
}

func (c fakeProtocol) GrantRequest(g ownership.Grant) (*upstream.Request, error) {
	c.grantDuration.Store(int64(g.Duration))
	r, err := newRequest("/grant")
	if err == nil {
		c.built.add(r)
	}
	return r, err
}

func (fakeProtocol) ReleaseRequest(ownership.Release) (*upstream.Request, error) {
	return newRequest("/release")
}
func (fakeProtocol) ParseResult(*upstream.Response) (ownership.Result, string) {
	return ownership.OK, ""
}

// emptyStats has no service times and counts how often it is read.
type emptyStats struct{ calls *atomic.Int64 }

func (s emptyStats) ServiceTimes() map[string]time.Duration {
	s.calls.Add(1)
	return nil
}

// fixture is a running coordinator with a store and a target that counts its grants.
type fixture struct {
	store        *pausableStore
	coord        *Coordinator
	views        *view.Tracker
	link         *partition.Link // path to the target
	grants       atomic.Int64
	built        builtGrants
	unbounded    atomic.Int64 // number of grants that might have been sent at any time
	lastSend     atomic.Int64 // latest time until which a grant that arrived might have been sent
	lastBuilt    atomic.Int64 // latest time at which a grant that arrived was built, which is before it was sent
	grantDelay   atomic.Int64 // time that the target takes to answer a grant
	lastDuration atomic.Int64 // duration of the last grant
	statsReads   atomic.Int64 // number of reads of the targets' service times
	stop         func()       // stops the coordinator and waits for its end
	handover     peers.Handover
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := startWith(t, func(*fixture, *Config) {})
	f.await(t, "first grant", func() bool { return f.grants.Load() > 0 })
	return f
}

// startWith starts a coordinator after prepare has changed its settings and its store.
func startWith(t *testing.T, prepare func(*fixture, *Config)) *fixture {
	t.Helper()
	return startWithTarget(t, func(http.ResponseWriter, *http.Request) {}, prepare)
}

// startWithTarget is startWith with a target that serves each call by the given function.
func startWithTarget(t *testing.T, serve http.HandlerFunc, prepare func(*fixture, *Config)) *fixture {
	t.Helper()
	f := &fixture{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(w, r)
		if r.URL.Path == "/grant" {
			f.noteGrant(f.built.arrived(r.Header))
			f.grants.Add(1)
			time.Sleep(time.Duration(f.grantDelay.Load()))
		}
	}))
	t.Cleanup(server.Close)
	log := slog.New(slog.DiscardHandler)
	link, err := partition.New(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = link.Close() })
	f.link = link
	docs := documents{link.Address()}
	f.views = view.NewTracker(docs, log, func() mirror.Status { return mirror.Status{Up: true} })
	f.views.Apply(mirror.Change{Snapshot: true, Entries: []topo.Entry{
		{Key: "config", CreateRev: 1, ModRev: 1}, {Key: "targets/t1", CreateRev: 1, ModRev: 1},
	}})
	f.store = &pausableStore{views: f.views, rev: 1, entries: make(map[string]topo.Entry)}
	config := Config{
		Store: f.store, Self: Identity{Name: "d1", RunID: "run"}, Views: f.views, GrantProtocol: fakeProtocol{&f.lastDuration, &f.built}, TargetStats: emptyStats{&f.statsReads},
		Grants: ownership.Config{MaxGrantDuration: 10 * time.Second}, CapacityDeficit: func() float64 { return 0 }, Log: log,
		SendHandover: func(_ context.Context, h peers.Handover) { f.handover = h },
	}
	prepare(f, &config)
	f.coord = New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.coord.Run(ctx) }()
	f.stop = func() { cancel(); <-done }
	t.Cleanup(f.stop)
	return f
}

func (f *fixture) await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(6 * time.Second); !reached(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 6 s", what)
		}
	}
}

// noteGrant records the times of a grant that has arrived, as builtGrants.arrived returns them.
func (f *fixture) noteGrant(built, lastSend time.Duration) {
	if lastSend == 0 {
		f.unbounded.Add(1)
	}
	raise(&f.lastSend, lastSend)
	raise(&f.lastBuilt, built)
}

// raise sets a time to a later one.
func raise(to *atomic.Int64, at time.Duration) {
	for old := to.Load(); int64(at) > old && !to.CompareAndSwap(old, int64(at)); old = to.Load() {
	}
}

// awaitGrantStop waits until the lease of a store that has just gone down has expired, checks
// that no more grants are sent, and returns the number of grants until then. A busy machine may
// count a grant late that was sent in time. So each grant that arrives must have been built before
// the lease's end and be bound to it, which package upstream checks when it sends, and none may
// arrive once the calls that began before the lease's end have ended.
func (f *fixture) awaitGrantStop(t *testing.T) int64 {
	t.Helper()
	leaseEnd := clock.Now() + defaultLeaseTTL
	time.Sleep(defaultLeaseTTL)
	inTime := f.grants.Load()
	time.Sleep(defaultGrantTimeout)
	before := f.grants.Load()
	time.Sleep(2 * ownership.DefaultRenewInterval)
	after := f.grants.Load()
	if after != before {
		t.Errorf("%d grants after the lease may have expired, %d of them after all calls had ended", after-inTime, after-before)
	}
	if n := f.unbounded.Load(); n > 0 {
		t.Errorf("%d grants were not bound to the lease", n)
	}
	if late := time.Duration(f.lastSend.Load()) - (leaseEnd - leaseMargin); late > 0 {
		t.Errorf("grants could be sent until %v after the last time under the lease", late)
	}
	if late := time.Duration(f.lastBuilt.Load()) - leaseEnd; late >= 0 {
		t.Errorf("a grant was sent %v after the lease may have expired, or later", late)
	}
	if t.Failed() {
		t.FailNow()
	}
	return before
}

// Guards against a coordinator that grants after its lease may have expired, and against
// a coordinator that discards the state of its grants although the lease did not expire in
// a store that was down: the next coordinator had to wait ten seconds before it could
// reassign the keys of failed targets.
func TestResumesWithSameLeaseAfterStoreOutage(t *testing.T) {
	f := start(t)
	f.store.update(func() { f.store.down = true })
	before := f.awaitGrantStop(t)
	f.store.update(func() { f.store.down = false })
	f.await(t, "grant after the outage", func() bool { return f.grants.Load() > before })
	f.store.update(func() {
		if f.store.leasesGranted != 1 {
			t.Errorf("%d leases granted, want the first one only", f.store.leasesGranted)
		}
	})
}

// Guards against a coordinator that resumes granting although its lease ended or its key
// was replaced while it could not reach the store.
func TestDoesNotResumeWithoutCoordinatorKey(t *testing.T) {
	for name, lose := range map[string]func(*pausableStore){
		"lease ended": func(s *pausableStore) { s.leaseEnded = true },
		"key replaced": func(s *pausableStore) {
			s.entries[view.CoordinatorKey] = topo.Entry{Key: view.CoordinatorKey, ModRev: s.rev + 1, CreateRev: s.rev + 1, Value: []byte{0xf6}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.store.update(func() { f.store.down = true })
			before := f.awaitGrantStop(t)
			f.store.update(func() { lose(f.store); f.store.down = false })
			time.Sleep(2 * ownership.DefaultRenewInterval)
			f.store.update(func() {
				if got := f.grants.Load() - before; got > 0 && f.store.leasesGranted < 2 {
					t.Errorf("%d grants without the lease", got)
				}
			})
		})
	}
}

// Guards against two coordinators at once: a coordinator must stop when the view shows
// another coordinator that was elected later.
func TestStopsWhenSuperseded(t *testing.T) {
	f := start(t)
	f.views.Apply(mirror.Change{Entries: []topo.Entry{{
		Key: view.CoordinatorKey, Value: []byte{0xa2, 0x01, 0x62, 'd', '2', 0x02, 0x61, 'x'}, CreateRev: 99, ModRev: 99,
	}}})
	time.Sleep(200 * time.Millisecond)
	before := f.grants.Load()
	time.Sleep(2 * ownership.DefaultRenewInterval)
	if after := f.grants.Load(); after != before {
		t.Errorf("%d grants after %s became the coordinator", after-before, fmt.Sprint(Holder(f.views.Current())))
	}
}

// Guards against a coordinator that stops without handing over when its grants expire,
// and against a handover that omits keys or reports too short a time.
func TestHandsOverGrantExpiriesOnStop(t *testing.T) {
	f := start(t)
	time.Sleep(200 * time.Millisecond)
	f.stop()
	keys := 0
	for _, e := range f.handover.GrantExpiries["s"] {
		keys += int(e.To) - int(e.From) + 1
		if e.Fence == 0 || e.Remaining < ownership.DefaultGrantDuration-ownership.DefaultRenewInterval || e.Remaining > ownership.DefaultGrantDuration+2*time.Second {
			t.Errorf("grant of keys %d-%d under fence %d expires in %v", e.From, e.To, e.Fence, e.Remaining)
		}
	}
	if keys != ranges.KeyCount {
		t.Errorf("handover covers %d keys, want all", keys)
	}
}

// Guards against grants that expire while a renewal of the lease waits for a store that
// does not respond. With a store that took 900 ms for each call, the renewal failed only
// after the lease had become uncertain, and keys had no owner once their short grants had
// expired.
func TestExtendsGrantsBeforeRenewalFails(t *testing.T) {
	f := start(t)
	f.store.update(func() { f.store.renewalsHang = true })
	hangStart := time.Now()
	f.await(t, "long grant", func() bool { return time.Duration(f.lastDuration.Load()) == 10*time.Second })
	if took := time.Since(hangStart); took > defaultLeaseTTL {
		t.Errorf("grants were extended %v after the store stopped responding; the TTL of the lease is %v", took, defaultLeaseTTL)
	}
}

// Guards against a step, which reads all targets, for every single change or result: in
// a large fleet there are hundreds of changes and results per second.
func TestBatchesChanges(t *testing.T) {
	f := start(t)
	before, start := f.statsReads.Load(), time.Now()
	for i := range 300 {
		entry := topo.Entry{Key: "targets/t2", CreateRev: 1, ModRev: int64(10 + i)}
		f.views.Apply(mirror.Change{Entries: []topo.Entry{entry}})
		time.Sleep(time.Millisecond)
	}
	took := time.Since(start)
	if reads, most := f.statsReads.Load()-before, int64(took/minStepInterval)+2; reads > most {
		t.Errorf("%d reads of all targets in %v, want at most %d", reads, took, most)
	}
}

// Guards against a data race between grant calls and the coordinator's loop: a grant
// read the term while a renewal changed the lease's expiry.
func TestLeaseIsRenewedDuringGrants(t *testing.T) {
	f := start(t)
	f.grantDelay.Store(int64(defaultGrantTimeout / 2))
	renewals := func() (n int) {
		f.store.update(func() { n = f.store.renewals })
		return n
	}
	before, grants := renewals(), f.grants.Load()
	f.await(t, "renewals beside grants", func() bool { return renewals() > before+2 && f.grants.Load() > grants+2 })
}

// Guards against grants that arrive after their calls have failed: a partition held them up,
// and their target took keys that had another owner by then.
func TestNoGrantArrivesAfterItsCall(t *testing.T) {
	f := start(t)
	f.link.Cut()
	f.await(t, "grant that is held up", func() bool { held, _ := f.link.Counts(); return held > 0 })
	time.Sleep(2 * defaultGrantTimeout)
	f.stop()
	time.Sleep(200 * time.Millisecond) // the calls that were cancelled close their connections
	f.link.Heal()
	time.Sleep(200 * time.Millisecond)
	if held, late := f.link.Counts(); late > 0 {
		t.Errorf("%d of %d bytes of grants and releases arrived after their calls had failed", late, held)
	}
}
