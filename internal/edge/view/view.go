// Package view maintains a daemon's local view of the fleet: the configuration, the
// registered targets, the range tables and the current coordinator.
package view

import (
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// Store keys of the entries that daemons write.
const (
	CoordinatorKey = topo.KeyCoordinator
	rangesPrefix   = topo.Prefix + "ranges/"
	daemonsPrefix  = topo.Prefix + "daemons/"
)

// RangesKey returns the store key of a service's range table.
func RangesKey(service string) string { return rangesPrefix + service }

// DaemonKey returns the store key of a daemon's announcement.
func DaemonKey(name string) string { return daemonsPrefix + name }

// reregistrationWindow is the time that targets have to register again after the store has
// become reachable, if their registrations lapsed during the outage.
const reregistrationWindow = 2 * time.Second

// Documents locates and decodes the configuration and the target registrations in the
// store.
type Documents interface {
	// Prefix returns the common prefix of all keys that daemons read.
	Prefix() string
	ConfigKey() string
	TargetsPrefix() string
	DecodeConfig(b []byte) (*route.Config, error)
	DecodeTarget(key string, b []byte) (target.Record, error)
	// EvacuatedDomain returns the failure domain whose evacuation an entry with this key
	// requests, and whether it is such a key.
	EvacuatedDomain(key string) (domain string, ok bool)
}

// Table is a range table with the store revision of its last write.
type Table struct {
	ranges.Table
	Rev int64
}

// View is an immutable snapshot of the fleet's state.
type View struct {
	// Config is nil until the first configuration is known.
	Config      *route.Config
	Targets     *target.Set
	Tables      map[string]*Table
	Coordinator topo.Entry
	Daemons     map[string]topo.Entry
	// EvacuatedDomains are the failure domains to whose targets nothing may be sent. The states
	// of their targets say what is still allowed.
	EvacuatedDomains map[string]bool
	// Synced is set once all watched keys have been read from the store.
	Synced bool
	// Era is the era of the store that the view shows.
	Era int64
}

// Tracker applies changes of the store and publishes the resulting views.
type Tracker struct {
	docs   Documents
	log    *slog.Logger
	status func() mirror.Status

	mu          sync.Mutex
	targets     map[string]registration
	services    map[target.Incarnation]statedService
	restated    map[string]restatedEntry // by key
	leaving     leavingTargets
	evacuations evacuations
	restored    restoration
	draft

	current atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
}

// registration is a known target. A registration that lapsed while the store was
// unreachable is kept until the target has had time to register again.
type registration struct {
	record   target.Record
	rev      int64         // revision of the entry
	lapsedAt time.Duration // 0 while registered
	// contestedAt is when another writer's entry replaced the target's; 0 if none did.
	contestedAt time.Duration
}

// draft holds the state, apart from the targets, that the next view is built from.
type draft struct {
	config      *route.Config
	tables      map[string]*Table
	coordinator topo.Entry
	daemons     map[string]topo.Entry
	synced      bool
}

// NewTracker returns a Tracker with an empty view. status reports the state of the
// store's mirror.
func NewTracker(docs Documents, log *slog.Logger, status func() mirror.Status) *Tracker {
	tr := &Tracker{
		docs: docs, log: log, status: status, targets: make(map[string]registration), services: make(map[target.Incarnation]statedService), restated: make(map[string]restatedEntry), leaving: newLeavingTargets(), restored: newRestoration(),
		evacuations: newEvacuations(), draft: draft{tables: make(map[string]*Table), daemons: make(map[string]topo.Entry)},
	}
	tr.current.Store(&View{Targets: target.NewSet(nil)})
	ch := make(chan struct{})
	tr.changed.Store(&ch)
	return tr
}

// Current returns the latest view.
func (tr *Tracker) Current() *View { return tr.current.Load() }

// Age returns the age of the store copy that the views are built from.
func (tr *Tracker) Age() time.Duration { return clock.Now() - tr.status().CurrentAt }

// StoreUp reports whether the store served its current state at the last attempt.
func (tr *Tracker) StoreUp() bool { return tr.status().Up }

// Changed returns a channel that is closed when the next view is published.
func (tr *Tracker) Changed() <-chan struct{} { return *tr.changed.Load() }

// Apply applies changes of the store and publishes a new view. Targets, daemons and the
// coordinator's key count as deleted if a snapshot does not contain them.
func (tr *Tracker) Apply(c mirror.Change) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if c.Snapshot {
		tr.beginEra(c)
		tr.deleteMissing(c.Entries)
		tr.markMissingEvacuations(c.Entries)
		tr.synced = true
	}
	tr.restored.reading = c.Snapshot
	for _, e := range c.Entries {
		tr.applyEntry(e)
	}
	tr.restored.reading = false
	tr.evacuations.following, tr.evacuations.currentAt = true, tr.status().CurrentAt
	tr.publish()
}

