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
	// Capacity is the weight of the daemon's instance when work is shared in the fleet.
	Capacity float64
	// IsCoordinator marks the daemon that assigns keys to targets.
	IsCoordinator bool
}

// avoidDuration is how long a daemon is not selected as a hub after it failed, and how long
// a daemon prefers other daemons for calls to the store after the store did not serve it.
const avoidDuration = 3 * time.Second

// HubSelector selects the hub of each failure domain. The daemons of a domain read the
// store and exchange loads through its hub, so that calls and messages grow with the number
// of domains rather than with the square of the size of the fleet. All daemons select the
// same hubs, by capacity and a hash of the name, unless they avoid different daemons after
// failures.
type HubSelector struct {
	mu         sync.Mutex
	avoidUntil map[string]time.Duration // end of the time in which a daemon is avoided
}

// NewHubSelector returns a HubSelector that avoids no daemon.
func NewHubSelector() *HubSelector { return &HubSelector{avoidUntil: make(map[string]time.Duration)} }

// MarkFailed excludes a daemon from the selection for avoidDuration. The daemon is a hub
// that does not respond, or this daemon if the store does not serve it.
func (h *HubSelector) MarkFailed(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidUntil[name] = clock.Now() + avoidDuration
}

// Select returns the hub of each domain of the peers. A domain whose daemons are all avoided
// has no hub.
func (h *HubSelector) Select(peers []Peer) map[string]Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	hubs := make(map[string]Peer)
	for _, p := range peers {
		if until, known := h.avoidUntil[p.Name]; known && now < until {
			continue
		}
		if best, ok := hubs[p.Domain]; !ok || preferred(p, best) {
			hubs[p.Domain] = p
		}
	}
	return hubs
}

// primaryHub returns the most preferred hub, through which the other hubs read the store.
func primaryHub(hubs map[string]Peer) Peer {
	var best Peer
	for _, p := range hubs {
		if best.Name == "" || preferred(p, best) {
			best = p
		}
	}
	return best
}

// preferred reports whether a precedes b: by capacity, then by a hash of the name.
func preferred(a, b Peer) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return nameHash(a.Name) < nameHash(b.Name)
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) }
