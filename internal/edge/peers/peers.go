// Package peers tells the daemons of a fleet what each of them runs at each
// target, and the coordinator which keys are asked for.
//
// The messages are hints: they are sent once, as datagrams, and a lost one costs
// accuracy only. No decision about ownership or configuration depends on them.
package peers

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// Times and sizes of messages.
const (
	// tellNear and tellFar are the pauses between messages to daemons in the own
	// failure domain and in others. Bytes between domains are charged for.
	tellNear = 50 * time.Millisecond
	tellFar  = 200 * time.Millisecond
	// silentAfter is when a daemon's message no longer counts.
	silentAfter = time.Second
	// maxDatagram fits one packet of the usual size.
	maxDatagram = 1400
	// maxKeys is the number of keys in one message. When more were asked for, each
	// stands for several.
	maxKeys = 256
)

// TargetHash names a target in messages. Two targets with the same hash only
// blur a hint.
type TargetHash uint32

// HashTarget returns the name of a target in messages.
func HashTarget(id string) TargetHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return TargetHash(h.Sum32())
}

// message is what one daemon tells another.
type message struct {
	From    string             `cbor:"1,keyasint"`
	Number  uint64             `cbor:"2,keyasint"`
	Running map[TargetHash]int `cbor:"3,keyasint,omitempty"`
	// Keys are sent to the coordinator only.
	Keys []Sample `cbor:"4,keyasint,omitempty"`
}

// Sample is a set of keys of a service that were asked for.
type Sample struct {
	Service string   `cbor:"1,keyasint"`
	Keys    []uint16 `cbor:"2,keyasint"`
	Weight  float32  `cbor:"3,keyasint"`
}

// Peer is another daemon.
type Peer struct {
	Name    string
	Address netip.AddrPort
	Near    bool
	// Coordinates marks the daemon that assigns keys.
	Coordinates bool
}

// Config holds what a Teller needs.
type Config struct {
	Name    string
	Address string
	Log     *slog.Logger
	// Peers returns the other daemons.
	Peers func() []Peer
	// Running returns this daemon's requests at each target.
	Running func() map[TargetHash]int
	// Heard is told of another daemon's requests at each target; nil if it fell
	// silent.
	Heard func(daemon string, running map[TargetHash]int)
	// Coordinating reports whether this daemon assigns keys.
	Coordinating func() bool
	// Sampled is told of keys that were asked for at any daemon, if this daemon
	// assigns keys.
	Sampled func(Sample)
}

// Teller exchanges messages with the other daemons.
type Teller struct {
	config Config
	number uint64

	mu    sync.Mutex
	keys  map[string][]uint16
	skips map[string]int // keys that were asked for beyond maxKeys
	heard map[string]heard
}

type heard struct {
	number uint64
	at     time.Duration
}

// New returns a Teller that has heard nothing.
func New(c Config) *Teller {
	return &Teller{config: c, keys: make(map[string][]uint16), skips: make(map[string]int), heard: make(map[string]heard)}
}

// Asked notes that a key was asked for.
func (t *Teller) Asked(service string, key uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.keys[service]) >= maxKeys {
		t.skips[service]++
		return
	}
	t.keys[service] = append(t.keys[service], key)
}

// samples returns the keys since the last call.
func (t *Teller) samples() []Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Sample
	for service, keys := range t.keys {
		weight := float32(len(keys)+t.skips[service]) / float32(len(keys))
		out = append(out, Sample{Service: service, Keys: keys, Weight: weight})
	}
	clear(t.keys)
	clear(t.skips)
	return out
}

// Run exchanges messages until ctx ends.
func (t *Teller) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp4", t.config.Address)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.listen(conn)
	}()
	t.tell(ctx, conn)
	err = conn.Close()
	<-done
	return err
}

// tell sends messages.
func (t *Teller) tell(ctx context.Context, conn net.PacketConn) {
	ticker := time.NewTicker(tellNear)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.round(conn, n%int(tellFar/tellNear) == 0)
		t.forgetSilent()
	}
}

// round tells the daemons whose turn it is.
func (t *Teller) round(conn net.PacketConn, far bool) {
	var samples []Sample
	if far {
		samples = t.samples()
	}
	if t.config.Coordinating() {
		for _, s := range samples {
			t.config.Sampled(s)
		}
		samples = nil
	}
	t.number++
	m := message{From: t.config.Name, Number: t.number, Running: t.config.Running()}
	plain := t.encode(m)
	for _, p := range t.config.Peers() {
		switch {
		case p.Coordinates && len(samples) > 0:
			m.Keys = samples
			t.send(conn, p, t.encode(m))
		case p.Near || far:
			t.send(conn, p, plain)
		}
	}
}

func (t *Teller) encode(m message) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		t.config.Log.Error("message to daemons not encoded", "error", err)
		return nil
	}
	return b
}

func (t *Teller) send(conn net.PacketConn, p Peer, b []byte) {
	if len(b) == 0 || len(b) > maxDatagram {
		return
	}
	_, err := conn.WriteTo(b, net.UDPAddrFromAddrPort(p.Address))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		t.config.Log.Debug("message to daemon not sent", "daemon", p.Name, "error", err)
	}
}

// listen receives messages.
func (t *Teller) listen(conn net.PacketConn) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.config.Log.Warn("message from daemons not received", "error", err)
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			t.config.Log.Warn("message from daemon not readable", "from", from.String(), "error", err)
			continue
		}
		t.receive(m)
	}
}

func (t *Teller) receive(m message) {
	t.mu.Lock()
	last := t.heard[m.From]
	now := clock.Now()
	// A daemon that has started again counts from the beginning.
	stale := m.Number <= last.number && now-last.at < silentAfter
	if !stale {
		t.heard[m.From] = heard{m.Number, now}
	}
	t.mu.Unlock()
	if !stale {
		running := m.Running
		if running == nil {
			running = map[TargetHash]int{}
		}
		t.config.Heard(m.From, running)
	}
	if t.config.Coordinating() {
		for _, s := range m.Keys {
			t.config.Sampled(s)
		}
	}
}

func (t *Teller) forgetSilent() {
	now := clock.Now()
	var silent []string
	t.mu.Lock()
	for name, h := range t.heard {
		if now-h.at > silentAfter {
			silent = append(silent, name)
		}
	}
	maps.DeleteFunc(t.heard, func(_ string, h heard) bool { return now-h.at > silentAfter })
	t.mu.Unlock()
	for _, name := range silent {
		t.config.Heard(name, nil)
	}
}
