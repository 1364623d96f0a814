package registrar

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/native"
	"github.com/jackdawloom/jackdawloom/internal/standin/targetsrv"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/topo/watchfeed"
)

// fixture runs a registrar with one target, and a mirror that follows the store.
type fixture struct {
	t      *testing.T
	store  *memstore.Store
	views  *view.Tracker
	server *targetsrv.Server
	addr   string
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t}
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	f.store = memstore.New(shared)
	f.restart("127.0.0.1:0")
	m := manifest.Manifest{Schema: manifest.Schema, Name: "m", Services: []manifest.Service{{
		Name: "s", PathPrefix: "/s", Shards: 4, Key: manifest.KeySource{From: manifest.KeyFromPath},
		Targets: []manifest.Target{
			{Name: "t", Address: f.addr, Domain: "x", Slots: 3, Connections: 9, ChecksGrants: true},
			// Manifests of earlier releases may contain such a target.
			{Name: "unchecked", Address: f.addr, Domain: "x", Slots: 3, Connections: 9},
		},
	}}}
	config, err := manifest.EncodeAccepted(manifest.Accepted{Revision: 1, Operation: "op", Manifest: m})
	if err != nil {
		t.Fatal(err)
	}
	res, err := f.store.Commit(context.Background(), topo.Txn{Puts: []topo.Put{
		{Key: topo.KeyConfig, Value: config}, {Key: topo.KeyCoordinator, Value: []byte("c")},
	}})
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	feed := watchfeed.New(f.store)
	var follow *mirror.Mirror
	f.views = view.NewTracker(native.Documents{}, log, func() mirror.Status { return follow.Status() })
	follow = mirror.New(feed, topo.Prefix, log, f.views.Apply)
	r := New(Config{
		Store: f.store, View: f.views.Current, CoordinatorTerm: func() (int64, bool) { return res.Rev, true },
		Readings: native.NewClockReadings(), Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { follow.Run(ctx); done <- struct{}{} }()
	go func() { r.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
		feed.Close()
		shared.Close()
		_ = f.server.Close()
	})
	return f
}

// restart starts a new run of the target, in place of the current one if there is one.
func (f *fixture) restart(address string) {
	f.t.Helper()
	if f.server != nil {
		_ = f.server.Close()
	}
	f.server = targetsrv.New(targetsrv.Config{Name: "t", ChecksGrants: true})
	a, err := f.server.Listen(context.Background(), address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.addr = a.String()
}

func (f *fixture) await(what string, ok func(t target.Record, known bool) bool) target.Record {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.views.Expire()
		if r, known := f.views.Current().Targets.Get("s/t"); ok(r, known) {
			return r
		}
	}
	f.t.Fatalf("target not %s within 10 s", what)
	return target.Record{}
}

// Guards against a registration that does not follow its target: one that stays after the
// target has gone, hides a restart or draining, or exists for a target that does not check
// grants.
func TestRegistrationFollowsTheTarget(t *testing.T) {
	f := start(t)
	first := f.await("registered", func(r target.Record, known bool) bool { return known && r.State == target.Ready })
	f.restart(f.addr)
	second := f.await("registered as another run", func(r target.Record, known bool) bool { return known && r.Incarnation() != first.Incarnation() })
	f.server.UpdateFaults(func(x *targetsrv.Faults) { x.Draining = true })
	f.await("leaving", func(r target.Record, known bool) bool { return known && r.State == target.Leaving })
	f.server.UpdateFaults(func(x *targetsrv.Faults) { x.Draining, x.Frozen = false, true })
	f.await("removed", func(_ target.Record, known bool) bool { return !known })
	f.server.UpdateFaults(func(x *targetsrv.Faults) { x.Frozen = false })
	f.await("registered again", func(r target.Record, known bool) bool { return known && r.Incarnation() == second.Incarnation() })
	if _, known := f.views.Current().Targets.Get("s/unchecked"); known {
		t.Error("a target that checks no grants is registered")
	}
}

// Guards against a registrar that continues to write after another daemon has become the
// coordinator.
func TestOnlyTheCoordinatorRegisters(t *testing.T) {
	f := start(t)
	f.await("registered", func(_ target.Record, known bool) bool { return known })
	put := topo.Put{Key: topo.KeyCoordinator, Value: []byte("another")}
	if _, err := f.store.Commit(context.Background(), topo.Txn{Puts: []topo.Put{put}, Deletes: []string{native.TargetKey("s/t")}}); err != nil {
		t.Fatal(err)
	}
	f.await("removed", func(_ target.Record, known bool) bool { return !known })
	time.Sleep(5 * writeInterval)
	if e, err := f.store.Get(context.Background(), native.TargetKey("s/t")); err != nil || e.Exists() {
		t.Errorf("registered by a daemon that no longer coordinates: %+v, %v", e, err)
	}
}
