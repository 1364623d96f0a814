package coordinator

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

const (
	testMember  = table.MemberID("run/1")
	testService = "display"
)

// lone drives a machine with one member that fronts every target.
type lone struct {
	t        *testing.T
	m        *Machine
	now      time.Time
	sequence uint64
}

func newLone(t *testing.T, shards int) *lone {
	t.Helper()
	s := manifest.Service{Name: testService, Shards: shards}
	for _, name := range []string{"a", "b"} {
		s.Targets = append(s.Targets, manifest.Target{Name: name, Domain: "x", Slots: 4, Connections: 8})
	}
	start := time.Unix(1_000_000, 0)
	l := &lone{t: t, m: New(1, start), now: start.Add(JoinGrace)}
	l.m.SetConfig(&manifest.Accepted{Revision: 1, Manifest: manifest.Manifest{Services: []manifest.Service{s}}})
	for range 4 {
		l.step(100 * time.Millisecond)
	}
	return l
}

// step reports all moving shards as released, and stores the next table.
func (l *lone) step(d time.Duration) {
	l.t.Helper()
	l.now = l.now.Add(d)
	l.sequence++
	r := peer.Report{From: testMember, Daemon: "loom", Sequence: l.sequence}
	if stored := l.m.Stored(); stored != nil {
		r.Revisions.Table = stored.Revision
		s := stored.Service(testService)
		for i, t := range s.Targets {
			report := peer.TargetReport{Service: testService, Target: t.Name, Epoch: t.Epoch, Health: peer.TargetServing}
			for _, mv := range s.Moves {
				if int(s.Owners[mv.Shard]) == i {
					report.ReleasedShards = append(report.ReleasedShards, mv.Shard)
				}
			}
			r.Targets = append(r.Targets, report)
		}
	}
	l.m.Report(r, l.now)
	if next := l.m.Propose(fmt.Sprint(l.sequence), l.now); next != nil {
		l.m.SetStored(next)
	}
}

func (l *lone) owned(target string) []uint32 {
	s := l.m.Stored().Service(testService)
	var out []uint32
	for shard, owner := range s.Owners {
		if owner != table.NoOwner && s.Targets[owner].Name == target {
			out = append(out, uint32(shard))
		}
	}
	return out
}

// A planner that balances at once would undo an operator's move.
func TestRequestedMoveStaysAgainstBalance(t *testing.T) {
	l := newLone(t, 16)
	before := l.owned("a")
	if len(before) != 8 {
		t.Fatalf("target a owns %d of 16 shards at the start", len(before))
	}
	for _, shard := range before[:6] {
		if err := l.m.RequestMove(testService, shard, "b"); err != nil {
			t.Fatal(err)
		}
	}
	for range 40 {
		l.step(MinPlanInterval)
	}
	at := make(map[uint32]bool)
	for _, shard := range l.owned("b") {
		at[shard] = true
	}
	for _, shard := range before[:6] {
		if !at[shard] {
			t.Errorf("shard %d was moved away from the target that an operator chose", shard)
		}
	}
	// The wish ends; the balance must come back, or it was never at stake.
	l.step(RequestLife)
	for range 10 {
		l.step(MinPlanInterval)
	}
	if len(l.m.requests) != 0 {
		t.Errorf("%d requests are kept beyond their life", len(l.m.requests))
	}
	if n := len(l.owned("a")); n < 7 || n > 9 {
		t.Errorf("target a owns %d of 16 shards after the requests ended", n)
	}
}

// A list of requests without a bound would let an operator's loop take the
// coordinator's memory.
func TestRequestsAreBoundedAndChecked(t *testing.T) {
	l := newLone(t, 4*MaxRequests)
	for i := range MaxRequests {
		if err := l.m.RequestMove(testService, l.owned("a")[i], "b"); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	last := l.owned("a")[MaxRequests]
	if err := l.m.RequestMove(testService, last, "b"); !errors.Is(err, ErrTooManyMoves) {
		t.Errorf("request above the bound: %v", err)
	}
	for range 4 {
		l.step(100 * time.Millisecond)
	}
	if err := l.m.RequestMove(testService, last, "b"); err != nil {
		t.Errorf("finished requests are not forgotten for new ones: %v", err)
	}
	if len(l.m.requests) > MaxRequests {
		t.Errorf("%d requests kept; the bound is %d", len(l.m.requests), MaxRequests)
	}
	for _, wrong := range []struct {
		service string
		shard   uint32
		target  string
	}{{"other", 0, "a"}, {testService, 4 * MaxRequests, "a"}, {testService, 0, "c"}} {
		if err := l.m.RequestMove(wrong.service, wrong.shard, wrong.target); !errors.Is(err, ErrMoveInvalid) {
			t.Errorf("%+v: %v", wrong, err)
		}
	}
}
