package peers

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
)

// Peer is a daemon of the fleet.
type Peer struct {
	Name    string
	Address netip.AddrPort
	Domain  string
	// Capacity is the instance's share of work in its fleet.
	Capacity float64
	// IsCoordinator marks the daemon that assigns keys.
	IsCoordinator bool
}

// avoidTime is how long a daemon is passed over as a hub after it failed.
const avoidTime = 3 * time.Second

// HubSelector picks the hub of each failure domain. Daemons of a domain read the store
// and exchange loads through its hub, so that calls and messages grow with the
// number of domains and not with the square of the fleet. All daemons pick the
// same one by capacity and name, apart from those that they cannot reach.
type HubSelector struct {
	mu    sync.Mutex
	avoid map[string]time.Duration // until
}

// NewHubSelector returns the choice of a daemon that has avoided none yet.
func NewHubSelector() *HubSelector { return &HubSelector{avoid: make(map[string]time.Duration)} }

// MarkFailed passes over a daemon for a while: one that does not answer, or this one
// while the store turns it away.
func (h *HubSelector) MarkFailed(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoid[name] = clock.Now() + avoidTime
}

// Select returns the hub of each domain of the peers.
func (h *HubSelector) Select(peers []Peer) map[string]Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	hubs := make(map[string]Peer)
	for _, p := range peers {
		if until, avoided := h.avoid[p.Name]; avoided && now < until {
			continue
		}
		if best, ok := hubs[p.Domain]; !ok || before(p, best) {
			hubs[p.Domain] = p
		}
	}
	return hubs
}

// first returns the hub through which the others read the store.
func first(hubs map[string]Peer) Peer {
	var best Peer
	for _, p := range hubs {
		if best.Name == "" || before(p, best) {
			best = p
		}
	}
	return best
}

// before orders daemons by capacity, then by a hash of the name.
func before(a, b Peer) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return rank(a.Name) < rank(b.Name)
}

func rank(name string) uint64 { return xxhash.Sum64String(name) }
