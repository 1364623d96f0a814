// Package coordinator runs the duty of assigning keys in the one daemon that
// holds the coordinator's lease.
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

// Times of the coordinator's lease.
const (
	// leaseTTL bounds how long nobody coordinates after a loss. It is below the
	// duration of grants, so that keys stay served meanwhile.
	leaseTTL = 2 * time.Second
	// keepTenths is the part of the lease, in tenths, after which it is renewed. It
	// leaves two more attempts before the lease runs out.
	keepTenths = 3
	// slowTenths is the part of the lease after which a renewal without an answer
	// makes grants longer.
	slowTenths = 2
	// leaseMargin is kept to the end of the lease, for a grant on its way.
	leaseMargin = 150 * time.Millisecond
	// rankDelay spreads the candidates, so that few of them write.
	rankDelay = 60 * time.Millisecond
	// weakDelay is added for the weakest instances: grants of a large fleet take
	// much of a small instance.
	weakDelay = 600 * time.Millisecond
	// ranks is the number of different delays.
	ranks = 8
)

// Identity names one run of a daemon.
type Identity struct {
	Name  string `cbor:"1,keyasint"`
	RunID string `cbor:"2,keyasint"`
}

// term is one time of holding the lease.
type term struct {
	lease topo.LeaseID
	// rev is the revision of the coordinator's key, a condition of all writes.
	rev   int64
	until time.Duration
	// dormant tells that the lease may have run out. Nothing is sent then.
	dormant bool
}

// valid reports whether the lease certainly still runs at a time.
func (t *term) valid(now time.Duration) bool { return t != nil && now < t.until-leaseMargin }

// superseded reports whether the view shows a later coordinator.
func (t *term) superseded(v *view.View, self Identity) bool {
	if !v.Coordinator.Exists() || v.Coordinator.ModRev <= t.rev {
		return false
	}
	var holder Identity
	return cbor.Unmarshal(v.Coordinator.Value, &holder) != nil || holder != self
}

// election wins and keeps the lease.
type election struct {
	store topo.Store
	self  Identity
	ttl   time.Duration
	log   *slog.Logger
}

// keepEvery is the pause between renewals of the lease.
func (e *election) keepEvery() time.Duration { return e.ttl * keepTenths / 10 }

// slowKeep is the time without an answer to a renewal from which the store counts as
// not reached. A store that is slow but up answers within 240 ms.
func (e *election) slowKeep() time.Duration { return e.ttl * slowTenths / 10 }

// rank returns this daemon's place among the candidates.
func (e *election) rank(rev int64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.self.Name))
	return time.Duration((h.Sum32()+uint32(rev))%ranks) * rankDelay
}

// vacant reports whether the lease can be taken, and the revision to replace.
// A key of an earlier run of this daemon counts as vacant: that run has ended.
func (e *election) vacant(v *view.View) (int64, bool) {
	if !v.Coordinator.Exists() {
		return 0, true
	}
	var holder Identity
	if err := cbor.Unmarshal(v.Coordinator.Value, &holder); err != nil {
		e.log.Warn("coordinator's key not readable", "revision", v.Coordinator.ModRev, "error", err)
		return 0, false
	}
	return v.Coordinator.ModRev, holder.Name == e.self.Name && holder.RunID != e.self.RunID
}

// campaign tries to become the coordinator. It returns nil without an error if
// another daemon was first.
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
		e.end(ctx, lease)
		return nil, nil
	}
	return &term{lease: lease, rev: res.Rev, until: sent + e.ttl}, nil
}

// keep renews the lease and returns when it will run out.
func (e *election) keep(ctx context.Context, t *term) (time.Duration, error) {
	sent := clock.Now()
	if err := e.store.KeepAlive(ctx, t.lease); err != nil {
		return 0, err
	}
	return sent + e.ttl, nil
}

// confirm renews a lease that may have run out. A store can take a lease's keys away
// and still renew it, so the key has to stand unchanged after that.
func (e *election) confirm(ctx context.Context, t *term) (time.Duration, error) {
	until, err := e.keep(ctx, t)
	if err != nil {
		return 0, err
	}
	stored, err := e.store.Get(ctx, view.CoordinatorKey)
	if err == nil && stored.ModRev != t.rev {
		err = topo.ErrLeaseNotFound
	}
	return until, err
}

func (e *election) end(ctx context.Context, lease topo.LeaseID) {
	if err := e.store.RevokeLease(ctx, lease); err != nil {
		e.log.Info("lease not ended; it runs out by itself", "lease", int64(lease), "error", err)
	}
}
