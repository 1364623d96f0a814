package memstore

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/keyrange"
)

// firstLease is above 2^53, so that a client that reads 64-bit integers as
// floating-point numbers gets a wrong lease and fails its tests.
const firstLease topo.LeaseID = 7_587_000_000_000_000_001

// maxTTLSeconds is etcd's limit of a lease's TTL.
const maxTTLSeconds = 9_000_000_000

// lease is a lease that ends at expires unless it is renewed.
type lease struct {
	ttlSeconds int64
	expires    time.Time
	keys       map[string]struct{}
}

func (l *lease) renew(now time.Time) {
	l.expires = now.Add(time.Duration(l.ttlSeconds) * time.Second)
}

// Advance sets the time and ends all leases that have expired by then. The time
// never goes back: an earlier now is ignored.
func (s *State) Advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	s.endLeases(func(l *lease) bool { return !l.expires.After(s.now) })
}

// ExpireAll ends all leases as if they had expired.
func (s *State) ExpireAll() {
	s.endLeases(func(*lease) bool { return true })
}

// endLeases ends the selected leases in the order of their IDs.
func (s *State) endLeases(ended func(*lease) bool) {
	var ids []topo.LeaseID
	for id, l := range s.leases {
		if ended(l) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.endLease(id)
	}
}

// NextExpiry returns the time of the next expiry; ok is false if there is no
// lease.
func (s *State) NextExpiry() (t time.Time, ok bool) {
	for _, l := range s.leases {
		if !ok || l.expires.Before(t) {
			t, ok = l.expires, true
		}
	}
	return t, ok
}

// Grant creates a lease. ID 0 lets the store choose one.
func (s *State) Grant(id topo.LeaseID, ttlSeconds int64) (topo.LeaseID, error) {
	if ttlSeconds <= 0 || ttlSeconds > maxTTLSeconds {
		return 0, ErrLeaseTTL
	}
	if id == 0 {
		id = s.nextLease()
	}
	if s.leases[id] != nil {
		return 0, ErrLeaseExists
	}
	l := &lease{ttlSeconds: ttlSeconds, keys: make(map[string]struct{})}
	l.renew(s.now)
	s.leases[id] = l
	return id, nil
}

func (s *State) nextLease() topo.LeaseID {
	id := s.lastLease + 1
	for s.leases[id] != nil {
		id++
	}
	s.lastLease = id
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
	s.endLease(id)
	return nil
}

func (s *State) endLease(id topo.LeaseID) {
	keys := slices.Sorted(maps.Keys(s.leases[id].keys))
	w := s.begin()
	for _, key := range keys {
		w.delete(keyrange.One(key))
	}
	w.commit()
	delete(s.leases, id)
}