// Expire removes the targets whose registration lapsed or was overwritten and that did not register
// again within reregistrationWindow, ends the evacuations that are missing in the store for as long,
// and withdraws the targets that have been leaving for the drain
// time, or longer than the evacuation time in an evacuated failure domain.
func (tr *Tracker) Expire() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := clock.Now()
	changed := tr.dropLapsed(now)
	changed = tr.dropContested(now) || changed
	changed = tr.believeStanding(now) || changed
	changed = tr.endMissingEvacuations(now) || changed
	changed = tr.acceptDoubted(now) || changed
	if tr.leaving.drained(now) || tr.evacuations.drained(now) || changed {
		tr.publish()
	}
	tr.evacuations.currentAt = tr.status().AppliedAt
}

func (tr *Tracker) dropLapsed(now time.Duration) bool {
	status := tr.status()
	dropped := false
	for id, r := range tr.targets {
		if r.lapsedAt == 0 || !status.Up || now < max(r.lapsedAt, status.UpSince+reregistrationWindow, tr.restored.until) {
			continue
		}
		delete(tr.targets, id)
		tr.noteEnded(r.record.Incarnation())
		dropped = true
		tr.log.Info("target gone", "target", id, "service", r.record.Service,
			"lapsed_ms", (now - r.lapsedAt).Milliseconds(), "reason", "registration did not come back")
	}
	return dropped
}

// deleteMissing handles the deletion of targets, daemons and the coordinator's key that a
// snapshot does not contain. Configuration and range tables are kept.
func (tr *Tracker) deleteMissing(entries []topo.Entry) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
	}
	for id := range tr.targets {
		if key := tr.docs.TargetsPrefix() + id; !present[key] {
			tr.applyTarget(topo.Entry{Key: key})
		}
	}
	for key := range tr.restated {
		if !present[key] {
			delete(tr.restated, key)
		}
	}
	if !present[CoordinatorKey] {
		tr.coordinator = topo.Entry{}
	}
	for name := range tr.daemons {
		if !present[DaemonKey(name)] {
			delete(tr.daemons, name)
		}
	}
}

func (tr *Tracker) applyEntry(e topo.Entry) {
	if domain, ok := tr.docs.EvacuatedDomain(e.Key); ok {
		tr.applyEvacuation(domain, e)
		return
	}
	switch {
	case e.Key == tr.docs.ConfigKey():
		tr.applyConfig(e)
	case e.Key == CoordinatorKey:
		tr.coordinator = e
	case strings.HasPrefix(e.Key, tr.docs.TargetsPrefix()):
		tr.applyTarget(e)
	case strings.HasPrefix(e.Key, rangesPrefix):
		tr.applyTable(e)
	case strings.HasPrefix(e.Key, daemonsPrefix):
		name := strings.TrimPrefix(e.Key, daemonsPrefix)
		if e.Exists() {
			tr.daemons[name] = e
		} else {
			delete(tr.daemons, name)
		}
	}
}

func (tr *Tracker) applyConfig(e topo.Entry) {
	if !e.Exists() {
		tr.log.Warn("configuration deleted in the store; keeping the one in force")
		return
	}
	c, err := tr.docs.DecodeConfig(e.Value)
	if err != nil {
		tr.log.Error("configuration not usable; keeping the one in force", "revision", e.ModRev, "error", err)
		return
	}
	if tr.config != nil && c.Version <= tr.config.Version {
		return
	}
	tr.config = c
	tr.log.Info("configuration in force", "version", c.Version, "revision", e.ModRev, "routes", c.Routes)
}

