package front

import (
	"errors"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
)

var unitOne = table.Unit{Shard: 1}

// rig is one front with a target that answers or not.
type rig struct {
	m       *Machine
	g       *target
	silent  bool
	refuses bool
}

func newRig() *rig {
	w := &world{cfg: Config{Service: "s", Target: "t", ChecksGrants: true, LongestDeadline: 100 * time.Millisecond}}
	r := &rig{m: New(w.cfg), g: &target{w: w}}
	r.m.Assign(Assignment{Front: true, Epoch: 1, Units: map[table.Unit]uint32{unitOne: 1}}, r.now())
	return r
}

func (r *rig) now() time.Time { return time.Unix(0, 0).Add(r.g.w.now) }

func (r *rig) authority() time.Time { return r.now().Add(time.Second) }

// run lets the front tick for a while.
func (r *rig) run(d time.Duration) {
	for end := r.g.w.now + d; r.g.w.now < end; r.g.w.now += 10 * time.Millisecond {
		a := r.m.Tick(r.now(), r.authority())
		switch {
		case !a.Send || r.silent:
		case r.refuses:
			r.m.GrantFailed(a.Seq, ExchangeRefused, r.now())
		default:
			r.m.GrantReply(a.Seq, r.g.grant(a.Request), r.now())
		}
	}
}

func (r *rig) expect(t *testing.T, what string, err error, health peer.TargetHealth) {
	t.Helper()
	if got := r.m.CanDispatch(unitOne, r.now(), r.authority()); !errors.Is(got, err) {
		t.Errorf("%s: CanDispatch = %v, want %v", what, got, err)
	}
	if got := r.m.Report(r.now()).Health; got != health {
		t.Errorf("%s: health = %d, want %d", what, got, health)
	}
}

// TestLostTargetIsGivenUpInTime guards against keys without a usable owner for
// longer than the budget of 2 s, and against a target that is trusted again at
// its first answer.
func TestLostTargetIsGivenUpInTime(t *testing.T) {
	results := func(n int, result Result) func(*rig) {
		return func(r *rig) {
			for range n {
				r.m.Ended(r.m.Started(unitOne, r.now()), result, r.now())
			}
		}
	}
	causes := []struct {
		name   string
		begin  func(*rig)
		detect time.Duration
	}{
		{"silent", func(r *rig) { r.silent = true }, table.GrantInterval + UnansweredLimit},
		{"refuses", func(r *rig) { r.refuses = true }, FailedInRow * RefusedDelay},
		{"breaks connections", results(FailedInRow, Broken), 0},
		{"answers with errors only", results(ErrorsInRow, Failure), 0},
	}
	for _, cause := range causes {
		t.Run(cause.name, func(t *testing.T) {
			r := newRig()
			r.run(time.Second)
			r.expect(t, "healthy", nil, peer.TargetServing)
			cause.begin(r)
			r.run(cause.detect + 20*time.Millisecond)
			if err := r.m.CanDispatch(unitOne, r.now(), r.authority()); !errors.Is(err, ErrTargetLost) {
				t.Errorf("after detection: CanDispatch = %v, want %v", err, ErrTargetLost)
			}
			r.run(1100*time.Millisecond - cause.detect)
			r.expect(t, "after the grant's end", ErrTargetLost, peer.TargetEnded)
			r.silent, r.refuses = false, false
			r.m.Assign(Assignment{Front: true, Epoch: 1, Units: map[table.Unit]uint32{unitOne: 2}}, r.now())
			r.run(500 * time.Millisecond)
			r.expect(t, "answering again", ErrTargetLost, peer.TargetEnded)
			r.run(LastRetry + RecoveryTime)
			r.m.Assign(Assignment{Front: true, Epoch: 1, Units: map[table.Unit]uint32{unitOne: 3}}, r.now())
			r.run(100 * time.Millisecond)
			r.expect(t, "recovered", nil, peer.TargetServing)
		})
	}
}

// TestErrorsOfOneCallerAreNoLoss guards against a target that is taken for lost
// because of a few bad requests.
func TestErrorsOfOneCallerAreNoLoss(t *testing.T) {
	r := newRig()
	r.run(time.Second)
	for range 10 * ErrorsInRow {
		for range ErrorsInRow - 1 {
			r.m.Ended(r.m.Started(unitOne, r.now()), Failure, r.now())
		}
		r.m.Ended(r.m.Started(unitOne, r.now()), Success, r.now())
	}
	r.expect(t, "after errors among successes", nil, peer.TargetServing)
}

// TestPauseIsNoLoss guards against a front that declares its target lost
// because the front itself did not run.
func TestPauseIsNoLoss(t *testing.T) {
	r := newRig()
	r.run(time.Second)
	r.m.Tick(r.now().Add(table.GrantInterval), r.authority())
	r.g.w.now += 3 * time.Second
	r.run(100 * time.Millisecond)
	r.expect(t, "after a pause", nil, peer.TargetServing)
}

// TestLostAnswerIsRenewed guards against a grant that is repeated without end
// because the target holds its version already.
func TestLostAnswerIsRenewed(t *testing.T) {
	r := newRig()
	r.run(10 * time.Millisecond)
	r.g.grant(r.m.Tick(r.now(), r.authority()).Request)
	r.run(2 * ExchangeTimeout)
	r.expect(t, "after a lost answer", nil, peer.TargetServing)
}

// TestReleaseIsFinal guards against a unit that is used again after the
// coordinator was told that it is free.
func TestReleaseIsFinal(t *testing.T) {
	r := newRig()
	r.run(time.Second)
	a := Assignment{Front: true, Epoch: 1, Units: map[table.Unit]uint32{unitOne: 1}, Leaving: []table.Unit{unitOne}}
	r.m.Assign(a, r.now())
	r.expect(t, "leaving", ErrMoving, peer.TargetServing)
	r.run(100 * time.Millisecond)
	if got := r.m.Report(r.now()).ReleasedShards; len(got) != 1 {
		t.Fatalf("released shards = %v, want shard 1", got)
	}
	a.Leaving = nil
	r.m.Assign(a, r.now())
	r.run(time.Second)
	r.expect(t, "move cancelled", ErrReleased, peer.TargetServing)
}

// TestReleaseNeedsGrantOfThisEpoch guards against a release that rests on a
// grant that the target accepted under an earlier epoch of the same front.
func TestReleaseNeedsGrantOfThisEpoch(t *testing.T) {
	r := newRig()
	for epoch := range uint32(5) {
		r.m.Assign(Assignment{Front: true, Epoch: 1, Units: map[table.Unit]uint32{unitOne: epoch}}, r.now())
		r.run(100 * time.Millisecond)
	}
	r.m.Assign(Assignment{Epoch: 2}, r.now())
	a := Assignment{Front: true, Epoch: 3, Units: map[table.Unit]uint32{unitOne: 9}, Leaving: []table.Unit{unitOne}}
	r.m.Assign(a, r.now())
	r.silent = true
	r.run(200 * time.Millisecond)
	if got := r.m.Report(r.now()).ReleasedShards; len(got) != 0 {
		t.Errorf("released shards = %v while the target holds a grant of them", got)
	}
	r.run(table.GrantLife)
	if got := r.m.Report(r.now()).ReleasedShards; len(got) != 1 {
		t.Errorf("released shards = %v after the grant's end, want shard 1", got)
	}
}
