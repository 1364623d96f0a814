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

// Intervals and lifetimes of messages.
const (
	// sendInterval is the base interval between a daemon's messages. sendIntervalPerMember is
	// added for each daemon of the domain, up to maxSendInterval, so that the work of a hub
	// stays bounded.
	sendInterval          = 40 * time.Millisecond
	sendIntervalPerMember = 4 * time.Millisecond
	maxSendInterval       = 200 * time.Millisecond
	// interDomainInterval is the interval between messages to other domains. Traffic between
	// domains is charged for.
	interDomainInterval = 200 * time.Millisecond
	// messageLifetime is the age from which a daemon's last message is ignored.
	messageLifetime = time.Second
)

// StatsExchangeConfig holds the dependencies of a StatsExchange.
type StatsExchangeConfig struct {
	Name, Domain string
	Network      Network
	Log          *slog.Logger
	Hubs         *HubSelector
	// Peers returns all daemons, including this one.
	Peers func() []Peer
	// LocalLoads returns this daemon's requests in flight at each target.
	LocalLoads func() Loads
	// OnFleetLoads is called with the loads of all daemons. The loads include this daemon's
	// own loads as it last sent them.
	OnFleetLoads func(Loads)
	// OnServiceTimes is called with the estimated service times of targets.
	OnServiceTimes func(ServiceTimes)
	// OnKeySample is called with samples of the keys requested at any daemon, if this daemon
	// is the coordinator.
	OnKeySample func(KeySample)
	// RecentlyLeaving returns the hashes of the targets that recently said that they are
	// leaving, and OnLeaving is called with those that other daemons name.
	RecentlyLeaving func() []uint64
	OnLeaving       func(hash uint64, daemon string)
}

// StatsExchange exchanges loads, service times and key samples with the other daemons.
// Daemons send to the hub of their domain, which sums up the domain, exchanges the sums
// with the other hubs and sends the total to the daemons of the domain.
type StatsExchange struct {
	config        StatsExchangeConfig
	sequence      uint64
	interDomainAt time.Duration
	hubHeardAt    time.Duration // when this daemon's hub was last heard, or chosen
	hub           string

	rounds int

	mu            sync.Mutex
	measured      []ServiceTime // for the next message; at a hub also those of its domain
	timeEstimates estimates
	keys          map[string][]uint16
	skippedKeys   map[string]int // number of requested keys beyond maxKeys, by service
	members       map[string]*loadReport
	domains       map[string]*loadReport
	fleet         *loadReport
	// isHub is true if this daemon is its domain's hub. A hub records in lastHeard when each
	// daemon of the domain was last heard, or first listed.
	isHub     bool
	lastHeard map[string]time.Duration
}

// loadReport is the last load information received from a daemon.
type loadReport struct {
	from     string
	sequence uint64
	at       time.Duration
	loads    Loads
}

// NewStatsExchange returns a StatsExchange that has received no messages yet.
func NewStatsExchange(c StatsExchangeConfig) *StatsExchange {
	return &StatsExchange{
		config: c, keys: make(map[string][]uint16), skippedKeys: make(map[string]int),
		members: make(map[string]*loadReport), domains: make(map[string]*loadReport), fleet: &loadReport{}, timeEstimates: make(estimates),
		lastHeard: make(map[string]time.Duration),
	}
}

// RecordServiceTime records the measured service time of a request.
func (t *StatsExchange) RecordServiceTime(target TargetHash, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := []ServiceTime{{Target: target, Millis: uint16(min(took.Milliseconds(), math.MaxUint16))}}
	t.timeEstimates.add(x)
	t.queueServiceTimes(x)
}

// queueServiceTimes queues service times for the next message and drops those beyond
// maxServiceTimes. The mutex must be held.
func (t *StatsExchange) queueServiceTimes(times []ServiceTime) {
	room := maxServiceTimes - len(t.measured)
	t.measured = append(t.measured, times[:min(len(times), room)]...)
}

// takeServiceTimes returns and clears the queued service times.
func (t *StatsExchange) takeServiceTimes() []ServiceTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.measured
	t.measured = nil
	return out
}

// RecordKey records that a key was requested.
func (t *StatsExchange) RecordKey(service string, key uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordKeyLocked(service, key)
}

func (t *StatsExchange) recordKeyLocked(service string, key uint16) {
	if len(t.keys[service]) >= maxKeys {
		t.skippedKeys[service]++
		return
	}
	t.keys[service] = append(t.keys[service], key)
}

