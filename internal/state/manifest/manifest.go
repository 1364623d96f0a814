// Package manifest defines the configuration document in which operators declare
// services, their targets, where requests carry their key, and which requests must
// never be repeated.
package manifest

import (
	"time"
)

// Schema is the schema version that this package supports.
const Schema = 1

// Limits of a manifest.
const (
	DefaultShards  = 1024
	MaxShards      = 65536
	MaxTargets     = 4096
	MaxSlots       = 1024
	MaxConnections = 4096
	MaxKeyBytes    = 512
	MaxBytes       = 1 << 20
)

// Manifest is the root of the document.
type Manifest struct {
	Schema   int       `json:"schema"`
	Name     string    `json:"name"`
	Services []Service `json:"services"`
}

// Service declares one keyed service.
type Service struct {
	Name       string    `json:"name"`
	PathPrefix string    `json:"path_prefix"`
	Shards     int       `json:"shards,omitempty"`
	Key        KeySource `json:"key"`
	Classes    []Class   `json:"classes"`
	Targets    []Target  `json:"targets"`
}

// KeyFrom names the part of a request that carries the key.
type KeyFrom string

// Values of KeyFrom.
const (
	KeyFromPath   KeyFrom = "path"
	KeyFromQuery  KeyFrom = "query"
	KeyFromHeader KeyFrom = "header"
)

// KeySource describes how the key is extracted from a request. Segment is the
// zero-based index of the path segment after the service's prefix; Name is the name of
// the query parameter or header.
type KeySource struct {
	From    KeyFrom `json:"from"`
	Segment int     `json:"segment,omitempty"`
	Name    string  `json:"name,omitempty"`
}

// Repeat states whether the requests of a class may run more than once.
type Repeat string

// Values of Repeat.
const (
	RepeatIdempotent Repeat = "idempotent"
	RepeatNever      Repeat = "never"
)

// Class is a class of requests. The first class of a service that matches the
// method and path applies. An empty Methods matches all methods. PathPrefix is
// relative to the service's prefix.
type Class struct {
	Name       string    `json:"name"`
	Methods    []string  `json:"methods,omitempty"`
	PathPrefix string    `json:"path_prefix,omitempty"`
	Repeat     Repeat    `json:"repeat"`
	DeadlineMs int       `json:"deadline_ms"`
	Objective  Objective `json:"objective"`
}

// Deadline returns DeadlineMs as a duration.
func (c Class) Deadline() time.Duration {
	return time.Duration(c.DeadlineMs) * time.Millisecond
}

// NeverRepeat reports whether the class's requests must run at most once.
func (c Class) NeverRepeat() bool { return c.Repeat == RepeatNever }

// Objective is a service-level objective: the ratio of requests that must be
// answered with a status below 500 within the latency.
type Objective struct {
	LatencyMs int     `json:"latency_ms"`
	Ratio     float64 `json:"ratio"`
}

// Target declares one target.
type Target struct {
	Name         string `json:"name"`
	Address      string `json:"address"`
	Domain       string `json:"domain"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ChecksGrants bool   `json:"checks_grants"`
	// Drain requests that all keys be moved to other targets.
	Drain bool `json:"drain,omitempty"`
}

// Accepted is a manifest in the form kept in the store. Its revision increases by
// exactly one with each accepted change.
type Accepted struct {
	Revision  uint64   `json:"revision"`
	Operation string   `json:"operation"`
	Author    string   `json:"author,omitempty"`
	Manifest  Manifest `json:"manifest"`
}

// ServiceNamed returns the service with the given name, or nil.
func (m *Manifest) ServiceNamed(name string) *Service {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i]
		}
	}
	return nil
}

// TargetNamed returns the target with the given name, or nil.
func (s *Service) TargetNamed(name string) *Target {
	for i := range s.Targets {
		if s.Targets[i].Name == name {
			return &s.Targets[i]
		}
	}
	return nil
}
