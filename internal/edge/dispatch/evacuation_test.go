package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// domainDocs decodes the registrations of targets that are named SERVICE-DOMAIN.
type domainDocs struct{ mixedDocs }

func (d domainDocs) DecodeTarget(key string, b []byte) (target.Record, error) {
	r, err := d.mixedDocs.DecodeTarget(key, b)
	_, r.Domain, _ = strings.Cut(r.ID, "-")
	return r, err
}

// Guards against refusing callers of keys in an evacuated domain before the keys have moved,
// against sending requests without keys there, and against holding requests of a service whose
// targets are all evacuated.
func TestEvacuatedDomains(t *testing.T) {
	const limit = 200 * time.Millisecond
	log := slog.New(slog.DiscardHandler)
	views := view.NewTracker(domainDocs{}, log, func() mirror.Status {
		return mirror.Status{Up: true, CurrentAt: clock.Now(), AppliedAt: clock.Now()}
	})
	views.SetEvacuationTime(limit)
	arrived := make(map[string]*atomic.Int64)
	entries := []topo.Entry{{Key: "config", CreateRev: 1, ModRev: 1}, {Key: view.DaemonKey("d"), CreateRev: 1, ModRev: 1}}
	for _, id := range []string{"keyed-a", "keyed-b", "plain-a", "plain-b"} {
		arrived[id] = &atomic.Int64{}
		server := startTarget(t, arrived[id], func(http.Header) int { return http.StatusOK })
		entries = append(entries, topo.Entry{Key: "targets/" + id, Value: []byte(strings.TrimPrefix(server.URL, "http://")), CreateRev: 1, ModRev: 1})
	}
	table := ranges.Empty()
	table.Assign(0, ranges.MaxKey, target.Incarnation{ID: "keyed-a", Epoch: 1})
	value, err := table.Encode()
	if err != nil {
		t.Fatal(err)
	}
	views.Apply(mirror.Change{Snapshot: true, Entries: append(entries, topo.Entry{Key: view.RangesKey("keyed"), Value: value, CreateRev: 1, ModRev: 1})})
	d := New(Config{
		Names: signalNames, Views: views, Log: log, RetryBudget: budget.Bound{Ratio: 1, Slack: 100, Window: time.Second},
		ObserveSend: func(string, string, time.Duration) {}, ObserveKey: func(string, uint16) {}, ObserveServiceTime: func(peers.TargetHash, time.Duration) {},
	})
	do := func(service string) (*Refusal, time.Duration) {
		start := clock.Now()
		_, refusal := d.Do(context.Background(), &Request{
			ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Route: &route.Route{MaxAttempts: 2}, Service: service,
			Key: 7, HasKey: true, Arrived: start, Deadline: start + 2*time.Second,
		})
		return refusal, clock.Now() - start
	}
	evacuate := func(domain string) {
		views.Apply(mirror.Change{Entries: []topo.Entry{{Key: "evacuate/" + domain, Value: []byte("{}"), CreateRev: 2, ModRev: 2}}})
	}
	evacuate("a")
	if refusal, _ := do("keyed"); refusal != nil {
		t.Errorf("refused %+v before the key has moved", refusal)
	}
	for range 20 {
		if refusal, _ := do("plain"); refusal != nil {
			t.Fatalf("refused %+v; the other domain has a target", refusal)
		}
	}
	if n := views.Current().KeysIn(views.Current().EvacuatedDomains); n != ranges.KeyCount {
		t.Errorf("%d keys counted in the evacuated domain, want all", n)
	}
	time.Sleep(limit)
	before := arrived["keyed-a"].Load()
	if refusal, _ := do("keyed"); refusal == nil || refusal.Reason != NoOwner || refusal.MayHaveRun {
		t.Errorf("refusal %+v after the evacuation time, want one for lack of an owner", refusal)
	}
	evacuate("b")
	for _, service := range []string{"keyed", "plain"} {
		if refusal, took := do(service); refusal == nil || refusal.Reason != NoTarget || refusal.MayHaveRun || took > ownerWaitLimit/2 {
			t.Errorf("service %s without a target: refusal %+v after %v, want one at once", service, refusal, took)
		}
	}
	if n := arrived["keyed-a"].Load() - before; n > 0 || arrived["plain-a"].Load() > 0 {
		t.Errorf("%d requests with and %d without keys reached targets of the evacuated domain", n, arrived["plain-a"].Load())
	}
}
