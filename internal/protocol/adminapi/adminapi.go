// Package adminapi defines the paths and JSON messages of a daemon's administrative
// HTTP interface.
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
	// PathRoute returns a RouteExplanation.
	PathRoute = "/v1/route"
	// PathEvacuations returns Evacuations.
	PathEvacuations = "/v1/evacuations"
)

// State is the state of a daemon.
type State struct {
	Daemon        string    `json:"daemon"`
	Domain        string    `json:"domain"`
	RunID         string    `json:"run"`
	Started       time.Time `json:"started"`
	CallerAddress string    `json:"callers"`
	PeerAddress   string    `json:"peers"`
	AdminAddress  string    `json:"admin"`
	// ConfigRevision is the revision of the configuration in force, or 0 if there is none.
	ConfigRevision uint64 `json:"config"`
	Stopping       bool   `json:"stopping"`
	InFlight       int    `json:"in_flight"`
	// Coordinator is the daemon that assigns keys, or empty if there is none.
	Coordinator   string `json:"coordinator"`
	IsCoordinator bool   `json:"is_coordinator"`
	// StoreUp states whether the last read of the store succeeded. CopyAgeMs is the age
	// of the daemon's copy of its data.
	StoreUp   bool         `json:"store_up"`
	CopyAgeMs int64        `json:"copy_age_ms"`
	Targets   []TargetLoad `json:"targets"`
}

// TargetLoad is the load of a target as known to one daemon.
type TargetLoad struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Running is the number of this daemon's running requests, RunningElsewhere that of
	// all other daemons.
	Running          int `json:"running"`
	RunningElsewhere int `json:"elsewhere"`
	Slots            int `json:"slots"`
	Connections      int `json:"connections"`
	// Suspect states that the target is avoided after failures.
	Suspect       bool    `json:"suspect"`
	ServiceTimeMs float64 `json:"time_ms"`
}

// Apply requests that a manifest be stored as the revision after BasedOn. If the
// response is lost, the request may be sent again with the same Operation.
type Apply struct {
	BasedOn   uint64          `json:"based_on"`
	Operation string          `json:"operation"`
	Author    string          `json:"author,omitempty"`
	Manifest  json.RawMessage `json:"manifest"`
}

// OwnerRequest queries the owner of a key, or of a shard if Shard is set.
type OwnerRequest struct {
	Service, Key string
	Shard        *int
}

// Move requests that the coordinator move a shard to a target. The response is the
// shard's current Owner; the move happens asynchronously. The request may be repeated.
type Move struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Target  string `json:"target"`
}

// Owner is the owner of a key, with the assignment that makes it the owner. For a
// shard it is the owner of the shard's first point.
type Owner struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	// Point is the point of the key, from 0 to 65535.
	Point       uint16 `json:"point"`
	Target      string `json:"target"`
	TargetState string `json:"target_state"`
	// Fence is the fencing number of the assignment. An assignment with a higher fence
	// replaces one with a lower fence.
	Fence uint64 `json:"fence"`
	// SingleOwner states that all points of the shard have the same owner.
	SingleOwner bool  `json:"whole"`
	Revision    int64 `json:"table_revision"`
}

// Table is the assignment of the keys of all services to targets, in a form for people
// and scripts.
type Table struct {
	// ConfigRevision is the revision of the configuration in force.
	ConfigRevision uint64    `json:"config"`
	Coordinator    string    `json:"coordinator"`
	Members        []Member  `json:"members"`
	Services       []Service `json:"services"`
}

// Member is one daemon of the fleet.
type Member struct {
	Daemon       string `json:"daemon"`
	RunID        string `json:"run"`
	Domain       string `json:"domain"`
	PeerAddress  string `json:"peers"`
	AdminAddress string `json:"admin"`
}

// Service is the assignment of the keys of one service.
type Service struct {
	Name string `json:"name"`
	// Revision is the store revision of the service's range table.
	Revision int64 `json:"revision"`
	Shards   int   `json:"shards"`
	// UnownedShards is the number of shards with at least one point that has no usable
	// owner.
	UnownedShards int      `json:"unowned"`
	Spans         int      `json:"spans"`
	Targets       []Target `json:"targets"`
}

// Target is a target and the amount of the key space assigned to it.
type Target struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// State is TargetActive, TargetLeaving or TargetMissing.
	State string `json:"state"`
	// Shards is the number of shards whose first point the target owns. Spans is the
	// number of ranges of consecutive points that it owns.
	Shards int `json:"shards"`
	Spans  int `json:"spans"`
}

// States of a target.
const (
	TargetActive  = "active"
	TargetLeaving = "leaving"
	// TargetMissing is a target of the manifest that does not answer and is therefore
	// not registered.
	TargetMissing = "missing"
)

