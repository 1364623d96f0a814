package daemon

import (
	"github.com/jackdawloom/jackdawloom/internal/coordination/front"
	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/transport/peernet"
)

// PeerTraffic returns what the daemon has exchanged with other daemons.
func (d *Daemon) PeerTraffic() peernet.Traffic { return d.net.Traffic() }

// InForce returns the revisions of the documents that the fronts apply.
func (d *Daemon) InForce() peer.Revisions {
	d.fronts.mu.Lock()
	defer d.fronts.mu.Unlock()
	return d.fronts.applied.revisions()
}

// Assignments returns what the table says of each target that the member
// fronts, as the daemon computes it for every new table.
func Assignments(s *table.Service, member table.MemberID) []front.Assignment {
	var out []front.Assignment
	for i := range s.Targets {
		if s.Targets[i].Front == member {
			out = append(out, assignment(s, uint16(i), s.Targets[i].Epoch))
		}
	}
	return out
}
