// Package peers connects the daemons of a fleet. They exchange the load and the service
// times of targets and samples of requested keys, and read the store through each other.
//
// Loads, service times and keys are hints in datagrams that are sent once. No decision
// about ownership or configuration depends on them.
package peers

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the size of messages.
const (
	// maxDatagram fits one packet at the usual MTU.
	maxDatagram = 1400
	// targetsPerChunk is the average number of targets in a chunk. An entry takes up to 14
	// bytes including its service time. Hashes distribute targets unevenly over the chunks,
	// so half of the datagram is left free.
	targetsPerChunk = 55
	// maxServiceTimes is the number of service times in one message. Further service times
	// are dropped, because they would add little information.
	maxServiceTimes = 60
	// maxKeys is the number of keys in one sample. If more keys were requested, the weight of
	// the sample accounts for them.
	maxKeys = 128
	// maxLeaving is the number of leaving targets in one message. Those that do not fit are
	// told in one of the next messages, as the order changes.
	maxLeaving = 100
)

// TargetHash identifies a target in messages. A collision only makes the hints about the
// two targets inaccurate.
type TargetHash uint32

// HashTarget returns the hash that identifies a target in messages.
func HashTarget(id string) TargetHash {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return TargetHash(h.Sum32())
}

// Loads holds the number of requests in flight at each target.
type Loads map[TargetHash]int

// add adds the loads in other, target by target.
func (l Loads) add(other Loads) {
	for t, n := range other {
		l[t] += n
	}
}

// scope says which daemons the loads in a message cover.
type scope uint8

const (
	// scopeDaemon covers the sender; sent to the hub of its domain.
	scopeDaemon scope = iota
	// scopeDomain covers the sender's domain; sent to the hubs of other domains and to the
	// coordinator.
	scopeDomain
	// scopeFleet covers all daemons; sent by a hub to the daemons of its domain.
	scopeFleet
	// scopeLeaving is a message about leaving targets, without loads.
	scopeLeaving
)

// message is the content of one datagram. The loads of many targets are divided into
// chunks by the remainder of the targets' hashes, so that each datagram replaces its own
// part of the loads that the receiver knows.
type message struct {
	From     string      `cbor:"1,keyasint"`
	Domain   string      `cbor:"2,keyasint"`
	Scope    scope       `cbor:"3,keyasint"`
	Sequence uint64      `cbor:"4,keyasint"`
	Chunk    uint32      `cbor:"5,keyasint,omitempty"`
	Chunks   uint32      `cbor:"6,keyasint,omitempty"`
	Loads    Loads       `cbor:"7,keyasint,omitempty"`
	Keys     []KeySample `cbor:"8,keyasint,omitempty"`
	// Measured holds the service times measured since the last message.
	Measured []ServiceTime `cbor:"9,keyasint,omitempty"`
	// Estimates are the smoothed service times; sent to the daemons of a domain.
	Estimates ServiceTimes `cbor:"10,keyasint,omitempty"`
	// Leaving names the incarnations of targets that said that they are leaving.
	Leaving []uint64 `cbor:"11,keyasint,omitempty"`
}

// ServiceTime is the measured service time of one request, in milliseconds.
type ServiceTime struct {
	_      struct{} `cbor:",toarray"`
	Target TargetHash
	Millis uint16
}

// ServiceTimes holds the estimated service time of each target in milliseconds, without
// queueing.
type ServiceTimes map[TargetHash]uint16

// KeySample is a sample of the requested keys of a service. Each key stands for Weight
// requests.
type KeySample struct {
	Service string   `cbor:"1,keyasint"`
	Keys    []uint16 `cbor:"2,keyasint"`
	Weight  float32  `cbor:"3,keyasint"`
}

// chunks divides a message into parts that each fit a datagram.
func (m message) chunks() []message {
	n := uint32((max(len(m.Loads), len(m.Estimates)) + targetsPerChunk - 1) / targetsPerChunk)
	if n <= 1 {
		return []message{m}
	}
	parts := make([]message, n)
	for i := range parts {
		parts[i] = m
		parts[i].Chunk, parts[i].Chunks = uint32(i), n
		parts[i].Loads, parts[i].Estimates = make(Loads), make(ServiceTimes)
		if i > 0 {
			parts[i].Keys, parts[i].Measured = nil, nil
		}
	}
	for t, millis := range m.Estimates {
		parts[uint32(t)%n].Estimates[t] = millis
	}
	for t, load := range m.Loads {
		parts[uint32(t)%n].Loads[t] = load
	}
	return parts
}

// merge replaces the part of the loads in into that the message covers, and returns the
// result.
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

// errOutOfRange reports a message whose figures cannot come from a daemon.
var errOutOfRange = errors.New("figure out of range")

const (
	// maxLoad bounds the requests in flight at one target, and maxWeight the requests for
	// which one sampled key stands, so that sums stay in range.
	maxLoad   = 1 << 20
	maxWeight = 1 << 20
	// maxNameBytes bounds the names of daemons, domains and services.
	maxNameBytes = 200
)

func decode(b []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return message{}, err
	}
	return m, m.validate()
}

// validate returns an error if a figure of the message is out of range.
func (m message) validate() error {
	if m.Scope > scopeLeaving || m.From == "" || len(m.From) > maxNameBytes || len(m.Domain) > maxNameBytes || m.Chunks > maxLoad {
		return fmt.Errorf("%w: scope %d, %d chunks, or names of %d and %d bytes", errOutOfRange, m.Scope, m.Chunks, len(m.From), len(m.Domain))
	}
	for _, load := range m.Loads {
		if load < 0 || load > maxLoad {
			return fmt.Errorf("%w: load %d", errOutOfRange, load)
		}
	}
	for _, s := range m.Keys {
		if !(s.Weight > 0 && s.Weight <= maxWeight) || len(s.Service) > maxNameBytes { // also true for NaN
			return fmt.Errorf("%w: weight %v of a key sample", errOutOfRange, s.Weight)
		}
	}
	return nil
}