func (tr *Tracker) applyTarget(e topo.Entry) {
	id := strings.TrimPrefix(e.Key, tr.docs.TargetsPrefix())
	previous, existed := tr.targets[id]
	delete(tr.restored.doubted, e.Key)
	delete(tr.restated, e.Key)
	if !e.Exists() {
		if existed && previous.lapsedAt == 0 {
			tr.handleLapse(id, previous)
		}
		return
	}
	r, err := tr.docs.DecodeTarget(e.Key, e.Value)
	if err == nil && tr.doubt(id, r, e) {
		return
	}
	if err == nil {
		if err = tr.checkService(r); err != nil {
			tr.restated[e.Key] = restatedEntry{e, r.Incarnation()}
		}
	}
	if err != nil {
		tr.applyContested(id, e, err)
		return
	}
	r = tr.keepState(r, previous, existed)
	tr.targets[id] = registration{record: withColdTime(r, e.ModRev, previous, existed), rev: e.ModRev}
	switch {
	case !existed || previous.record.Incarnation() != r.Incarnation():
		tr.log.Info("target registered", "target", id, "service", r.Service, "address", r.Address,
			"domain", r.Domain, "revision", e.ModRev, "replaces_life", existed)
	case previous.record.State != r.State && r.State != target.Ready:
		tr.log.Info("target draining", "target", id, "service", r.Service, "revision", e.ModRev)
	}
}

// handleLapse handles the end of a registration. While the store is unreachable, and
// shortly after, a missing registration is no evidence that the target is gone.
func (tr *Tracker) handleLapse(id string, r registration) {
	now := clock.Now()
	status := tr.status()
	if status.Up && now > max(status.UpSince+reregistrationWindow, tr.restored.until) {
		delete(tr.targets, id)
		tr.noteEnded(r.record.Incarnation())
		tr.log.Info("target gone", "target", id, "service", r.record.Service, "reason", "registration ended")
		return
	}
	r.lapsedAt = now
	tr.targets[id] = r
	tr.log.Info("target's registration ended during or shortly after a store outage; keeping the target for now", "target", id, "service", r.record.Service)
}

func (tr *Tracker) applyTable(e topo.Entry) {
	service := strings.TrimPrefix(e.Key, rangesPrefix)
	if !e.Exists() {
		return
	}
	t, err := ranges.Decode(e.Value)
	if err != nil {
		tr.log.Error("range table not usable; keeping the one in force", "service", service, "revision", e.ModRev, "error", err)
		return
	}
	stored, old := &Table{Table: *t, Rev: e.ModRev}, tr.tables[service]
	switch {
	case topo.EraOf(e.ModRev) < tr.restored.era, old != nil && old.Rev >= e.ModRev:
		return
	case old != nil && topo.EraOf(e.ModRev) > topo.EraOf(old.Rev):
		tr.applyTableEra(service, old, stored)
		return
	}
	tr.tables[service] = stored
	tr.log.Info("range table in force", "service", service, "revision", e.ModRev, "spans", len(t.Spans), "fence", t.Fence)
}

// publish builds the next view, makes it current and wakes the waiting readers.
func (tr *Tracker) publish() {
	now := clock.Now()
	records := make([]target.Record, 0, len(tr.targets))
	for _, r := range tr.targets {
		record := tr.leaving.apply(r.record, now)
		records = append(records, tr.evacuations.apply(record, tr.keyed(record.Service), now))
	}
	tr.evacuations.publishedAt = now
	v := &View{
		Config: tr.config, Targets: target.NewSet(records), Coordinator: tr.coordinator, Synced: tr.synced, Era: tr.restored.era,
		EvacuatedDomains: tr.evacuations.domains(),
		Tables:           make(map[string]*Table, len(tr.tables)), Daemons: make(map[string]topo.Entry, len(tr.daemons)),
	}
	for s, t := range tr.tables {
		v.Tables[s] = t
	}
	for n, d := range tr.daemons {
		v.Daemons[n] = d
	}
	tr.current.Store(v)
	next := make(chan struct{})
	close(*tr.changed.Swap(&next))
}

// keyed reports whether a service is keyed by the configuration in force.
func (tr *Tracker) keyed(service string) bool {
	return tr.config != nil && tr.config.Services[service].Keyed
}

// EncodedTable returns the encoded range table in force for a service and its revision if that is
// higher than the given one, and otherwise nil.
func (tr *Tracker) EncodedTable(service string, after int64) (table []byte, rev int64, err error) {
	t := tr.Current().Tables[service]
	if t == nil || t.Rev <= after {
		return nil, 0, nil
	}
	table, err = t.Encode()
	return table, t.Rev, err
}

// ApplyWrittenTable applies a range table that this daemon or the coordinator has written, before
// the store reports it as a change.
func (tr *Tracker) ApplyWrittenTable(e topo.Entry) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.applyTable(e)
	tr.publish()
}
