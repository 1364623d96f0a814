package view

import (
	"errors"
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

// domainDocs decodes the registrations of ready targets that are named SERVICE-DOMAIN. Service
// k is keyed, service p is not.
type domainDocs struct{ epochDocs }

func (domainDocs) EvacuatedDomain(key string) (string, bool) {
	return strings.CutPrefix(key, "evacuate/")
}

func (domainDocs) DecodeConfig([]byte) (*route.Config, error) {
	return route.New(1, nil, []route.Service{{Name: "k", Keyed: true}, {Name: "p"}}, route.Limits{}), nil
}

func (domainDocs) DecodeTarget(key string, _ []byte) (target.Record, error) {
	id := strings.TrimPrefix(key, "targets/")
	service, domain, ok := strings.Cut(id, "-")
	if !ok {
		return target.Record{}, errors.New("no domain")
	}
	return target.Record{ID: id, Service: service, Domain: domain, Epoch: 1}, nil
}

func entry(key string, rev int64) topo.Entry {
	return topo.Entry{Key: key, Value: []byte("{}"), CreateRev: rev, ModRev: rev}
}

var domainEntries = []topo.Entry{
	entry("config", 1), entry("targets/k-a", 1), entry("targets/k-b", 1), entry("targets/p-a", 1), entry("targets/p-b", 1),
}

// appliedStatus is the status of a mirror whose copy is from the given time and has been applied.
func appliedStatus(at time.Duration) mirror.Status {
	return mirror.Status{Up: true, CurrentAt: at, AppliedAt: at}
}

// newDomainTracker returns a tracker of two domains whose copy of the store has the given age.
func newDomainTracker(limit time.Duration, age *time.Duration) *Tracker {
	tr := NewTracker(domainDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status {
		return appliedStatus(clock.Now() - *age)
	})
	tr.SetEvacuationTime(limit)
	tr.Apply(mirror.Change{Snapshot: true, Entries: domainEntries})
	return tr
}

func checkStates(t *testing.T, tr *Tracker, moment string, want map[string]target.State) {
	t.Helper()
	for id, state := range want {
		if r, known := tr.Current().Targets.Get(id); !known || r.State != state {
			t.Errorf("%s: target %s has state %v, want %v", moment, id, r.State, state)
		}
	}
}

// Guards against sending to the targets of an evacuated domain after the evacuation time,
// against refusing callers of keys that have not moved yet, and against targets that are not
// used again after the evacuation.
func TestEvacuation(t *testing.T) {
	const limit = 600 * time.Millisecond
	var age time.Duration
	tr := newDomainTracker(limit, &age)
	start := time.Now()
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/a", 2)}})
	checkStates(t, tr, "at first", map[string]target.State{
		"k-a": target.Leaving, "p-a": target.Draining, "k-b": target.Ready, "p-b": target.Ready,
	})
	if v := tr.Current(); v.AllEvacuated("k") || !v.EvacuatedDomains["a"] || v.EvacuatedDomains["b"] {
		t.Error("evacuation of one domain of two not known as that")
	}
	for r, _ := tr.Current().Targets.Get("k-a"); r.State == target.Leaving; r, _ = tr.Current().Targets.Get("k-a") {
		if time.Since(start) > limit {
			t.Fatal("owner still in use after the evacuation time")
		}
		time.Sleep(time.Millisecond)
	}
	checkStates(t, tr, "after the evacuation time", map[string]target.State{"k-a": target.Draining, "k-b": target.Ready})
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/b", 3)}})
	if v := tr.Current(); !v.AllEvacuated("p") || !v.AllEvacuated("k") {
		t.Error("services without another domain not known as evacuated")
	}
	tr.Apply(mirror.Change{Entries: []topo.Entry{{Key: "evacuate/a", ModRev: 4}, {Key: "evacuate/b", ModRev: 5}}})
	checkStates(t, tr, "after the evacuation", map[string]target.State{"k-a": target.Ready, "p-a": target.Ready})
}

// Guards against an evacuation that ends because the store is away or came back from an older
// copy, and against one that is never taken back because the deletion was in a history that the
// store has discarded.
func TestEvacuationAndSnapshots(t *testing.T) {
	var age time.Duration
	tr := newDomainTracker(time.Minute, &age)
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/a", 2)}})
	age = time.Hour // the store is away
	tr.Expire()
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("targets/k-a", 3)}})
	checkStates(t, tr, "without the store", map[string]target.State{"k-a": target.Leaving, "p-a": target.Draining})
	tr.Apply(mirror.Change{Snapshot: true, Entries: append([]topo.Entry{entry("evacuate/a", 2)}, domainEntries...)})
	checkStates(t, tr, "after a snapshot with the request", map[string]target.State{"k-a": target.Leaving})
	tr.Apply(mirror.Change{Snapshot: true, Entries: domainEntries})
	tr.Expire()
	checkStates(t, tr, "after a snapshot without it", map[string]target.State{"k-a": target.Leaving, "p-a": target.Draining})
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/a", 2)}})
	if e := tr.evacuations.byDomain["a"]; e.missingSince != 0 {
		t.Error("request that was written again still counts as missing")
	}
	age = 0
	tr.Apply(mirror.Change{Snapshot: true, Entries: domainEntries})
	missing := tr.evacuations.byDomain["a"]
	missing.missingSince -= reregistrationWindow
	tr.evacuations.byDomain["a"] = missing
	tr.Expire()
	checkStates(t, tr, "when the request stays missing", map[string]target.State{"k-a": target.Ready, "p-a": target.Ready})
}

