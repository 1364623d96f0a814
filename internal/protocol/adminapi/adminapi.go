// Package adminapi defines the messages of a daemon's administrative HTTP
// interface. They are JSON.
package adminapi

import (
	"encoding/json"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
)

// Paths of the interface.
const (
	PathHealth        = "/health"
	PathMetrics       = "/metrics"
	PathState         = "/v1/state"
	PathTable         = "/v1/table"
	PathConfig        = "/v1/config"
	PathOwner         = "/v1/owner"
	PathServiceLevels = "/v1/service-levels"
	PathMoves         = "/v1/moves"
	// PathBurn returns a burn.Snapshot.
	PathBurn = "/v1/burn"
)

// State describes a daemon.
type State struct {
	Daemon  string    `json:"daemon"`
	Domain  string    `json:"domain"`
	Run     string    `json:"run"`
	Started time.Time `json:"started"`
	Callers string    `json:"callers"`
	Peers   string    `json:"peers"`
	Admin   string    `json:"admin"`
	// Config is the revision of the configuration in force; 0 for none.
	Config   uint64 `json:"config"`
	Stopping bool   `json:"stopping"`
	InFlight int    `json:"in_flight"`
	// Coordinator is the daemon that assigns keys; empty if there is none.
	Coordinator   string `json:"coordinator"`
	IsCoordinator bool   `json:"is_coordinator"`
	// StoreUp tells whether the last reading of the store succeeded, and CopyAgeMs
	// how old the daemon's copy of it is.
	StoreUp   bool         `json:"store_up"`
	CopyAgeMs int64        `json:"copy_age_ms"`
	Targets   []TargetLoad `json:"targets"`
}

// TargetLoad is the load of a target as a daemon knows it.
type TargetLoad struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Running are this daemon's requests, Elsewhere those of the others.
	Running     int `json:"running"`
	Elsewhere   int `json:"elsewhere"`
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Suspect tells that the target is avoided after failures.
	Suspect bool    `json:"suspect"`
	TimeMs  float64 `json:"time_ms"`
}

// Apply asks to store a manifest as the successor of revision BasedOn. The same
// Operation may be sent again after a lost answer.
type Apply struct {
	BasedOn   uint64          `json:"based_on"`
	Operation string          `json:"operation"`
	Author    string          `json:"author,omitempty"`
	Manifest  json.RawMessage `json:"manifest"`
}

// OwnerRequest asks for the owner of a key, or of a shard if Shard is set.
type OwnerRequest struct {
	Service, Key string
	Shard        *int
}

// Move asks the coordinator to move a shard to a target. The answer is the
// shard's present Owner; the move follows. It may be repeated.
type Move struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Target  string `json:"target"`
}

// Owner tells where a key belongs and why. For a shard it is the owner of the
// shard's first point.
type Owner struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	// Point is that of the key, from 0 to 65535.
	Point  uint16 `json:"point"`
	Target string `json:"target"`
	State  string `json:"target_state"`
	// Fence is the number of the assignment; a higher one replaces a lower one.
	Fence uint64 `json:"fence"`
	// Whole tells that all points of the shard have the same owner.
	Whole    bool  `json:"whole"`
	Revision int64 `json:"table_revision"`
}

// Table is the assignment of keys in a form for people and scripts.
type Table struct {
	// Config is the revision of the configuration in force.
	Config      uint64    `json:"config"`
	Coordinator string    `json:"coordinator"`
	Members     []Member  `json:"members"`
	Services    []Service `json:"services"`
}

// Member is a daemon of the fleet.
type Member struct {
	Daemon string `json:"daemon"`
	Run    string `json:"run"`
	Domain string `json:"domain"`
	Peers  string `json:"peers"`
	Admin  string `json:"admin"`
}

// Service is the assignment of one service.
type Service struct {
	Name string `json:"name"`
	// Revision is the store's revision of the service's table.
	Revision int64 `json:"revision"`
	Shards   int   `json:"shards"`
	// Unowned is the number of shards of which some point has no usable owner.
	Unowned int      `json:"unowned"`
	Spans   int      `json:"spans"`
	Targets []Target `json:"targets"`
}

// Target is the assignment of one target.
type Target struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// State is active, leaving or missing.
	State string `json:"state"`
	// Shards is the number of shards whose first point the target owns, and Spans
	// the number of runs of neighbouring points.
	Shards int `json:"shards"`
	Spans  int `json:"spans"`
}

// States of a target.
const (
	TargetActive  = "active"
	TargetLeaving = "leaving"
	// TargetMissing is a target of the manifest that does not answer.
	TargetMissing = "missing"
)

// ServiceLevels are a daemon's totals per service and class since it started.
type ServiceLevels struct {
	Daemon  string       `json:"daemon"`
	Started time.Time    `json:"started"`
	At      time.Time    `json:"at"`
	Classes []ClassLevel `json:"classes"`
}

// ClassLevel are the totals of one class with its objective.
type ClassLevel struct {
	Service   string  `json:"service"`
	Class     string  `json:"class"`
	Total     uint64  `json:"total"`
	Good      uint64  `json:"good"`
	LatencyMs int     `json:"latency_ms"`
	Ratio     float64 `json:"ratio"`
}

// Error is the body of every failed call.
type Error struct {
	Message         string            `json:"message"`
	Findings        []finding.Finding `json:"findings,omitempty"`
	CurrentRevision uint64            `json:"current_revision,omitempty"`
}
