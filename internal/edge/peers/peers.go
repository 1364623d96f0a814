package peers

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// Times of messages.
const (
	// tellEvery is the pause between a daemon's messages in a small domain.
	// tellPerMember is added for each daemon there, so that a hub's work stays
	// bounded, up to tellMost.
	tellEvery     = 40 * time.Millisecond
	tellPerMember = 4 * time.Millisecond
	tellMost      = 200 * time.Millisecond
	// farEvery is the pause between messages to other domains. Bytes between
	// domains are charged for.
	farEvery = 200 * time.Millisecond
	// silentAfter is when a daemon's message no longer counts.
	silentAfter = time.Second
)

// StatsExchangeConfig holds what a Teller needs.
type StatsExchangeConfig struct {
	Name, Domain string
	Network      Network
	Log          *slog.Logger
	Hubs         *HubSelector
	// Peers returns all daemons, this one included.
	Peers func() []Peer
	// LocalLoads returns this daemon's requests at each target.
	LocalLoads func() Loads
	// OnFleetLoads is told of the requests of all daemons at each target, this daemon's
	// included as it last told them.
	OnFleetLoads func(Loads)
	// OnServiceTimes is told the service times of targets.
	OnServiceTimes func(ServiceTimes)
	// OnKeySample is told of keys that were asked for at any daemon, if this daemon
	// assigns keys.
	OnKeySample func(KeySample)
}

// StatsExchange exchanges messages with the other daemons.
type StatsExchange struct {
	config StatsExchangeConfig
	number uint64
	farAt  time.Duration
	hubAt  time.Duration // when this daemon's hub was last heard, or chosen
	hub    string

	rounds int

	mu      sync.Mutex
	ended   []ServiceTime // own and, at a hub, its domain's, since they were last told
	times   estimates
	keys    map[string][]uint16
	skips   map[string]int // keys that were asked for beyond maxKeys
	members map[string]*heard
	domains map[string]*heard
	fleet   *heard
	// isHub says whether this daemon is its domain's hub. A hub notes in lastHeard
	// when each daemon of the domain was last heard, or first listed.
	isHub     bool
	lastHeard map[string]time.Duration
}

// heard is what was last told by a daemon.
type heard struct {
	from   string
	number uint64
	at     time.Duration
	loads  Loads
}

// NewStatsExchange returns a Teller that has heard nothing.
func NewStatsExchange(c StatsExchangeConfig) *StatsExchange {
	return &StatsExchange{
		config: c, keys: make(map[string][]uint16), skips: make(map[string]int),
		members: make(map[string]*heard), domains: make(map[string]*heard), fleet: &heard{}, times: make(estimates),
		lastHeard: make(map[string]time.Duration),
	}
}

// RecordServiceTime notes the service time of a request.
func (t *StatsExchange) RecordServiceTime(target TargetHash, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := []ServiceTime{{Target: target, Millis: uint16(min(took.Milliseconds(), math.MaxUint16))}}
	t.times.add(x)
	t.noteEnded(x)
}

func (t *StatsExchange) noteEnded(ended []ServiceTime) {
	room := maxEnded - len(t.ended)
	t.ended = append(t.ended, ended[:min(len(ended), room)]...)
}

// takeEnded returns the service times since the last call.
func (t *StatsExchange) takeEnded() []ServiceTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.ended
	t.ended = nil
	return out
}

// RecordKey notes that a key was asked for.
func (t *StatsExchange) RecordKey(service string, key uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.note(service, key)
}

func (t *StatsExchange) note(service string, key uint16) {
	if len(t.keys[service]) >= maxKeys {
		t.skips[service]++
		return
	}
	t.keys[service] = append(t.keys[service], key)
}

// samples returns the keys since the last call.
func (t *StatsExchange) samples() []KeySample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []KeySample
	for service, keys := range t.keys {
		weight := float32(len(keys)+t.skips[service]) / float32(len(keys))
		out = append(out, KeySample{Service: service, Keys: keys, Weight: weight})
	}
	clear(t.keys)
	clear(t.skips)
	return out
}

// Run tells the other daemons until ctx ends.
func (t *StatsExchange) Run(ctx context.Context) {
	timer := time.NewTimer(tellEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		peers := t.config.Peers()
		hubs := t.config.Hubs.Select(peers)
		t.round(peers, hubs)
		timer.Reset(t.pause(peers))
	}
}

func (t *StatsExchange) pause(peers []Peer) time.Duration {
	members := 0
	for _, p := range peers {
		if p.Domain == t.config.Domain {
			members++
		}
	}
	return min(tellEvery+time.Duration(members)*tellPerMember, tellMost)
}

// round tells whom this daemon is to tell.
func (t *StatsExchange) round(peers []Peer, hubs map[string]Peer) {
	now := clock.Now()
	far := now-t.farAt >= farEvery
	if far {
		t.farAt = now
	}
	t.number++
	hub, known := hubs[t.config.Domain]
	if !known {
		return
	}
	t.noteHub(hub.Name == t.config.Name)
	if hub.Name == t.config.Name {
		t.actAsHub(peers, hubs, far, now)
		return
	}
	t.watchHub(hub, now)
	m := t.message(scopeDaemon, t.config.LocalLoads())
	if far {
		m.Keys, m.Ended = t.samples(), t.takeEnded()
	}
	t.send(hub, m)
}

func (t *StatsExchange) noteHub(self bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isHub = self
	if !self {
		clear(t.lastHeard)
	}
}