// Guards against requests to an evacuated domain after the evacuation time from daemons that
// start during the evacuation: they cannot know when it was requested.
func TestEvacuationInFirstSnapshot(t *testing.T) {
	tr := NewTracker(domainDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status {
		return appliedStatus(clock.Now())
	})
	tr.SetEvacuationTime(time.Minute)
	tr.Apply(mirror.Change{Snapshot: true, Entries: append([]topo.Entry{entry("evacuate/a", 2)}, domainEntries...)})
	checkStates(t, tr, "first snapshot", map[string]target.State{"k-a": target.Draining, "p-a": target.Draining, "k-b": target.Ready})
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/b", 3)}})
	checkStates(t, tr, "change after it", map[string]target.State{"k-a": target.Draining, "k-b": target.Leaving})
}

// Guards against counting the evacuation time from when the daemon learns of the request: the
// operators count from the store's response.
func TestEvacuationTimeCountsFromTheWrite(t *testing.T) {
	const limit = 10 * time.Second
	for _, c := range []struct{ age, least, most time.Duration }{
		{age: time.Second, least: 8400 * time.Millisecond, most: 8600 * time.Millisecond},
		{age: time.Hour, least: -2 * time.Hour, most: 0},
	} {
		age := c.age
		tr := newDomainTracker(limit, &age)
		age = 0 // the copy is current again when the daemon learns of the request
		tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/a", 2)}})
		if left := tr.evacuations.drainedAt(tr.evacuations.byDomain["a"].since) - clock.Now(); left < c.least || left > c.most {
			t.Errorf("copy %v old: owners get requests for %v more, want %v to %v", c.age, left, c.least, c.most)
		}
	}
}

// Guards against telling operators that an evacuation is over, or that none is, while it is still in
// force, and against an age that an older request would not have.
func TestEvacuationsTold(t *testing.T) {
	age := time.Second
	tr := newDomainTracker(10*time.Second, &age)
	if got := tr.Evacuations(); len(got) != 0 {
		t.Errorf("%+v without a request", got)
	}
	before := clock.Now()
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/b", 2), entry("evacuate/a", 3)}})
	got := tr.Evacuations()
	if len(got) != 2 || got[0].Domain != "a" || got[1].Domain != "b" {
		t.Fatalf("%+v, want domains a and b", got)
	}
	for _, e := range got {
		if left := e.DrainedAt - before; e.LearnedAt < before || e.Missing || left < 8400*time.Millisecond || left > 8600*time.Millisecond {
			t.Errorf("%+v at %v, want it known since then and owners to get requests for 8.5 s", e, before)
		}
	}
	tr.Apply(mirror.Change{Snapshot: true, Entries: append([]topo.Entry{entry("evacuate/a", 3)}, domainEntries...)})
	if got = tr.Evacuations(); len(got) != 2 || got[0].Missing || !got[1].Missing {
		t.Errorf("%+v, want the request for b missing in the store", got)
	}
}

// Guards against sends to owners in a domain whose evacuation is of unknown age when the evacuation time
// is raised.
func TestEvacuationOfUnknownAgeStaysDrained(t *testing.T) {
	tr := NewTracker(domainDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status {
		return appliedStatus(clock.Now())
	})
	tr.SetEvacuationTime(time.Minute)
	tr.Apply(mirror.Change{Snapshot: true, Entries: append([]topo.Entry{entry("evacuate/a", 2)}, domainEntries...)})
	tr.SetEvacuationTime(time.Hour)
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("targets/p-b", 3)}})
	checkStates(t, tr, "with a longer evacuation time", map[string]target.State{"k-a": target.Draining})
}

// Guards against counting the evacuation time from a read of the store that shows the request already
// but has not been applied when the view's periodic work runs.
func TestEvacuationTimeCountsFromWhatIsApplied(t *testing.T) {
	const readAt, limit = 600 * time.Millisecond, 10 * time.Second
	now := clock.Now()
	status := mirror.Status{Up: true, CurrentAt: now - readAt, AppliedAt: now - readAt}
	tr := NewTracker(domainDocs{}, slog.New(slog.DiscardHandler), func() mirror.Status { return status })
	tr.SetEvacuationTime(limit)
	tr.Apply(mirror.Change{Snapshot: true, Entries: domainEntries})
	status.CurrentAt = now // of the read that shows the request
	tr.Expire()
	tr.Apply(mirror.Change{Entries: []topo.Entry{entry("evacuate/a", 2)}})
	if got, want := tr.Evacuations()[0].DrainedAt, now-readAt+limit-evacuationMargin; got != want {
		t.Errorf("owners get requests until %v, want %v", got, want)
	}
}
