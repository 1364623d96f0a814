package balance

import (
	"testing"
	"time"
)

const averageServiceTime = 100 * time.Millisecond

// Guards against sending a request to a target although another one would complete it
// sooner.
func TestPickPrefersSoonestCompletion(t *testing.T) {
	fast := &Estimate{Slots: 3, SameDomain: true}
	fast.SetServiceTime(50 * time.Millisecond)
	slow := &Estimate{Slots: 3, SameDomain: true}
	slow.SetServiceTime(150 * time.Millisecond)
	if i := Pick([]*Estimate{slow, fast}, 0, averageServiceTime); i != 1 {
		t.Errorf("picked %d of two idle targets, want the fast one", i)
	}
	fast.Running = 12
	if i := Pick([]*Estimate{slow, fast}, 0, averageServiceTime); i != 0 {
		t.Errorf("picked %d, want the idle one", i)
	}
	fast.Running, fast.RunningElsewhere = 0, 12
	if i := Pick([]*Estimate{slow, fast}, 0, averageServiceTime); i != 0 {
		t.Errorf("picked %d, want the target without requests of other daemons", i)
	}
}

// Guards against traffic between failure domains for little gain, and against overloading
// the daemon's own domain to avoid such traffic.
func TestPickPrefersOwnDomain(t *testing.T) {
	local := &Estimate{Slots: 3, SameDomain: true}
	far := &Estimate{Slots: 3}
	if i := Pick([]*Estimate{far, local}, 0, averageServiceTime); i != 1 {
		t.Errorf("picked %d, want the target in the daemon's own domain", i)
	}
	local.Running = 6
	if i := Pick([]*Estimate{far, local}, 0, averageServiceTime); i != 0 {
		t.Errorf("picked %d, want the idle target in the other domain", i)
	}
}

// Guards against sending requests to a target that keeps failing, and against never
// trying such a target again.
func TestSuspectTargets(t *testing.T) {
	bad, good := &Estimate{Slots: 3}, &Estimate{Slots: 3}
	good.Running = 5
	now := time.Second
	bad.RecordFailure(now)
	if bad.Suspect(now) {
		t.Error("target is suspect after one failure")
	}
	bad.RecordFailure(now)
	if i := Pick([]*Estimate{bad, good}, now, averageServiceTime); i != 1 {
		t.Errorf("picked %d, want the one without failures", i)
	}
	if i := Pick([]*Estimate{bad}, now, averageServiceTime); i != 0 {
		t.Error("the only target was not picked because it is suspect")
	}
	if bad.Suspect(now + maxSuspectTime) {
		t.Error("target is still suspect after the longest suspect time")
	}
	bad.RecordResponse(averageServiceTime, 0, 1)
	bad.RecordFailure(now)
	if bad.Suspect(now) {
		t.Error("failures before a successful response still count")
	}
}

// Guards against counting queueing time as service time.
func TestServiceTimeLeavesOutQueueing(t *testing.T) {
	e := &Estimate{Slots: 3}
	if got := e.RecordResponse(400*time.Millisecond, 11, 1); got != 100*time.Millisecond {
		t.Errorf("service time of 400 ms behind 11 requests at 3 slots = %v, want 100 ms", got)
	}
}

// Guards against a warm-up that does not raise the expected latency of a target.
func TestColdTargetTakesLonger(t *testing.T) {
	e := &Estimate{Slots: 3, ColdUntil: time.Second}
	if e.ExpectedLatency(0, averageServiceTime) <= e.ExpectedLatency(2*time.Second, averageServiceTime) {
		t.Error("expected latency of a cold target is not above that of a warm one")
	}
}
