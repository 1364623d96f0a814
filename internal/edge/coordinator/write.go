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

// writeTable stores a range table without blocking grants. The transaction's conditions
// prevent a coordinator that has lost its lease from writing.
func (c *Coordinator) writeTable(ctx context.Context, service string, e *engine, table *ranges.Table) {
	c.writeCount++
	table.WriteID = c.config.Self.RunID + "-" + strconv.Itoa(c.writeCount)
	value, err := table.Encode()
	if err != nil {
		c.config.Log.Error("range table could not be encoded; keeping the previous table", "service", service, "error", err)
		e.HandleWriteResult(false, e.Table(), clock.Now())
		return
	}
	e.writeID = table.WriteID
	txn := topo.Txn{
		Compares: []topo.Compare{
			{Key: view.CoordinatorKey, Field: topo.CompareModRev, Rev: c.term.rev},
			{Key: view.RangesKey(service), Field: topo.CompareModRev, Rev: e.tableRev},
		},
		Puts: []topo.Put{{Key: view.RangesKey(service), Value: value}},
	}
	go func() {
		stored, err := c.commit(ctx, txn)
		c.enqueue(func() { c.handleTableWrite(service, e, table, stored, err) })
	}()
}

// commit runs a transaction that writes one table and returns the entry that is stored
// afterwards, whether or not this transaction wrote it.
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

func (c *Coordinator) handleTableWrite(service string, e *engine, table *ranges.Table, stored topo.Entry, err error) {
	if c.engines[service] != e || e.kept || e.writeID != table.WriteID {
		return
	}
	now := clock.Now()
	if err != nil {
		c.config.Log.Warn("range table not written", "service", service, "writer", table.WriteID, "error", err)
		e.HandleWriteResult(false, e.Table(), now)
		return
	}
	if !stored.Exists() || stored.ModRev < e.tableRev {
		c.config.Log.Warn("store answered from an earlier state", "service", service, "revision", stored.ModRev, "known", e.tableRev)
		e.HandleWriteResult(false, e.Table(), now)
		return
	}
	found, err := ranges.Decode(stored.Value)
	if era := topo.EraOf(c.term.rev); err == nil && (topo.EraOf(stored.ModRev) != era || !found.WrittenIn(era)) {
		// The store was restored: it lost the table, and shows an earlier one.
		c.config.Log.Warn("range table not written; the store has one of an earlier era", "service", service, "writer", table.WriteID, "revision", stored.ModRev)
		if topo.EraOf(stored.ModRev) == era {
			e.tableRev = stored.ModRev
		}
		e.HandleWriteResult(false, e.Table(), now)
		return
	}
	if err != nil {
		c.config.Log.Error("range table in the store could not be decoded; keeping the previous table", "service", service, "error", err)
		e.HandleWriteResult(false, e.Table(), now)
		return
	}
	e.tableRev = stored.ModRev
	ok := found.WriteID == table.WriteID
	e.HandleWriteResult(ok, *found, now)
	c.config.Log.Info("range table written", "service", service, "writer", found.WriteID, "own", ok, "revision", stored.ModRev,
		"spans", len(found.Spans), "fence", found.Fence)
	c.config.Views.ApplyWrittenTable(stored)
}
