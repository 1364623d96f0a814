// Package peers connects the daemons of a fleet: they tell each other what runs
// at each target and which keys are asked for, and read the store through each
// other.
//
// Loads and keys are hints in datagrams that are sent once. No decision about
// ownership or configuration depends on them.
package peers

import (
	"hash/fnv"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of messages.
const (
	// maxDatagram fits one packet of the usual size.
	maxDatagram = 1400
	// chunkTargets is the number of targets in one datagram: up to fourteen bytes
	// each with its time. Hashes fill datagrams unevenly, so half is left free.
	chunkTargets = 55
	// maxEnded is the number of service times in one message. More are dropped:
	// so many tell as much.
	maxEnded = 60
	// maxKeys is the number of keys in one sample. When more were asked for, each
	// stands for several.
	maxKeys = 128
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

// Loads are the requests at each target.
type Loads map[TargetHash]int

// add adds the loads of others.
func (l Loads) add(other Loads) {
	for t, n := range other {
		l[t] += n
	}
}

// scope says whose loads a message holds.
type scope uint8

const (
	// scopeDaemon: those of the sender, told to the hub of its domain.
	scopeDaemon scope = iota
	// scopeDomain: those of the sender's domain, told to the hubs of others.
	scopeDomain
	// scopeFleet: those of all daemons, told to the daemons of the domain.
	scopeFleet
)

// message is one datagram. Loads of many targets are divided into chunks by the
// remainder of their hash, so that each datagram replaces its part.
type message struct {
	From   string      `cbor:"1,keyasint"`
	Domain string      `cbor:"2,keyasint"`
	Scope  scope       `cbor:"3,keyasint"`
	Number uint64      `cbor:"4,keyasint"`
	Chunk  uint32      `cbor:"5,keyasint,omitempty"`
	Chunks uint32      `cbor:"6,keyasint,omitempty"`
	Loads  Loads       `cbor:"7,keyasint,omitempty"`
	Keys   []KeySample `cbor:"8,keyasint,omitempty"`
	// Ended are service times that were measured since the last message.
	Ended []ServiceTime `cbor:"9,keyasint,omitempty"`
	// Times are the smoothed service times, told to the daemons of a domain.
	Times ServiceTimes `cbor:"10,keyasint,omitempty"`
}

// ServiceTime is the measured service time of one request, in milliseconds.
type ServiceTime struct {
	_      struct{} `cbor:",toarray"`
	Target TargetHash
	Millis uint16
}

// ServiceTimes are the service times of targets without queueing, in milliseconds.
type ServiceTimes map[TargetHash]uint16

// KeySample is a set of keys of a service that were asked for.
type KeySample struct {
	Service string   `cbor:"1,keyasint"`
	Keys    []uint16 `cbor:"2,keyasint"`
	Weight  float32  `cbor:"3,keyasint"`
}

// chunks divides a message so that each part fits a datagram.
func (m message) chunks() []message {
	n := uint32((max(len(m.Loads), len(m.Times)) + chunkTargets - 1) / chunkTargets)
	if n <= 1 {
		return []message{m}
	}
	parts := make([]message, n)
	for i := range parts {
		parts[i] = m
		parts[i].Chunk, parts[i].Chunks = uint32(i), n
		parts[i].Loads, parts[i].Times = make(Loads), make(ServiceTimes)
		if i > 0 {
			parts[i].Keys, parts[i].Ended = nil, nil
		}
	}
	for t, millis := range m.Times {
		parts[uint32(t)%n].Times[t] = millis
	}
	for t, load := range m.Loads {
		parts[uint32(t)%n].Loads[t] = load
	}
	return parts
}

// merge replaces the part of loads that the message holds.
func (m message) merge(into Loads) Loads {
	if m.Chunks <= 1 || into == nil {
		into = make(Loads, len(m.Loads))
	} else {
		maps.DeleteFunc(into, func(t TargetHash, _ int) bool { return uint32(t)%m.Chunks == m.Chunk })
	}
	maps.Copy(into, m.Loads)
	return into
}

func (m message) encode() ([]byte, error) { return cbor.Marshal(m) }

func decode(b []byte) (message, error) {
	var m message
	err := cbor.Unmarshal(b, &m)
	return m, err
}
