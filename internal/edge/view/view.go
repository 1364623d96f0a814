// Package view holds what a daemon knows of the fleet: the configuration, the
// targets, who owns which keys, and who coordinates.
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

// Keys of the daemons' own documents.
const (
	CoordinatorKey = topo.KeyCoordinator
	rangesPrefix   = topo.Prefix + "ranges/"
	daemonsPrefix  = topo.Prefix + "daemons/"
)

// RangesKey is the key of a service's range table.
func RangesKey(service string) string { return rangesPrefix + service }

// DaemonKey is the key under which a daemon announces itself.
func DaemonKey(name string) string { return daemonsPrefix + name }

// returnTime is how long after the store's return a registration may take to
// come back that lapsed in the meantime.
const returnTime = 2 * time.Second

// Documents reads the documents of operators and targets.
type Documents interface {
	// Prefix is that of all keys that daemons read.
	Prefix() string
	ConfigKey() string
	TargetsPrefix() string
	Config(b []byte) (*route.Config, error)
	Target(key string, b []byte) (target.Record, error)
}

// Table is a range table with the revision of its last write.
type Table struct {
	ranges.Table
	Rev int64
}

// View is an immutable state of the fleet.
type View struct {
	// Config is nil until the first configuration is known.
	Config      *route.Config
	Targets     *target.Set
	Tables      map[string]*Table
	Coordinator topo.Entry
	Daemons     map[string]topo.Entry
	// Synced tells that the whole store was read at least once.
	Synced bool
}

// Tracker builds views from changes of the store.
type Tracker struct {
	docs   Documents
	log    *slog.Logger
	status func() mirror.Status

	mu      sync.Mutex
	targets map[string]registration
	building

	current atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
}

// registration is a known target. A lapsed one is kept until a time.
type registration struct {
	record target.Record
	lapsed time.Duration // 0 while registered
}

type building struct {
	config      *route.Config
	tables      map[string]*Table
	coordinator topo.Entry
	daemons     map[string]topo.Entry
	read        bool
}

// NewTracker returns a Keeper without knowledge. status tells how the store is
// reached.
func NewTracker(docs Documents, log *slog.Logger, status func() mirror.Status) *Tracker {
	k := &Tracker{
		docs: docs, log: log, status: status, targets: make(map[string]registration),
		building: building{tables: make(map[string]*Table), daemons: make(map[string]topo.Entry)},
	}
	k.current.Store(&View{Targets: target.NewSet(nil)})
	ch := make(chan struct{})
	k.changed.Store(&ch)
	return k
}

// Current returns the present view.
func (k *Tracker) Current() *View { return k.current.Load() }

// Age returns how old the copy of the store is that views are made from.
func (k *Tracker) Age() time.Duration { return clock.Now() - k.status().CurrentAt }

// Changed returns a channel that is closed when the next view is there.
func (k *Tracker) Changed() <-chan struct{} { return *k.changed.Load() }

// Apply takes over changes of the store.
func (k *Tracker) Apply(c mirror.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.Snapshot {
		k.forget(c.Entries)
		k.read = true
	}
	for _, e := range c.Entries {
		k.applyEntry(e)
	}
	k.publish()
}

// Expire drops registrations that have not come back in time.
func (k *Tracker) Expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dropLapsed(clock.Now()) {
		k.publish()
	}
}

func (k *Tracker) dropLapsed(now time.Duration) bool {
	status := k.status()
	dropped := false
	for id, r := range k.targets {
		if r.lapsed == 0 || !status.Up || now < max(r.lapsed, status.UpSince+returnTime) {
			continue
		}
		delete(k.targets, id)
		dropped = true
		k.log.Info("target gone", "target", id, "service", r.record.Service,
			"lapsed_ms", (now - r.lapsed).Milliseconds(), "reason", "registration did not come back")
	}
	return dropped
}

// forget treats everything that a complete copy lacks as deleted.
func (k *Tracker) forget(entries []topo.Entry) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
	}
	for id := range k.targets {
		if key := k.docs.TargetsPrefix() + id; !present[key] {
			k.applyTarget(topo.Entry{Key: key})
		}
	}
	if !present[CoordinatorKey] {
		k.coordinator = topo.Entry{}
	}
	for name := range k.daemons {
		if !present[DaemonKey(name)] {
			delete(k.daemons, name)
		}
	}
}

