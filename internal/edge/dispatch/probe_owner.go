package dispatch

import (
	"context"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/probing"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
)

// probeOwner asks the owner of the request's key for its load, if the request would have to queue
// there or be refused by what is known of it.
func (d *Dispatcher) probeOwner(ctx context.Context, t *requestState) {
	now := clock.Now()
	path, ep := d.ownerToProbe(d.config.Views.Current(), t, now)
	if ep == nil {
		return
	}
	limit := min(roundTimeout, time.Duration(probeTimeShare*float64(t.req.Deadline-now)))
	d.runRound(ctx, path, []*endpoint{ep}, limit)
}

// ownerToProbe returns the owner of the request's key and the path to probe it at, or nil if it is
// not to be probed.
func (d *Dispatcher) ownerToProbe(v *view.View, t *requestState, now time.Duration) (string, *endpoint) {
	record, owned := ownerRecord(v, t.req)
	if !owned {
		return "", nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	path := d.healthPath(v, t.req.Service, now)
	if path == "" {
		return "", nil
	}
	ep := d.endpoint(v, record)
	kept, candidates := probingCandidates([]*endpoint{ep}, now)
	if ep.replaced || now < ep.pausedUntil || len(kept) == 0 || !probing.OwnerNeedsProbe(now, candidates[0]) {
		return "", nil
	}
	if d.serviceState(t.req.Service).probes.Take(now, 1) == 0 {
		return "", nil
	}
	ep.probe.Begin()
	return path, ep
}

// ownerRecord returns the registration of the owner of the request's key, and whether the key has an
// owner that may get requests.
func ownerRecord(v *view.View, req *Request) (target.Record, bool) {
	table := v.Tables[req.Service]
	if table == nil || !req.HasKey {
		return target.Record{}, false
	}
	span := table.Lookup(req.Key)
	record, known := v.Targets.Get(span.Owner)
	usable := span.Owned() && known && record.Incarnation() == span.Incarnation() && record.State != target.Draining
	return record, usable
}
