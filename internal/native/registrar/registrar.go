// Package registrar keeps the registrations of targets in the store: the manifest
// names the targets, and the daemon that coordinates asks each whether it lives.
package registrar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/native"
	"github.com/jackdawloom/jackdawloom/internal/protocol/grant"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

const (
	// askEvery is the pause between questions to a target. Its clock is read by the
	// same call, and grants end by that clock.
	askEvery = 200 * time.Millisecond
	// askTimeout is far above the time of a call without load.
	askTimeout = 250 * time.Millisecond
	// missingAfter is the time without an answer after which a target is taken for
	// gone. Its grants last no longer.
	missingAfter = time.Second
	// lookEvery is the pause between comparisons with the store.
	lookEvery = 50 * time.Millisecond
	// writeAgain is the pause after registrations that were not written.
	writeAgain = 200 * time.Millisecond
)

// Config holds what a Registrar needs.
type Config struct {
	Store topo.Store
	// View returns what the daemon knows.
	View func() *view.View
	// Coordinates reports whether this daemon coordinates, and the revision of the
	// lease's key, which is a condition of all writes.
	Coordinates func() (int64, bool)
	Readings    *native.ClockReadings
	Log         *slog.Logger
}

// Registrar asks targets and registers them.
type Registrar struct {
	config Config
	client *http.Transport

	mu      sync.Mutex
	targets map[string]*asked // by ID
}

// asked is what is known of a target of the manifest.
type asked struct {
	service  string // never changes
	declared manifest.Target
	asking   bool
	askAt    time.Duration
	since    time.Duration // when it was first to be asked
	answered time.Duration // when it last answered; 0 for never
	reply    grant.Reply
}

// New returns a Registrar that knows nothing.
func New(c Config) *Registrar {
	return &Registrar{config: c, client: &http.Transport{MaxIdleConnsPerHost: 1}, targets: make(map[string]*asked)}
}

// Run registers targets while the daemon coordinates, until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	defer r.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		term, coordinating := r.config.Coordinates()
		if !coordinating {
			r.forget()
			continue
		}
		v := r.config.View()
		accepted, known := native.ManifestOf(v.Config)
		if !known {
			continue
		}
		r.adopt(&accepted.Manifest)
		r.ask(ctx)
		if txn := r.changes(v, term); len(txn.Puts)+len(txn.Deletes) > 0 {
			r.write(ctx, txn)
		}
	}
}

// forget drops what was known: when this daemon coordinates again, it is old.
func (r *Registrar) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.targets)
}

// adopt takes over the targets of a manifest. Those that do not check grants are
// left out: a manifest of an earlier release may name some.
func (r *Registrar) adopt(m *manifest.Manifest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	declared := make(map[string]bool)
	for _, s := range m.Services {
		for _, t := range s.Targets {
			if !t.ChecksGrants {
				continue
			}
			id := native.TargetID(s.Name, t.Name)
			declared[id] = true
			if x := r.targets[id]; x == nil || x.declared.Address != t.Address {
				r.targets[id] = &asked{service: s.Name, since: now}
			}
			r.targets[id].declared = t
		}
	}
	for id := range r.targets {
		if !declared[id] {
			delete(r.targets, id)
		}
	}
}

// ask asks the targets whose turn it is.
func (r *Registrar) ask(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	for id, x := range r.targets {
		if x.asking || now < x.askAt {
			continue
		}
		x.asking, x.askAt = true, now+askEvery
		go r.askOne(ctx, id, x, x.declared)
	}
}

func (r *Registrar) askOne(ctx context.Context, id string, x *asked, declared manifest.Target) {
	reply, err := r.read(ctx, x.service, declared)
	if err != nil {
		// A kept connection may have lost its other end without notice.
		r.client.CloseIdleConnections()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x.asking = false
	if err != nil || reply.Target != declared.Name {
		return
	}
	x.reply, x.answered = reply, clock.Now()
	r.config.Readings.Record(id, reply)
}

// errReading reports a target that did not answer the question.
var errReading = errors.New("target's answer not usable")

// read asks a target for a reading of its clock.
func (r *Registrar) read(ctx context.Context, service string, t manifest.Target) (grant.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := json.Marshal(grant.Request{Service: service, Target: t.Name})
	if err != nil {
		return grant.Reply{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+grant.Path, bytes.NewReader(body))
	if err != nil {
		return grant.Reply{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.RoundTrip(req)
	if err != nil {
		return grant.Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var reply grant.Reply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return grant.Reply{}, fmt.Errorf("%w: %w", errReading, err)
	}
	if resp.StatusCode != http.StatusOK || reply.Boot == "" {
		return grant.Reply{}, fmt.Errorf("%w: status %d", errReading, resp.StatusCode)
	}
	return reply, nil
}

// changes returns what the store's registrations lack.
func (r *Registrar) changes(v *view.View, term int64) topo.Txn {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	txn := topo.Txn{Compares: []topo.Compare{{Key: view.CoordinatorKey, Field: topo.CompareModRev, Rev: term}}}
	for id, x := range r.targets {
		stored, registered := v.Targets.Get(id)
		switch {
		case now-max(x.since, x.answered) > missingAfter:
			if registered {
				r.config.Log.Info("target does not answer", "target", id, "address", x.declared.Address, "silent_ms", (now - max(x.since, x.answered)).Milliseconds())
				txn.Deletes = append(txn.Deletes, native.TargetKey(id))
			}
		case x.answered != 0:
			wanted := x.registration()
			if registered && wanted.Record(id, x.service) == stored {
				continue
			}
			value, err := cbor.Marshal(wanted)
			if err != nil {
				r.config.Log.Error("registration not encoded", "target", id, "error", err)
				continue
			}
			txn.Puts = append(txn.Puts, topo.Put{Key: native.TargetKey(id), Value: value})
		}
	}
	v.Targets.All(func(t target.Record) {
		if r.targets[t.ID] == nil {
			txn.Deletes = append(txn.Deletes, native.TargetKey(t.ID))
		}
	})
	return txn
}

func (x *asked) registration() native.Registration {
	return native.Registration{
		Address: x.declared.Address, Domain: x.declared.Domain, Slots: x.declared.Slots,
		Leaving: x.declared.Drain || x.reply.Draining, Boot: x.reply.Boot,
	}
}

// write makes changes and waits until the daemon has had time to see them.
func (r *Registrar) write(ctx context.Context, txn topo.Txn) {
	res, err := r.config.Store.Commit(ctx, txn)
	if err != nil || !res.Succeeded {
		r.config.Log.Warn("registrations not written", "targets", len(txn.Puts)+len(txn.Deletes), "error", err)
	} else {
		r.config.Log.Info("registrations written", "registered", len(txn.Puts), "removed", len(txn.Deletes), "revision", res.Rev)
	}
	timer := time.NewTimer(writeAgain)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