// ServiceLevels holds a daemon's request counts per service and class since it started.
type ServiceLevels struct {
	Daemon  string       `json:"daemon"`
	Started time.Time    `json:"started"`
	At      time.Time    `json:"at"`
	Classes []ClassLevel `json:"classes"`
}

// ClassLevel holds the request counts of one class and its objective. Good requests met
// the objective.
type ClassLevel struct {
	Service   string  `json:"service"`
	Class     string  `json:"class"`
	Total     uint64  `json:"total"`
	Good      uint64  `json:"good"`
	LatencyMs int     `json:"latency_ms"`
	Ratio     float64 `json:"ratio"`
}

// Error is the body of the response to every failed call.
type Error struct {
	Message         string            `json:"message"`
	Findings        []finding.Finding `json:"findings,omitempty"`
	CurrentRevision uint64            `json:"current_revision,omitempty"`
}

// RouteRequest asks where a request would go. Headers are lines such as "Host: a".
type RouteRequest struct {
	Method, Target string
	Headers        []string
}

// RouteExplanation is what a daemon would do with a request that arrived now.
type RouteExplanation struct {
	Daemon         string `json:"daemon"`
	Domain         string `json:"domain"`
	ConfigRevision uint64 `json:"config"`
	// CopyAgeMs is the age of the daemon's copy of the store, on which the answer is based.
	CopyAgeMs int64 `json:"copy_age_ms"`
	// Status and Reason are set if no route matches; the request is refused then.
	Status int    `json:"status,omitempty"`
	Reason string `json:"reason,omitempty"`

	Route       string `json:"route,omitempty"`
	Idempotent  bool   `json:"idempotent"`
	MaxAttempts int    `json:"max_attempts"`
	ObjectiveMs int64  `json:"objective_ms"`
	TimeoutMs   int64  `json:"timeout_ms"`
	Priority    int    `json:"priority"`
	HasKey      bool   `json:"has_key"`
	// Point is the point of the key, from 0 to 65535.
	Point    uint16            `json:"point"`
	Services []RoutedToService `json:"services"`
}

// RoutedToService is what would happen to a request at one of the services of its route.
type RoutedToService struct {
	Service string `json:"service"`
	// Share is the fraction of the route's requests that go to the service.
	Share float64 `json:"share"`
	Keyed bool    `json:"keyed"`
	// Owner owns the request's key under Fence, by the table of TableRevision.
	Owner         string `json:"owner,omitempty"`
	Fence         uint64 `json:"fence,omitempty"`
	TableRevision int64  `json:"table_revision,omitempty"`
	// Refused is why the request would not be sent now, with the Retry-After of the refusal that
	// follows if that lasts; empty if it would be sent.
	Refused      string `json:"refused,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Running      int    `json:"running"`
	Slots        int    `json:"slots"`
	// HedgeAfterMs is when a second send would follow; 0 if never.
	HedgeAfterMs int64 `json:"hedge_after_ms,omitempty"`
	// Candidates are the targets that may run the request, the best first, and at most
	// MaxCandidates of CandidateCount.
	Candidates     []RouteCandidate `json:"candidates"`
	CandidateCount int              `json:"candidate_count"`
}

// MaxCandidates bounds the targets in a RoutedToService.
const MaxCandidates = 20

// RouteCandidate is a target that may run a request.
type RouteCandidate struct {
	TargetLoad
	Domain string `json:"domain"`
	State  string `json:"state"`
	// ExpectedMs is the expected response time, including queueing.
	ExpectedMs int64 `json:"expected_ms"`
	// ColdMs and PausedMs are how long the target still warms up, and wants no requests.
	ColdMs   int64 `json:"cold_ms,omitempty"`
	PausedMs int64 `json:"paused_ms,omitempty"`
	// LeftOut is why the target gets no request now; empty if it may get one.
	LeftOut string `json:"left_out,omitempty"`
}

// Evacuations holds the evacuated failure domains that one daemon knows.
type Evacuations struct {
	Daemon string `json:"daemon"`
	// CopyAgeMs is the age of the daemon's copy of the store, on which the answer is based.
	CopyAgeMs int64        `json:"copy_age_ms"`
	Domains   []Evacuation `json:"domains"`
}

// Evacuation is the evacuation of one failure domain.
type Evacuation struct {
	Domain string `json:"domain"`
	// KnownForMs is how long the daemon has known of the request, which may be older.
	KnownForMs int64 `json:"known_for_ms"`
	// LastSendMs is how long the daemon may still send requests to the owners of keys there; 0 if
	// it sends none.
	LastSendMs int64 `json:"last_send_ms"`
	// Missing states that the store does not contain the request any more. The evacuation ends
	// unless the request is written again.
	Missing bool `json:"missing"`
	// Keys is the number of keys of all services that still belong to targets there.
	Keys int `json:"keys"`
	// Requests is the number of requests of this daemon that still run there.
	Requests int `json:"requests"`
}
