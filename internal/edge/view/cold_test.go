package view

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// coldDocs decodes registrations whose values are the time for which the target stays cold.
type coldDocs struct{ domainDocs }

func (coldDocs) DecodeConfig([]byte) (*route.Config, error) {
	return route.New(1, nil, []route.Service{{Name: "k", Keyed: true, ColdRate: 5, ColdStart: 3 * time.Second}}, route.Limits{}), nil
}

func (d coldDocs) DecodeTarget(key string, b []byte) (target.Record, error) {
	r, err := d.domainDocs.DecodeTarget(key, b)
	if err != nil {
		return r, err
	}
	r.WarmupRemaining, err = time.ParseDuration(strings.TrimSpace(string(b)))
	return r, err
}

// Guards against a target that looks cold again because its unchanged registration is read again,
// and against missing that it has become cold.
func TestColdTime(t *testing.T) {
	tr := NewTracker(coldDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status { return mirror.Status{Up: true} })
	incarnation := target.Incarnation{ID: "k-a", Epoch: 1}
	remaining := func() time.Duration {
		r, _ := tr.Current().Targets.Get("k-a")
		return max(r.ColdUntil-clock.Now(), 0)
	}
	check := func(moment string, want time.Duration) {
		t.Helper()
		if got := remaining(); got > want || got < want-200*time.Millisecond {
			t.Errorf("%s: cold for %v, want %v", moment, got, want)
		}
	}
	register := func(cold string, rev int64, snapshot bool) {
		tr.Apply(mirror.Change{Snapshot: snapshot, Entries: []topo.Entry{
			{Key: "config", CreateRev: 1, ModRev: 1}, {Key: "targets/k-a", Value: []byte(cold), CreateRev: 1, ModRev: rev},
		}})
	}
	register("3s", 2, true)
	check("registered", 3*time.Second)
	first := tr.targets["k-a"]
	first.record.ColdUntil -= 2 * time.Second // two seconds pass
	tr.targets["k-a"] = first
	register("3s", 2, true)
	check("read again", time.Second)
	register("0s", 3, false)
	check("registered as warm", 0)
	tr.MarkCold(incarnation, 2*time.Second, "test")
	check("cold by a response", 2*time.Second)
	tr.MarkCold(incarnation, time.Second, "test")
	tr.MarkCold(target.Incarnation{ID: "k-a", Epoch: 2}, time.Minute, "test")
	check("shorter time, or another incarnation", 2*time.Second)
	register("0s", 4, false)
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/a", 5)}})
	tr.Apply(mirror.Change{Entries: []topo.Entry{{Key: "evacuate/a", ModRev: 6}}})
	check("after an evacuation", 3*time.Second)
	register("0s", 7, false)
	check("registered as warm after it", 0)
}
