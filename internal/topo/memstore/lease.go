package memstore

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// leaseIDBase makes the lease IDs that the store chooses larger than 2^53. A client that
// decodes 64-bit integers as floating-point numbers then gets a wrong ID, and its tests
// fail.
const leaseIDBase topo.LeaseID = 7_587_000_000_000_000_001

// maxTTLSeconds is etcd's limit for the TTL of a lease.
const maxTTLSeconds = 9_000_000_000

// lease expires at the time expires unless it is renewed. Its end deletes its keys.
type lease struct {
	ttlSeconds int64
	expires    time.Time
	keys       map[string]struct{}
}

func (l *lease) renew(now time.Time) {
	l.expires = now.Add(time.Duration(l.ttlSeconds) * time.Second)
}

// Advance sets the time and ends all leases that have expired by then. The time never goes
// back: an earlier now is ignored.
func (s *State) Advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	s.removeLeases(func(l *lease) bool { return !l.expires.After(s.now) })
}

// ExpireAll ends all leases as if they had expired.
func (s *State) ExpireAll() {
	s.removeLeases(func(*lease) bool { return true })
}

// removeLeases ends the selected leases in the order of their IDs.
func (s *State) removeLeases(selected func(*lease) bool) {
	var ids []topo.LeaseID
	for id, l := range s.leases {
		if selected(l) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.removeLease(id)
	}
}

// NextExpiry returns the time at which the next lease expires; ok is false if there is no
// lease.
func (s *State) NextExpiry() (t time.Time, ok bool) {
	for _, l := range s.leases {
		if !ok || l.expires.Before(t) {
			t, ok = l.expires, true
		}
	}
	return t, ok
}

// Grant creates a lease and returns its ID. If id is 0, the store chooses one.
func (s *State) Grant(id topo.LeaseID, ttlSeconds int64) (topo.LeaseID, error) {
	if ttlSeconds <= 0 || ttlSeconds > maxTTLSeconds {
		return 0, ErrLeaseTTL
	}
	if id == 0 {
		id = s.nextLeaseID()
	}
	if s.leases[id] != nil {
		return 0, ErrLeaseExists
	}
	l := &lease{ttlSeconds: ttlSeconds, keys: make(map[string]struct{})}
	l.renew(s.now)
	s.leases[id] = l
	return id, nil
}

func (s *State) nextLeaseID() topo.LeaseID {
	id := s.lastLeaseID + 1
	for s.leases[id] != nil {
		id++
	}
	s.lastLeaseID = id
	return id
}

// KeepAlive renews the lease and returns its TTL in seconds.
func (s *State) KeepAlive(id topo.LeaseID) (int64, error) {
	l := s.leases[id]
	if l == nil {
		return 0, topo.ErrLeaseNotFound
	}
	l.renew(s.now)
	return l.ttlSeconds, nil
}

// Revoke ends the lease and deletes its keys in one revision.
func (s *State) Revoke(id topo.LeaseID) error {
	if s.leases[id] == nil {
		return topo.ErrLeaseNotFound
	}
	s.removeLease(id)
	return nil
}

// removeLease deletes the lease and its keys in one revision.
func (s *State) removeLease(id topo.LeaseID) {
	keys := slices.Sorted(maps.Keys(s.leases[id].keys))
	w := s.begin()
	for _, key := range keys {
		w.delete(keyrange.One(key))
	}
	w.commit()
	delete(s.leases, id)
}