func (k *Tracker) applyEntry(e topo.Entry) {
	switch {
	case e.Key == k.docs.ConfigKey():
		k.applyConfig(e)
	case e.Key == CoordinatorKey:
		k.coordinator = e
	case strings.HasPrefix(e.Key, k.docs.TargetsPrefix()):
		k.applyTarget(e)
	case strings.HasPrefix(e.Key, rangesPrefix):
		k.applyTable(e)
	case strings.HasPrefix(e.Key, daemonsPrefix):
		name := strings.TrimPrefix(e.Key, daemonsPrefix)
		if e.Exists() {
			k.daemons[name] = e
		} else {
			delete(k.daemons, name)
		}
	}
}

func (k *Tracker) applyConfig(e topo.Entry) {
	if !e.Exists() {
		k.log.Warn("configuration deleted in the store; keeping the one in force")
		return
	}
	c, err := k.docs.Config(e.Value)
	if err != nil {
		k.log.Error("configuration not usable; keeping the one in force", "revision", e.ModRev, "error", err)
		return
	}
	if k.config != nil && c.Version <= k.config.Version {
		return
	}
	k.config = c
	k.log.Info("configuration in force", "version", c.Version, "revision", e.ModRev, "routes", c.Routes)
}

func (k *Tracker) applyTarget(e topo.Entry) {
	id := strings.TrimPrefix(e.Key, k.docs.TargetsPrefix())
	known, had := k.targets[id]
	if !e.Exists() {
		if had && known.lapsed == 0 {
			k.lapse(id, known)
		}
		return
	}
	r, err := k.docs.Target(e.Key, e.Value)
	if err != nil {
		k.log.Warn("registration not usable", "key", e.Key, "revision", e.ModRev, "error", err)
		if had {
			delete(k.targets, id)
		}
		return
	}
	k.targets[id] = registration{record: r}
	switch {
	case !had || known.record.Incarnation() != r.Incarnation():
		k.log.Info("target registered", "target", id, "service", r.Service, "address", r.Address,
			"domain", r.Domain, "revision", e.ModRev, "replaces_life", had)
	case known.record.State != r.State && r.State != target.Ready:
		k.log.Info("target draining", "target", id, "service", r.Service, "revision", e.ModRev)
	}
}

// lapse handles the end of a registration. While the store is away, and shortly
// after, it says nothing about the target.
func (k *Tracker) lapse(id string, r registration) {
	now := clock.Now()
	status := k.status()
	if status.Up && now > status.UpSince+returnTime {
		delete(k.targets, id)
		k.log.Info("target gone", "target", id, "service", r.record.Service, "reason", "registration ended")
		return
	}
	r.lapsed = now
	k.targets[id] = r
	k.log.Info("registration lapsed while the store was away; keeping the target", "target", id, "service", r.record.Service)
}

func (k *Tracker) applyTable(e topo.Entry) {
	service := strings.TrimPrefix(e.Key, rangesPrefix)
	if !e.Exists() {
		return
	}
	t, err := ranges.Decode(e.Value)
	if err != nil {
		k.log.Error("range table not usable; keeping the one in force", "service", service, "revision", e.ModRev, "error", err)
		return
	}
	if old := k.tables[service]; old != nil && old.Rev >= e.ModRev {
		return
	}
	k.tables[service] = &Table{Table: *t, Rev: e.ModRev}
	k.log.Info("range table in force", "service", service, "revision", e.ModRev, "spans", len(t.Spans), "fence", t.Fence)
}

// publish makes the present knowledge the current view.
func (k *Tracker) publish() {
	records := make([]target.Record, 0, len(k.targets))
	for _, r := range k.targets {
		records = append(records, r.record)
	}
	v := &View{
		Config: k.config, Targets: target.NewSet(records), Coordinator: k.coordinator, Synced: k.read,
		Tables: make(map[string]*Table, len(k.tables)), Daemons: make(map[string]topo.Entry, len(k.daemons)),
	}
	for s, t := range k.tables {
		v.Tables[s] = t
	}
	for n, d := range k.daemons {
		v.Daemons[n] = d
	}
	k.current.Store(v)
	next := make(chan struct{})
	close(*k.changed.Swap(&next))
}

// ApplyWrittenTable takes over a range table that this daemon wrote, before it arrives
// as a change.
func (k *Tracker) ApplyWrittenTable(e topo.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyTable(e)
	k.publish()
}
