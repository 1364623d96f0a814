// Package registrar maintains the registrations of targets in the store: the manifest
// names the targets, and the coordinating daemon probes each of them.
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
	// probeInterval is the interval between probes of a target. A probe also reads the
	// target's clock, by which grants expire.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is far above the latency of a probe without load.
	probeTimeout = 250 * time.Millisecond
	// unresponsiveTimeout is the time without a reply after which a target's registration is
	// removed. Grants last no longer while the store can be reached.
	unresponsiveTimeout = time.Second
	// reconcileInterval is the interval at which the registrations in the daemon's view of
	// the store are compared with the probed targets.
	reconcileInterval = 50 * time.Millisecond
	// writeInterval is the pause after each write of registrations, successful or not. In
	// this time the daemon's view catches up with the store.
	writeInterval = 200 * time.Millisecond
)

// Config holds what a Registrar needs.
type Config struct {
	Store topo.Store
	// View returns the daemon's current view of the store.
	View func() *view.View
	// CoordinatorTerm reports whether this daemon is the coordinator, and returns the
	// revision of the coordinator's key, on which all writes are conditional.
	CoordinatorTerm func() (int64, bool)
	Readings        *native.ClockReadings
	Log             *slog.Logger
}

// Registrar probes the targets of the manifest and registers those that respond.
type Registrar struct {
	config Config
	client *http.Transport

	mu      sync.Mutex
	targets map[string]*probedTarget // by ID
}

// probedTarget is the state of a target of the manifest.
type probedTarget struct {
	service     string // never changes
	declared    manifest.Target
	probing     bool
	nextProbe   time.Duration
	addedAt     time.Duration // when probing began
	lastReplyAt time.Duration // 0 if it never replied
	lastReply   grant.Reply
}

// New returns a Registrar without targets. Run adds them from the manifest.
func New(c Config) *Registrar {
	return &Registrar{config: c, client: &http.Transport{MaxIdleConnsPerHost: 1}, targets: make(map[string]*probedTarget)}
}

// Run probes and registers targets until ctx ends, while this daemon is the coordinator.
func (r *Registrar) Run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer r.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		term, coordinating := r.config.CoordinatorTerm()
		if !coordinating {
			r.reset()
			continue
		}
		v := r.config.View()
		accepted, known := native.ManifestOf(v.Config)
		if !known {
			continue
		}
		r.syncTargets(&accepted.Manifest)
		r.startProbes(ctx)
		if txn := r.pendingChanges(v, term); len(txn.Puts)+len(txn.Deletes) > 0 {
			r.commit(ctx, txn)
		}
	}
}

// reset discards the state of all targets, which would be stale when this daemon becomes
// the coordinator again.
func (r *Registrar) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.targets)
}

// syncTargets replaces the set of targets by that of a manifest. Targets that do not check
// grants are left out; a manifest of an earlier release may contain such targets.
func (r *Registrar) syncTargets(m *manifest.Manifest) {
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
			if existing := r.targets[id]; existing == nil || existing.declared.Address != t.Address {
				r.targets[id] = &probedTarget{service: s.Name, addedAt: now}
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

// startProbes starts the probes that are due.
func (r *Registrar) startProbes(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	for id, p := range r.targets {
		if p.probing || now < p.nextProbe {
			continue
		}
		p.probing, p.nextProbe = true, now+probeInterval
		go r.probe(ctx, id, p, p.declared)
	}
}

func (r *Registrar) probe(ctx context.Context, id string, p *probedTarget, declared manifest.Target) {
	reply, err := r.requestReply(ctx, p.service, declared)
	if err != nil {
		// The other end of an idle connection may have silently gone.
		r.client.CloseIdleConnections()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.probing = false
	if err != nil || reply.Target != declared.Name {
		return
	}
	p.lastReply, p.lastReplyAt = reply, clock.Now()
	r.config.Readings.Record(id, reply)
}

// errInvalidReply reports a response that contains no reading of the target's clock.
var errInvalidReply = errors.New("invalid reply from target")

// requestReply sends a probe to a target and returns the reply with the reading of its
// clock.
func (r *Registrar) requestReply(ctx context.Context, service string, t manifest.Target) (grant.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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
		return grant.Reply{}, fmt.Errorf("%w: %w", errInvalidReply, err)
	}
	if resp.StatusCode != http.StatusOK || reply.BootID == "" {
		return grant.Reply{}, fmt.Errorf("%w: want status 200 with a boot ID, got status %d", errInvalidReply, resp.StatusCode)
	}
	return reply, nil
}

// pendingChanges returns the transaction that brings the registrations in the store up to
// date. It depends on the revision of the coordinator's key being term.
func (r *Registrar) pendingChanges(v *view.View, term int64) topo.Txn {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	txn := topo.Txn{Compares: []topo.Compare{{Key: view.CoordinatorKey, Field: topo.CompareModRev, Rev: term}}}
	for id, p := range r.targets {
		stored, registered := v.Targets.Get(id)
		switch {
		case now-max(p.addedAt, p.lastReplyAt) > unresponsiveTimeout:
			if registered {
				r.config.Log.Info("target does not answer; removing its registration", "target", id, "address", p.declared.Address, "silent_ms", (now - max(p.addedAt, p.lastReplyAt)).Milliseconds())
				txn.Deletes = append(txn.Deletes, native.TargetKey(id))
			}
		case p.lastReplyAt != 0:
			current := p.registration()
			if registered && current.Record(id, p.service) == stored {
				continue
			}
			value, err := cbor.Marshal(current)
			if err != nil {
				r.config.Log.Error("target's registration could not be encoded; not writing it", "target", id, "error", err)
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

func (p *probedTarget) registration() native.Registration {
	return native.Registration{
		Address: p.declared.Address, Domain: p.declared.Domain, Slots: p.declared.Slots,
		Leaving: p.declared.Drain || p.lastReply.Draining, Boot: p.lastReply.BootID,
	}
}

// commit writes changes to the store and waits until the daemon's view has had time to
// receive them.
func (r *Registrar) commit(ctx context.Context, txn topo.Txn) {
	res, err := r.config.Store.Commit(ctx, txn)
	if err != nil || !res.Succeeded {
		r.config.Log.Warn("registrations not written", "targets", len(txn.Puts)+len(txn.Deletes), "error", err)
	} else {
		r.config.Log.Info("registrations written", "registered", len(txn.Puts), "removed", len(txn.Deletes), "revision", res.Rev)
	}
	timer := time.NewTimer(writeInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
