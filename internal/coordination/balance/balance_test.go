package balance

import (
	"testing"
	"time"
)

const usual = 100 * time.Millisecond

// Guards against a target that gets requests although another would end them
// sooner.
func TestPickPrefersSoonestCompletion(t *testing.T) {
	fast := &Estimate{Slots: 3, SameDomain: true}
	fast.SetServiceTime(50 * time.Millisecond)
	slow := &Estimate{Slots: 3, SameDomain: true}
	slow.SetServiceTime(150 * time.Millisecond)
	if i := Pick([]*Estimate{slow, fast}, 0, usual); i != 1 {
		t.Errorf("picked %d of two idle targets, want the fast one", i)
	}
	fast.Running = 12
	if i := Pick([]*Estimate{slow, fast}, 0, usual); i != 0 {
		t.Errorf("picked %d, want the idle one", i)
	}
	fast.Running, fast.RunningElsewhere = 0, 12
	if i := Pick([]*Estimate{slow, fast}, 0, usual); i != 0 {
		t.Errorf("picked %d, want the one that no daemon uses", i)
	}
}

// Guards against bytes between domains for little gain, and against overloading
// the own domain to save them.
func TestPickPrefersOwnDomain(t *testing.T) {
	local := &Estimate{Slots: 3, SameDomain: true}
	far := &Estimate{Slots: 3}
	if i := Pick([]*Estimate{far, local}, 0, usual); i != 1 {
		t.Errorf("picked %d, want the one in the own domain", i)
	}
	local.Running = 6
	if i := Pick([]*Estimate{far, local}, 0, usual); i != 0 {
		t.Errorf("picked %d, want the free one", i)
	}
}

// Guards against a target that keeps failing requests, and against one that is
// never tried again.
func TestSuspectTargets(t *testing.T) {
	bad, good := &Estimate{Slots: 3}, &Estimate{Slots: 3}
	good.Running = 5
	now := time.Second
	bad.RecordFailure(now)
	if bad.Suspect(now) {
		t.Error("one failure makes a target suspect")
	}
	bad.RecordFailure(now)
	if i := Pick([]*Estimate{bad, good}, now, usual); i != 1 {
		t.Errorf("picked %d, want the one without failures", i)
	}
	if i := Pick([]*Estimate{bad}, now, usual); i != 0 {
		t.Error("a suspect target is not used although there is no other")
	}
	if bad.Suspect(now + suspectMax) {
		t.Error("a target stays suspect")
	}
	bad.RecordResponse(usual, 0)
	bad.RecordFailure(now)
	if bad.Suspect(now) {
		t.Error("failures before an answer count")
	}
}

// Guards against queueing being taken for slowness.
func TestServiceTimeLeavesOutQueueing(t *testing.T) {
	e := &Estimate{Slots: 3}
	if got := e.RecordResponse(400*time.Millisecond, 11); got != 100*time.Millisecond {
		t.Errorf("400 ms behind 11 requests at 3 slots count as %v, want 100 ms", got)
	}
}

// Guards against a cold target that is used like a warm one.
func TestColdTargetTakesLonger(t *testing.T) {
	e := &Estimate{Slots: 3, ColdUntil: time.Second}
	if e.ExpectedLatency(0, usual) <= e.ExpectedLatency(2*time.Second, usual) {
		t.Error("a cold target is expected to be as fast as a warm one")
	}
}