// takeKeySamples returns and clears the samples of the recorded keys.
func (t *StatsExchange) takeKeySamples() []KeySample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []KeySample
	for service, keys := range t.keys {
		weight := float32(len(keys)+t.skippedKeys[service]) / float32(len(keys))
		out = append(out, KeySample{Service: service, Keys: keys, Weight: weight})
	}
	clear(t.keys)
	clear(t.skippedKeys)
	return out
}

// Run sends messages to the other daemons until ctx ends.
func (t *StatsExchange) Run(ctx context.Context) {
	timer := time.NewTimer(sendInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		peers := t.config.Peers()
		hubs := t.config.Hubs.Select(peers)
		t.sendRound(peers, hubs)
		timer.Reset(t.currentInterval(peers))
	}
}

// currentInterval returns the interval between messages for the size of the domain.
func (t *StatsExchange) currentInterval(peers []Peer) time.Duration {
	members := 0
	for _, p := range peers {
		if p.Domain == t.config.Domain {
			members++
		}
	}
	return min(sendInterval+time.Duration(members)*sendIntervalPerMember, maxSendInterval)
}

// sendRound sends the messages that are due: as a hub to the domain and to other hubs,
// otherwise to the hub.
func (t *StatsExchange) sendRound(peers []Peer, hubs map[string]Peer) {
	now := clock.Now()
	interDomain := now-t.interDomainAt >= interDomainInterval
	if interDomain {
		t.interDomainAt = now
	}
	t.sequence++
	hub, known := hubs[t.config.Domain]
	if !known {
		return
	}
	t.setIsHub(hub.Name == t.config.Name)
	if hub.Name == t.config.Name {
		t.runHubRound(peers, hubs, interDomain, now)
		return
	}
	t.checkHub(hub, now)
	if interDomain {
		t.sendLeaving([]Peer{hub})
	}
	m := t.newMessage(scopeDaemon, t.config.LocalLoads())
	if interDomain {
		m.Keys, m.Measured = t.takeKeySamples(), t.takeServiceTimes()
	}
	t.send(hub, m)
}

func (t *StatsExchange) setIsHub(self bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isHub = self
	if !self {
		clear(t.lastHeard)
	}
}

// SilentDaemons returns the daemons of the domain that have not been heard for longer than
// after, if this daemon is the domain's hub. The silence of a daemon that was never heard
// counts from the first call that finds the daemon listed.
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
	// Daemons that are not listed are dropped: if such a daemon is listed again, its
	// silence counts from then on.
	t.lastHeard = listed
	return out
}

// checkHub makes this daemon choose another hub if it has heard nothing from its hub for
// messageLifetime.
func (t *StatsExchange) checkHub(hub Peer, now time.Duration) {
	if hub.Name != t.hub {
		t.hub, t.hubHeardAt = hub.Name, now
	}
	t.mu.Lock()
	if t.fleet.from == hub.Name {
		t.hubHeardAt = max(t.hubHeardAt, t.fleet.at)
	}
	t.mu.Unlock()
	if now-t.hubHeardAt > messageLifetime {
		t.config.Log.Info("hub silent; choosing another", "hub", hub.Name, "silent_ms", (now - t.hubHeardAt).Milliseconds())
		t.config.Hubs.MarkFailed(hub.Name)
	}
}

// runHubRound sums up the loads of the domain and of the fleet and sends the sums.
func (t *StatsExchange) runHubRound(peers []Peer, hubs map[string]Peer, interDomain bool, now time.Duration) {
	domain := t.config.LocalLoads()
	fleet := make(Loads)
	t.mu.Lock()
	for name, h := range t.members {
		if now-h.at > messageLifetime {
			delete(t.members, name)
			continue
		}
		domain.add(h.loads)
	}
	for _, h := range t.domains {
		if now-h.at <= messageLifetime {
			fleet.add(h.loads)
		}
	}
	times := t.timeEstimates.serviceTimes()
	t.mu.Unlock()
	fleet.add(domain)
	t.config.OnFleetLoads(fleet)
	m := t.newMessage(scopeFleet, fleet)
	if t.rounds++; t.rounds%estimatesEvery == 0 {
		m.Estimates = times
		t.config.OnServiceTimes(times)
	}
	for _, p := range t.ownDomain(peers) {
		t.send(p, m)
	}
	if interDomain {
		t.sendInterDomain(peers, hubs, domain)
	}
}