// SilentDaemons returns the daemons of the domain that were not heard for a time, if this
// daemon is the domain's hub. The time of a daemon that was never heard starts with
// the first call that finds it listed.
func (t *StatsExchange) SilentDaemons(after time.Duration) []string {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isHub {
		return nil
	}
	var out []string
	listed := make(map[string]time.Duration)
	for _, p := range t.config.Peers() {
		if p.Domain != t.config.Domain || p.Name == t.config.Name {
			continue
		}
		at, known := t.lastHeard[p.Name]
		if !known {
			at = now
		}
		listed[p.Name] = at
		if now-at > after {
			out = append(out, p.Name)
		}
	}
	// A daemon that is listed again later starts anew.
	t.lastHeard = listed
	return out
}

// watchHub passes over a hub that does not answer.
func (t *StatsExchange) watchHub(hub Peer, now time.Duration) {
	if hub.Name != t.hub {
		t.hub, t.hubAt = hub.Name, now
	}
	t.mu.Lock()
	if t.fleet.from == hub.Name {
		t.hubAt = max(t.hubAt, t.fleet.at)
	}
	t.mu.Unlock()
	if now-t.hubAt > silentAfter {
		t.config.Log.Info("hub silent; choosing another", "hub", hub.Name, "silent_ms", (now - t.hubAt).Milliseconds())
		t.config.Hubs.MarkFailed(hub.Name)
	}
}

// actAsHub sums up the domain and passes the sums on.
func (t *StatsExchange) actAsHub(peers []Peer, hubs map[string]Peer, far bool, now time.Duration) {
	domain := t.config.LocalLoads()
	fleet := make(Loads)
	t.mu.Lock()
	for name, h := range t.members {
		if now-h.at > silentAfter {
			delete(t.members, name)
			continue
		}
		domain.add(h.loads)
	}
	for _, h := range t.domains {
		if now-h.at <= silentAfter {
			fleet.add(h.loads)
		}
	}
	times := t.times.times()
	t.mu.Unlock()
	fleet.add(domain)
	t.config.OnFleetLoads(fleet)
	m := t.message(scopeFleet, fleet)
	if t.rounds++; t.rounds%timesEvery == 0 {
		m.Times = times
		t.config.OnServiceTimes(times)
	}
	for _, p := range peers {
		if p.Domain == t.config.Domain && p.Name != t.config.Name {
			t.send(p, m)
		}
	}
	if far {
		t.tellFar(peers, hubs, domain)
	}
}

// tellFar tells the other domains' hubs, and the coordinator.
func (t *StatsExchange) tellFar(peers []Peer, hubs map[string]Peer, domain Loads) {
	m := t.message(scopeDomain, domain)
	m.Ended = t.takeEnded()
	for name, hub := range hubs {
		if name != t.config.Domain {
			t.send(hub, m)
		}
	}
	for _, p := range peers {
		if !p.IsCoordinator {
			continue
		}
		for _, s := range t.samples() {
			if p.Name == t.config.Name {
				t.config.OnKeySample(s)
				continue
			}
			m := t.message(scopeDomain, domain)
			m.Keys = []KeySample{s}
			t.send(p, m)
		}
	}
}

func (t *StatsExchange) message(s scope, l Loads) message {
	return message{From: t.config.Name, Domain: t.config.Domain, Scope: s, Number: t.number, Loads: l}
}

func (t *StatsExchange) send(p Peer, m message) {
	for _, part := range m.chunks() {
		b, err := part.encode()
		if err != nil || len(b) > maxDatagram {
			t.config.Log.Warn("message to daemon not encoded", "daemon", p.Name, "bytes", len(b), "error", err)
			return
		}
		if err := t.config.Network.Tell(p.Address, b); err != nil {
			t.config.Log.Debug("message to daemon not sent", "daemon", p.Name, "error", err)
		}
	}
}

// Receive takes a message of another daemon.
func (t *StatsExchange) Receive(b []byte) {
	m, err := decode(b)
	if err != nil {
		t.config.Log.Warn("message from daemon not readable", "bytes", len(b), "error", err)
		return
	}
	t.receive(m)
}

func (t *StatsExchange) receive(m message) {
	t.mu.Lock()
	now := clock.Now()
	switch m.Scope {
	case scopeDaemon:
		t.members[m.From] = take(t.members[m.From], m, now)
		t.lastHeard[m.From] = now
	case scopeDomain:
		t.domains[m.Domain] = take(t.domains[m.Domain], m, now)
	case scopeFleet:
		t.fleet = take(t.fleet, m, now)
	}
	fleet := maps.Clone(t.fleet.loads)
	t.times.add(m.Ended)
	if m.Scope == scopeDaemon {
		t.noteEnded(m.Ended)
	}
	var own []KeySample
	for _, s := range m.Keys {
		if m.Scope == scopeDomain {
			own = append(own, s)
			continue
		}
		for _, k := range s.Keys {
			t.note(s.Service, k)
		}
	}
	t.mu.Unlock()
	// The dispatcher tells service times while it holds its mutex, so it must not be
	// told anything while this one is held.
	if m.Scope == scopeFleet {
		t.config.OnFleetLoads(fleet)
	}
	if len(m.Times) > 0 {
		t.config.OnServiceTimes(m.Times)
	}
	for _, s := range own {
		t.config.OnKeySample(s)
	}
}

// take takes over a message unless it is older than what was heard. A sender that
// has started again counts from the beginning.
func take(h *heard, m message, now time.Duration) *heard {
	switch {
	case h == nil || h.from != m.From || now-h.at > silentAfter:
		h = &heard{from: m.From}
	case m.Number < h.number:
		return h
	}
	h.number, h.at = m.Number, now
	h.loads = m.merge(h.loads)
	return h
}
