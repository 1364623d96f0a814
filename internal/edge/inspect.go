package edge

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
	"github.com/jackdawloom/jackdawloom/internal/edge/metrics"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
)

// Status is a daemon's current state.
type Status struct {
	Name, RunID, Domain string
	// Stopping is set once the daemon shuts down. A stopping daemon serves until its
	// requests have ended.
	Stopping bool
	InFlight int
	// Coordinator is the name of the daemon that assigns keys; empty if there is none.
	Coordinator string
	StoreUp     bool
	// CopyAge is the age of the daemon's copy of the store.
	CopyAge time.Duration
	Targets []dispatch.TargetLoad
}

// Status returns the daemon's current state.
func (d *Daemon) Status() Status {
	status := d.mirror.Status()
	return Status{
		Name: d.self.Name, RunID: d.self.RunID, Domain: d.options.Settings.Domain, Stopping: d.handler.Stopping.Load(),
		InFlight: d.handler.Running(), Coordinator: coordinator.Holder(d.views.Current()),
		StoreUp: status.Up, CopyAge: clock.Now() - status.CurrentAt, Targets: d.dispatcher.TargetLoads(),
	}
}

func (d *Daemon) targetMetrics() []metrics.TargetGauges {
	loads := d.dispatcher.TargetLoads()
	out := make([]metrics.TargetGauges, len(loads))
	for i, l := range loads {
		out[i] = metrics.TargetGauges{
			Service: l.Service, ID: l.ID, Running: l.Running, RunningElsewhere: l.RunningElsewhere, Slots: l.Slots,
			Connections: l.Connections, Suspect: l.Suspect, ServiceTime: l.ServiceTime,
		}
	}
	return out
}

// View returns the daemon's current view of the fleet.
func (d *Daemon) View() *view.View { return d.views.Current() }

// CoordinatorTerm returns the revision of the coordinator's key and whether, according to
// the current view, this run of the daemon holds the coordinator's lease.
func (d *Daemon) CoordinatorTerm() (int64, bool) {
	entry := d.views.Current().Coordinator
	var holder coordinator.Identity
	if !entry.Exists() || cbor.Unmarshal(entry.Value, &holder) != nil {
		return 0, false
	}
	return entry.ModRev, holder == d.self
}

// Move asks this daemon's coordinator to move keys; see coordinator.Coordinator.Move.
func (d *Daemon) Move(ctx context.Context, service string, from, to uint16, targetID string) error {
	return d.coord.Move(ctx, service, from, to, targetID)
}

// Member describes an announced daemon.
type Member struct {
	Name, RunID, Domain, PeerAddress, AdminAddress string
}

// Members returns the announced daemons, ordered by name.
func (d *Daemon) Members() []Member {
	v := d.views.Current()
	out := make([]Member, 0, len(v.Daemons))
	for _, name := range slices.Sorted(maps.Keys(v.Daemons)) {
		var a announcement
		if err := cbor.Unmarshal(v.Daemons[name].Value, &a); err != nil {
			continue // Daemon.peers logs the error
		}
		out = append(out, Member{Name: name, RunID: a.RunID, Domain: a.Domain, PeerAddress: a.PeerAddress, AdminAddress: a.AdminAddress})
	}
	return out
}
