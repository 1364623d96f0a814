// Package coordinator elects one daemon as the coordinator by means of a lease in the
// store. The coordinator assigns keys to targets.
package coordinator

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Parameters of the coordinator's lease and its election.
const (
	// defaultLeaseTTL bounds how long there is no coordinator after the coordinator has
	// failed. It is below the duration of grants, so that keys stay served until the next
	// coordinator is elected.
	defaultLeaseTTL = 2 * time.Second
	// renewTenths is the fraction of the TTL, in tenths, after which the lease is
	// renewed. It leaves time for two more attempts before the lease expires.
	renewTenths = 3
	// slowRenewalTenths is the fraction of the TTL, in tenths, after which a renewal
	// without a response causes grants to be extended.
	slowRenewalTenths = 2
	// leaseMargin is reserved before the lease expires, for grants in flight.
	leaseMargin = 150 * time.Millisecond
	// rankDelay is the difference between the delays of two consecutive ranks. It spreads
	// the candidates, so that few of them write to the store.
	rankDelay = 60 * time.Millisecond
	// maxDeficitDelay is multiplied by the capacity deficit and added to the candidate's
	// delay, because the grants of a large fleet use much of a small instance's capacity.
	maxDeficitDelay = 600 * time.Millisecond
	// rankCount is the number of different ranks.
	rankCount = 8
)

// Identity identifies one run of a daemon process.
type Identity struct {
	Name  string `cbor:"1,keyasint"`
	RunID string `cbor:"2,keyasint"`
}

// term is a period during which this daemon holds the lease.
type term struct {
	lease topo.LeaseID
	// rev is the revision of the coordinator's key. All writes are conditional on it.
	rev     int64
	expires time.Duration
	// unconfirmed is set while the lease may have expired. No grants are sent while it is
	// set.
	unconfirmed bool
}

// valid reports whether the lease is certain to be in force at the given time and for
// leaseMargin after that time.
func (t *term) valid(now time.Duration) bool { return t != nil && now < t.lastSend() }

// lastSend returns the time from which no grant may be sent under the lease.
func (t *term) lastSend() time.Duration { return t.expires - leaseMargin }

// superseded reports whether the view shows a coordinator that was elected later.
func (t *term) superseded(v *view.View, self Identity) bool {
	if !v.Coordinator.Exists() || v.Coordinator.ModRev <= t.rev {
		return false
	}
	var holder Identity
	return cbor.Unmarshal(v.Coordinator.Value, &holder) != nil || holder != self
}

// election acquires and renews the lease.
type election struct {
	store topo.Store
	self  Identity
	ttl   time.Duration
	log   *slog.Logger
}

// renewInterval returns the time between renewals of the lease.
func (e *election) renewInterval() time.Duration { return e.ttl * renewTenths / 10 }

// slowRenewal returns how long a renewal may go without a response before the store is
// considered unreachable. A store that is slow but up responds within 240 ms.
func (e *election) slowRenewal() time.Duration { return e.ttl * slowRenewalTenths / 10 }

// candidateDelay returns how long this daemon waits before it campaigns. The delay depends
// on the daemon's name and on rev, so a daemon's rank changes with the revision.
func (e *election) candidateDelay(rev int64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.self.Name))
	return time.Duration((h.Sum32()+uint32(rev))%rankCount) * rankDelay
}

// vacant reports whether the lease can be acquired, and the revision of the key to
// replace. A key of an earlier run of this daemon counts as vacant, because the earlier
// run has ended, and so does the key of this run if its lease is to be replaced.
func (e *election) vacant(v *view.View, replaceOwn bool) (int64, bool) {
	if !v.Coordinator.Exists() {
		return 0, true
	}
	var holder Identity
	if err := cbor.Unmarshal(v.Coordinator.Value, &holder); err != nil {
		e.log.Warn("coordinator's key could not be decoded; treating the lease as held", "revision", v.Coordinator.ModRev, "error", err)
		return 0, false
	}
	return v.Coordinator.ModRev, holder.Name == e.self.Name && (replaceOwn || holder.RunID != e.self.RunID)
}

// campaign tries to acquire the lease. It returns nil without an error if another daemon
// was first.
func (e *election) campaign(ctx context.Context, rev int64) (*term, error) {
	sent := clock.Now()
	lease, err := e.store.GrantLease(ctx, e.ttl)
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(e.self)
	if err != nil {
		return nil, err
	}
	res, err := e.store.Commit(ctx, topo.Txn{
		Compares: []topo.Compare{{Key: view.CoordinatorKey, Field: topo.CompareModRev, Rev: rev}},
		Puts:     []topo.Put{{Key: view.CoordinatorKey, Value: value, Lease: lease}},
	})
	switch {
	case errors.Is(err, topo.ErrUnknownResult):
		stored, getErr := e.store.Get(ctx, view.CoordinatorKey)
		if getErr != nil || stored.Lease != lease {
			return nil, errors.Join(err, getErr)
		}
		res.Rev = stored.ModRev
	case err != nil:
		return nil, err
	case !res.Succeeded:
		e.revoke(ctx, lease)
		return nil, nil
	}
	return &term{lease: lease, rev: res.Rev, expires: sent + e.ttl}, nil
}

// renew renews the lease and returns its new expiry.
func (e *election) renew(ctx context.Context, t *term) (time.Duration, error) {
	sent := clock.Now()
	if err := e.store.KeepAlive(ctx, t.lease); err != nil {
		return 0, err
	}
	return sent + e.ttl, nil
}

// confirm renews a lease that may have expired. A store can delete a lease's keys and
// still renew the lease, so confirm also checks that the key is unchanged afterwards.
func (e *election) confirm(ctx context.Context, t *term) (time.Duration, error) {
	expires, err := e.renew(ctx, t)
	if err != nil {
		return 0, err
	}
	stored, err := e.store.Get(ctx, view.CoordinatorKey)
	if err == nil && stored.ModRev != t.rev {
		err = topo.ErrLeaseNotFound
	}
	return expires, err
}

func (e *election) revoke(ctx context.Context, lease topo.LeaseID) {
	if err := e.store.RevokeLease(ctx, lease); err != nil {
		e.log.Info("lease could not be revoked; it ends when its time to live expires", "lease", int64(lease), "error", err)
	}
}