// sendInterDomain sends the domain's loads and service times to the hubs of the other
// domains, and its key samples to the coordinator.
func (t *StatsExchange) sendInterDomain(peers []Peer, hubs map[string]Peer, domain Loads) {
	m := t.newMessage(scopeDomain, domain)
	m.Measured = t.takeServiceTimes()
	others := t.ownDomain(peers)
	for name, hub := range hubs {
		if name != t.config.Domain {
			t.send(hub, m)
			others = append(others, hub)
		}
	}
	t.sendLeaving(others)
	for _, p := range peers {
		if !p.IsCoordinator {
			continue
		}
		for _, s := range t.takeKeySamples() {
			if p.Name == t.config.Name {
				t.config.OnKeySample(s)
				continue
			}
			m := t.newMessage(scopeDomain, domain)
			m.Keys = []KeySample{s}
			t.send(p, m)
		}
	}
}

// ownDomain returns the other daemons of the domain.
func (t *StatsExchange) ownDomain(peers []Peer) []Peer {
	var out []Peer
	for _, p := range peers {
		if p.Domain == t.config.Domain && p.Name != t.config.Name {
			out = append(out, p)
		}
	}
	return out
}

// sendLeaving tells the given daemons which targets recently said that they are leaving.
func (t *StatsExchange) sendLeaving(to []Peer) {
	leaving := t.config.RecentlyLeaving()
	if len(leaving) == 0 {
		return
	}
	m := t.newMessage(scopeLeaving, nil)
	m.Leaving = leaving[:min(len(leaving), maxLeaving)]
	for _, p := range to {
		t.send(p, m)
	}
}

func (t *StatsExchange) newMessage(s scope, l Loads) message {
	return message{From: t.config.Name, Domain: t.config.Domain, Scope: s, Sequence: t.sequence, Loads: l}
}

func (t *StatsExchange) send(p Peer, m message) {
	for _, part := range m.chunks() {
		b, err := part.encode()
		if err != nil || len(b) > maxDatagram {
			t.config.Log.Warn("statistics for a daemon could not be encoded or are too large; not sending them", "daemon", p.Name, "bytes", len(b), "error", err)
			return
		}
		if err := t.config.Network.SendHint(p.Address, b); err != nil {
			t.config.Log.Debug("statistics could not be sent to a daemon", "daemon", p.Name, "error", err)
		}
	}
}

// Receive processes an encoded message of another daemon.
func (t *StatsExchange) Receive(b []byte) {
	m, err := decode(b)
	if err != nil {
		t.config.Log.Warn("statistics from a daemon could not be decoded; ignoring them", "bytes", len(b), "error", err)
		return
	}
	t.receive(m)
}

func (t *StatsExchange) receive(m message) {
	if m.Scope == scopeLeaving {
		for _, hash := range m.Leaving {
			t.config.OnLeaving(hash, m.From)
		}
		return
	}
	t.mu.Lock()
	now := clock.Now()
	switch m.Scope {
	case scopeDaemon:
		t.members[m.From] = updateReport(t.members[m.From], m, now)
		t.lastHeard[m.From] = now
	case scopeDomain:
		t.domains[m.Domain] = updateReport(t.domains[m.Domain], m, now)
	case scopeFleet:
		t.fleet = updateReport(t.fleet, m, now)
	}
	fleet := maps.Clone(t.fleet.loads)
	t.timeEstimates.add(m.Measured)
	if m.Scope == scopeDaemon {
		t.queueServiceTimes(m.Measured)
	}
	var samples []KeySample
	for _, s := range m.Keys {
		if m.Scope == scopeDomain {
			samples = append(samples, s)
			continue
		}
		for _, k := range s.Keys {
			t.recordKeyLocked(s.Service, k)
		}
	}
	t.mu.Unlock()
	// The callbacks run without t.mu: the dispatcher calls RecordServiceTime while it
	// holds its own mutex, so calling the dispatcher with t.mu held could deadlock.
	if m.Scope == scopeFleet {
		t.config.OnFleetLoads(fleet)
	}
	if len(m.Estimates) > 0 {
		t.config.OnServiceTimes(m.Estimates)
	}
	for _, s := range samples {
		t.config.OnKeySample(s)
	}
}

// updateReport returns the report updated by a message, or the unchanged report if the
// message is older. A message of another sender starts a new report. So does a message
// after a silence of more than messageLifetime, because a restarted sender counts its
// sequence from the beginning.
func updateReport(report *loadReport, m message, now time.Duration) *loadReport {
	switch {
	case report == nil || report.from != m.From || now-report.at > messageLifetime:
		report = &loadReport{from: m.From}
	case m.Sequence < report.sequence:
		return report
	}
	report.sequence, report.at = m.Sequence, now
	report.loads = m.merge(report.loads)
	return report
}
