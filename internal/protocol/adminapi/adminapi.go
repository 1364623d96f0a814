// Package adminapi defines the messages of a daemon's administrative HTTP
// interface. They are JSON.
package adminapi

import (
	"encoding/json"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/finding"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
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

// Revisions are document revisions; 0 stands for none.
type Revisions struct {
	Config uint64 `json:"config"`
	Table  uint64 `json:"table"`
}

// State describes a daemon.
type State struct {
	Daemon  string    `json:"daemon"`
	Domain  string    `json:"domain"`
	Run     string    `json:"run"`
	Started time.Time `json:"started"`
	Callers string    `json:"callers"`
	Peers   string    `json:"peers"`
	Admin   string    `json:"admin"`
	// Held are the documents the daemon has; InForce those its fronts follow.
	Held          Revisions    `json:"held"`
	InForce       Revisions    `json:"in_force"`
	Stopping      bool         `json:"stopping"`
	InFlight      int64        `json:"in_flight"`
	Coordinator   string       `json:"coordinator"`
	Term          int64        `json:"term"`
	IsCoordinator bool         `json:"is_coordinator"`
	Memberships   []Membership `json:"memberships"`
	Fronts        []Front      `json:"fronts"`
}

// Membership is one incarnation of a daemon.
type Membership struct {
	ID          string   `json:"id"`
	Leaving     bool     `json:"leaving"`
	AuthorityMs int64    `json:"authority_ms"`
	Voters      []string `json:"voters"`
}

// Front is the state of one fronted target.
type Front struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Epoch       uint64  `json:"epoch"`
	Health      int     `json:"health"`
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
	Limit       float64 `json:"limit"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	Dialed      uint64  `json:"dialed"`
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
	Shard        *uint32
}

// Move asks the coordinator to move a shard to a target. The answer is the
// shard's present Owner; the move follows. It may be repeated.
type Move struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Target  string `json:"target"`
}

// Owner tells where a key belongs and why.
type Owner struct {
	Service   string `json:"service"`
	Unit      string `json:"unit"`
	UnitEpoch uint32 `json:"unit_epoch"`
	Target    string `json:"target"`
	State     string `json:"target_state"`
	Front     string `json:"front"`
	Standby   string `json:"standby"`
	Epoch     uint64 `json:"front_epoch"`
	MovingTo  string `json:"moving_to,omitempty"`
	Revision  uint64 `json:"table_revision"`
}

// OwnerOf fills an Owner from a placement.
func OwnerOf(t *table.Table, s *table.Service, p table.Placement) Owner {
	o := Owner{Service: s.Name, Unit: p.Unit.String(), UnitEpoch: p.Epoch, Revision: t.Revision}
	if p.Owner != table.NoOwner {
		target := s.Targets[p.Owner]
		o.Target, o.State, o.Epoch = target.Name, target.State.String(), target.Epoch
		o.Front, o.Standby = string(target.Front), string(target.Standby)
	}
	if p.To != table.NoOwner {
		o.MovingTo = s.Targets[p.To].Name
	}
	return o
}

// Table is the assignment table in a form for people and scripts.
type Table struct {
	Revision uint64    `json:"revision"`
	Term     int64     `json:"term"`
	Config   uint64    `json:"config"`
	Members  []Member  `json:"members"`
	Services []Service `json:"services"`
}

// Member is a member of the table.
type Member struct {
	ID       string   `json:"id"`
	Daemon   string   `json:"daemon"`
	Address  string   `json:"address"`
	Admin    string   `json:"admin"`
	Domain   string   `json:"domain"`
	Voters   []string `json:"voters"`
	Draining bool     `json:"draining"`
}

// Service is the assignment of one service.
type Service struct {
	Name      string   `json:"name"`
	Shards    int      `json:"shards"`
	Unowned   int      `json:"unowned"`
	Moves     int      `json:"moves"`
	Overrides int      `json:"overrides"`
	Targets   []Target `json:"targets"`
}

// Target is the assignment of one target.
type Target struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Front   string `json:"front"`
	Standby string `json:"standby"`
	Epoch   uint64 `json:"epoch"`
	Shards  int    `json:"shards"`
}

// TableOf converts a table.
func TableOf(t *table.Table) Table {
	out := Table{Revision: t.Revision, Term: t.Term, Config: t.Config}
	for _, m := range t.Members {
		member := Member{
			ID: string(m.ID), Daemon: m.Daemon, Address: m.Address, Admin: m.Admin,
			Domain: m.Domain, Draining: m.Draining,
		}
		for _, v := range m.Voters {
			member.Voters = append(member.Voters, string(v))
		}
		out.Members = append(out.Members, member)
	}
	for i := range t.Services {
		out.Services = append(out.Services, serviceOf(&t.Services[i]))
	}
	return out
}

func serviceOf(s *table.Service) Service {
	out := Service{Name: s.Name, Shards: len(s.Owners), Moves: len(s.Moves), Overrides: len(s.Overrides)}
	counts := make([]int, len(s.Targets))
	for _, o := range s.Owners {
		if o == table.NoOwner {
			out.Unowned++
			continue
		}
		counts[o]++
	}
	for i, t := range s.Targets {
		out.Targets = append(out.Targets, Target{
			Name: t.Name, State: t.State.String(), Front: string(t.Front), Standby: string(t.Standby),
			Epoch: t.Epoch, Shards: counts[i],
		})
	}
	return out
}

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
