package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
)

const evacuationTargets = 30

// evacuationFleet is a fleet whose targets answer a release only when the requests that run on
// its keys have ended.
type evacuationFleet struct {
	*fleet
	all       []Target
	releaseIn time.Duration
	releasing []pendingRelease
	rng       *rand.Rand
}

type pendingRelease struct {
	Release
	endsAt time.Duration
}

func newEvacuationFleet(releaseIn time.Duration) *evacuationFleet {
	f := &evacuationFleet{fleet: newFleet(evacuationTargets), releaseIn: releaseIn, rng: rand.New(rand.NewPCG(1, 2))}
	for _, id := range f.targetIDs() {
		f.all = append(f.all, f.targets[id])
	}
	f.run(3 * time.Second)
	return f
}

// run advances the time. Some keys get much of the load.
func (f *evacuationFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 50 * time.Millisecond
		keys := make([]uint16, 50)
		for i := range keys {
			keys[i] = uint16(f.rng.IntN(ranges.KeyCount))
			if i%4 == 0 {
				keys[i] = uint16(20000 + f.rng.IntN(600))
			}
		}
		f.AddLoad(keys, 1)
		a := f.Tick(f.now)
		for _, g := range a.Grants {
			f.HandleGrantResult(g, OK, f.now)
		}
		for _, r := range a.Releases {
			f.releasing = append(f.releasing, pendingRelease{r, f.now + f.releaseIn})
		}
		var rest []pendingRelease
		for _, r := range f.releasing {
			if r.endsAt <= f.now {
				f.HandleReleaseResult(r.Release, OK, "h", f.now)
			} else {
				rest = append(rest, r)
			}
		}
		f.releasing = rest
		if a.Table != nil {
			f.HandleWriteResult(true, *a.Table, f.now)
		}
	}
}

// evacuate makes the first n of every three targets leaving, and the others not.
func (f *evacuationFleet) evacuate(n int) {
	list := append([]Target(nil), f.all...)
	for i := range list {
		list[i].Leaving = i%3 < n
	}
	f.SetTargets(list, f.now)
}

// keysAtLeaving returns the number of keys that leaving targets own.
func (f *evacuationFleet) keysAtLeaving() int {
	n := 0
	for _, s := range f.table.Spans {
		if f.targets[s.Owner].Leaving {
			n += s.Len()
		}
	}
	return n
}

// checkBalance fails if a target that stays has far more than its share of the load.
func (f *evacuationFleet) checkBalance(t *testing.T, moment string) {
	t.Helper()
	w := f.computeWeights()
	for id, x := range w.byTarget {
		if fair := w.fairShare(f.targets[id]); !f.targets[id].Leaving && x > 3*fair {
			t.Errorf("%s: %s has %.0f, a fair share is %.0f", moment, id, x, fair)
		}
	}
}

// moveLimit is the time within which the keys of an evacuated domain must have moved, so that
// the daemons learn of it before they stop sending to the old owners.
const moveLimit = 4 * time.Second

// Guards against keys that are still in an evacuated domain when nothing may be sent there any
// more: their callers would be refused.
func TestEvacuatedDomainsGiveUpKeysInTime(t *testing.T) {
	for _, releaseIn := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		for domains := 1; domains <= 2; domains++ {
			f := newEvacuationFleet(releaseIn)
			f.evacuate(domains)
			f.run(moveLimit)
			if n := f.keysAtLeaving(); n > 0 {
				t.Errorf("%d of 3 domains evacuated, releases of %v: %d keys still there after %v", domains, releaseIn, n, moveLimit)
			}
			f.checkBalance(t, "evacuated")
		}
	}
}

// Guards against keys without an owner when an evacuation ends while they move, when it is
// requested again at once, and when the coordinator changes halfway.
func TestInterruptedEvacuation(t *testing.T) {
	f := newEvacuationFleet(300 * time.Millisecond)
	f.evacuate(1)
	f.run(400 * time.Millisecond)
	f.evacuate(0)
	f.run(200 * time.Millisecond)
	f.evacuate(1)
	f.run(400 * time.Millisecond)
	next := New(f.config, f.table, f.now)
	next.ApplyGrantExpiries(f.GrantExpiries(f.now), f.now)
	f.Engine, f.releasing = next, nil
	f.evacuate(1)
	f.run(moveLimit + time.Second)
	if n := f.keysAtLeaving(); n > 0 {
		t.Errorf("%d keys still in the evacuated domain after a change of the coordinator", n)
	}
	f.evacuate(0)
	f.run(4 * time.Second)
	f.checkBalance(t, "taken back")
	for _, h := range f.spans {
		if h.phase == phaseFree {
			t.Errorf("keys %d to %d have no owner", h.span.From, h.span.To)
		}
	}
}
