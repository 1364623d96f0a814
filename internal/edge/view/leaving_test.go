package view

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// epochDocs decodes the registration of a ready target whose value has one byte per epoch.
type epochDocs struct{}

func (epochDocs) Prefix() string        { return "" }
func (epochDocs) ConfigKey() string     { return "config" }
func (epochDocs) TargetsPrefix() string { return "targets/" }

func (epochDocs) EvacuatedDomain(string) (string, bool) { return "", false }

func (epochDocs) DecodeConfig([]byte) (*route.Config, error) { return nil, topo.ErrBadReply }

func (epochDocs) DecodeTarget(key string, b []byte) (target.Record, error) {
	return target.Record{ID: strings.TrimPrefix(key, "targets/"), Service: "s", Epoch: int64(len(b))}, nil
}

func newTestTracker(drainTime time.Duration) *Tracker {
	tr := NewTracker(epochDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status { return mirror.Status{Up: true} })
	tr.SetDrainTime(drainTime)
	return tr
}

func register(tr *Tracker, rev int64, epoch int) {
	tr.Apply(mirror.Change{Entries: []topo.Entry{{Key: "targets/t", Value: []byte(strings.Repeat("x", epoch)), CreateRev: 1, ModRev: rev}}})
}

func stateOf(tr *Tracker) target.State {
	r, _ := tr.Current().Targets.Get("t")
	return r.State
}

// Guards against requests to a target for longer than the drain time after it said that it is
// leaving, although its registration still says that it is ready, and against keeping that
// from a target that starts again under its ID.
func TestLeavingTargetDrains(t *testing.T) {
	const drainTime = time.Second
	tr := newTestTracker(drainTime)
	register(tr, 2, 1)
	first := target.Incarnation{ID: "t", Epoch: 1}
	tr.MarkLeaving(first, "test")
	marked := time.Now()
	if got := stateOf(tr); got != target.Leaving {
		t.Fatalf("state %v after the target said that it is leaving, want Leaving", got)
	}
	for stateOf(tr) == target.Leaving {
		register(tr, 3, 1) // a heartbeat
		if time.Since(marked) > drainTime {
			t.Fatalf("still in use %v after it said that it is leaving", time.Since(marked))
		}
		time.Sleep(time.Millisecond)
	}
	if got := stateOf(tr); got != target.Draining {
		t.Fatalf("state %v after the drain time, want Draining", got)
	}
	register(tr, 4, 2)
	if got := stateOf(tr); got != target.Ready {
		t.Errorf("state %v after the target has started again, want Ready", got)
	}
	tr.MarkLeavingHash(first.Hash(), "late hint")
	if got := stateOf(tr); got != target.Ready {
		t.Errorf("a hint about the earlier incarnation changed the state to %v", got)
	}
}

// Guards against hints about leaving targets that are not passed on, or for ever.
func TestRecentlyLeaving(t *testing.T) {
	tr := newTestTracker(time.Minute)
	register(tr, 2, 1)
	i := target.Incarnation{ID: "t", Epoch: 1}
	if got := tr.RecentlyLeaving(); len(got) != 0 {
		t.Fatalf("%d leaving targets at first", len(got))
	}
	tr.MarkLeavingHash(i.Hash(), "hint")
	if got := tr.RecentlyLeaving(); len(got) != 1 || got[0] != i.Hash() {
		t.Fatalf("got %v, want the hash of the leaving target", got)
	}
	tr.leaving.since[i] -= leavingHintTime
	if got := tr.RecentlyLeaving(); len(got) != 0 {
		t.Errorf("%d targets are still told after %v", len(got), leavingHintTime)
	}
}
