package view

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/proptest"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// contestedDocs decodes a registration from a service and a start time.
type contestedDocs struct{ epochDocs }

var errOdd = errors.New("odd entry")

func (contestedDocs) DecodeTarget(key string, b []byte) (target.Record, error) {
	r := target.Record{ID: strings.TrimPrefix(key, "targets/"), Address: "127.0.0.1:1", Slots: 1}
	if n, err := fmt.Sscanf(string(b), "%s %d", &r.Service, &r.Epoch); err != nil || n != 2 {
		return target.Record{}, errOdd
	}
	return r, nil
}

// contestedTracker is a tracker with one target, whose entry was written for a while.
type contestedTracker struct {
	*Tracker
	rev int64
}

func newContestedTracker() *contestedTracker {
	up := mirror.Status{Up: true, UpSince: clock.Now() - time.Minute}
	tr := &contestedTracker{Tracker: NewTracker(contestedDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status { return up })}
	tr.Apply(mirror.Change{Snapshot: true})
	tr.write("a 1")
	tr.setStated("a", reregistrationWindow)
	return tr
}

// write writes the target's entry; "" deletes it.
func (tr *contestedTracker) write(value string) {
	tr.rev++
	e := topo.Entry{Key: "targets/t", ModRev: tr.rev}
	if value != "" {
		e.Value, e.CreateRev = []byte(value), 1
	}
	tr.Apply(mirror.Change{Entries: []topo.Entry{e}})
}

// setStated makes the first statement of the service appear as old as the last one.
func (tr *contestedTracker) setStated(service string, span time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := clock.Now()
	tr.services[target.Incarnation{ID: "t", Epoch: 1}] = statedService{service: service, firstAt: now - span, lastAt: now}
}

// service returns the service of the target in the view, or "" if it is not in use.
func (tr *contestedTracker) service() string {
	r, _ := tr.Current().Targets.Get("t")
	return r.Service
}

// Guards against targets that another writer takes out of service by overwriting their entries: an
// owner of keys lost them each time, although it wrote its entry again a moment later.
func TestOverwrittenRegistrationHoldsUntilItCanBeWrittenAgain(t *testing.T) {
	tr := newContestedTracker()
	tr.write("odd")
	if got := tr.service(); got != "a" {
		t.Fatalf("service %q after another writer's entry, want a", got)
	}
	time.Sleep(reregistrationWindow / 2)
	tr.write("a 1")
	tr.write("odd")
	time.Sleep(reregistrationWindow * 3 / 4)
	if tr.Expire(); tr.service() != "a" {
		t.Error("the target is gone, although it has just written its entry")
	}
	time.Sleep(reregistrationWindow / 2)
	if tr.Expire(); tr.service() != "" {
		t.Error("the target is in use, although it has not written its entry again")
	}
	tr.write("a 1")
	tr.write("odd")
	if tr.write(""); tr.service() != "" {
		t.Error("the target is in use after its entry was removed")
	}
}

// Guards against another writer's complete entry under the key of a live target: requests went to a
// target of another service, which ran them.
func TestChangedServiceOfIncarnationIsNotBelieved(t *testing.T) {
	tr := newContestedTracker()
	tr.write("b 1")
	if got := tr.service(); got != "a" {
		t.Errorf("service %q, want a", got)
	}
	tr.write("b 2")
	if got := tr.service(); got != "b" {
		t.Errorf("service %q of the next incarnation, want b", got)
	}
	fresh := newContestedTracker()
	fresh.setStated("a", 0)
	fresh.write("b 1")
	if got := fresh.service(); got != "" {
		t.Errorf("service %q after two different statements, want no use of the target", got)
	}
}

// Guards against a target that is never used again, as the first entry that a daemon saw of it was
// another writer's.
func TestServiceIsBelievedOnceItStands(t *testing.T) {
	for _, again := range []bool{true, false} {
		tr := newContestedTracker()
		tr.write("b 1")
		tr.letStand()
		if again {
			tr.write("b 1")
		}
		if tr.Expire(); tr.service() != "b" {
			t.Errorf("service %q after %v of the same statement, written again %t, want b", tr.service(), serviceChangeDelay, again)
		}
	}
	for _, value := range []string{"odd", "a 1", ""} {
		tr := newContestedTracker()
		tr.write("b 1")
		tr.write(value)
		tr.letStand()
		if tr.Expire(); tr.service() == "b" {
			t.Errorf("service b is believed although %q has replaced the entry", value)
		}
	}
}

// Guards against believing an entry that a snapshot no longer has.
func TestRemovedEntryIsNotBelieved(t *testing.T) {
	tr := newContestedTracker()
	tr.setStated("a", 0)
	tr.write("b 1") // the target is not in use then
	tr.Apply(mirror.Change{Snapshot: true})
	tr.letStand()
	if tr.Expire(); tr.service() != "" {
		t.Errorf("service %q of an entry that was removed", tr.service())
	}
}

// letStand makes the last statement of another service appear serviceChangeDelay old.
func (tr *contestedTracker) letStand() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	i := target.Incarnation{ID: "t", Epoch: 1}
	s := tr.services[i]
	s.otherSince -= serviceChangeDelay
	tr.services[i] = s
}

// Guards against entries of other writers that change a target's service or outlast its removal, in
// any order with the target's own.
func TestEntriesOfOtherWritersNameNoTarget(t *testing.T) {
	proptest.Check(t, 11, 300, func(rt *rapid.T) {
		tr := newContestedTracker()
		removed := false
		for range rapid.IntRange(1, 20).Draw(rt, "entries") {
			entry := rapid.SampledFrom([]string{"a 1", "odd", "b 1", "c 1", ""}).Draw(rt, "entry")
			tr.write(entry)
			switch entry {
			case "a 1":
				removed = false
			case "":
				removed = true
			}
			want := "a"
			if removed {
				want = ""
			}
			if got := tr.service(); got != want {
				rt.Fatalf("service %q after %q, want %q", got, entry, want)
			}
		}
	})
}
