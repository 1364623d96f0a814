package coordinator

import (
	"context"
	"errors"
	"strconv"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// write stores a range table without holding up grants. The conditions keep a
// coordinator that has lost its lease from writing.
func (c *Coordinator) write(ctx context.Context, service string, e *engine, table *ranges.Table) {
	c.writes++
	table.WriteID = c.config.Self.RunID + "-" + strconv.Itoa(c.writes)
	value, err := table.Encode()
	if err != nil {
		c.config.Log.Error("range table not encoded", "service", service, "error", err)
		e.HandleWriteResult(false, e.Table(), clock.Now())
		return
	}
	txn := topo.Txn{
		Compares: []topo.Compare{
			{Key: view.CoordinatorKey, Field: topo.CompareModRev, Rev: c.term.rev},
			{Key: view.RangesKey(service), Field: topo.CompareModRev, Rev: e.rev},
		},
		Puts: []topo.Put{{Key: view.RangesKey(service), Value: value}},
	}
	go func() {
		stored, err := c.commit(ctx, txn)
		c.put(func() { c.written(service, e, table, stored, err) })
	}()
}

// commit returns the stored entry after a transaction of one table, whether or
// not the transaction wrote it.
func (c *Coordinator) commit(ctx context.Context, txn topo.Txn) (topo.Entry, error) {
	res, err := c.config.Store.Commit(ctx, txn)
	if err == nil && res.Succeeded {
		return topo.Entry{Key: txn.Puts[0].Key, Value: txn.Puts[0].Value, CreateRev: res.Rev, ModRev: res.Rev}, nil
	}
	if err != nil && !errors.Is(err, topo.ErrUnknownResult) {
		return topo.Entry{}, err
	}
	return c.config.Store.Get(ctx, txn.Puts[0].Key)
}

func (c *Coordinator) written(service string, e *engine, table *ranges.Table, stored topo.Entry, err error) {
	if c.engines[service] != e {
		return
	}
	now := clock.Now()
	if err != nil {
		c.config.Log.Warn("range table not written", "service", service, "writer", table.WriteID, "error", err)
		e.HandleWriteResult(false, e.Table(), now)
		return
	}
	if !stored.Exists() || stored.ModRev < e.rev {
		c.config.Log.Warn("store answered from an earlier state", "service", service, "revision", stored.ModRev, "known", e.rev)
		e.HandleWriteResult(false, e.Table(), now)
		return
	}
	found, err := ranges.Decode(stored.Value)
	if err != nil {
		c.config.Log.Error("range table in the store not usable", "service", service, "error", err)
		e.HandleWriteResult(false, e.Table(), now)
		return
	}
	e.rev = stored.ModRev
	ok := found.WriteID == table.WriteID
	e.HandleWriteResult(ok, *found, now)
	c.config.Log.Info("range table written", "service", service, "writer", found.WriteID, "own", ok, "revision", stored.ModRev,
		"spans", len(found.Spans), "fence", found.Fence)
	c.config.Views.ApplyWrittenTable(stored)
}
