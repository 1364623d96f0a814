package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// presenceInterval leaves three attempts within the presence lease.
const presenceInterval = 500 * time.Millisecond

// storeTimeout bounds each call to the store.
const storeTimeout = 600 * time.Millisecond

// runPresence keeps the presence keys of memberships for which the store
// votes. A key is created before the member asks to join, and never again once
// its lease has ended: its absence is the store's agreement to a fence.
func (d *Daemon) runPresence(ctx context.Context) error {
	ticker := time.NewTicker(presenceInterval)
	defer ticker.Stop()
	for {
		for _, m := range d.memberships() {
			d.keepPresent(ctx, m)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) keepPresent(ctx context.Context, m *membership) {
	if !m.needsStore() {
		d.endPresence(ctx, m)
		return
	}
	m.mu.Lock()
	presence := m.presence
	m.mu.Unlock()
	if presence == 0 {
		d.createPresence(ctx, m)
		return
	}
	d.renewPresence(ctx, m, presence)
}

func presenceKey(m *membership) string { return topo.PrefixPresence + string(m.id) }

func (d *Daemon) createPresence(ctx context.Context, m *membership) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	id, err := d.store.GrantLease(ctx, presenceTTL)
	if err != nil {
		return
	}
	put := topo.Txn{
		Compares: []topo.Compare{{Key: presenceKey(m), Field: topo.CompareCreateRev, Rev: 0}},
		Puts:     []topo.Put{{Key: presenceKey(m), Value: []byte(d.run), Lease: id}},
	}
	result, err := d.store.Commit(ctx, put)
	if err != nil || !result.Succeeded {
		d.log.Debug("presence key not created", slog.Any("error", err))
		return
	}
	m.mu.Lock()
	m.presence = id
	m.mu.Unlock()
}

func (d *Daemon) renewPresence(ctx context.Context, m *membership, id topo.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt := time.Now()
	err := d.store.KeepAlive(ctx, id)
	switch {
	case err == nil:
		m.storeRenewed(sentAt)
	case errors.Is(err, topo.ErrLeaseNotFound):
		m.storeLost()
		d.presenceLost(m)
	}
}

// presenceLost replaces a membership whose presence ended before a table named
// it: the id can no longer get the store's vote.
func (d *Daemon) presenceLost(m *membership) {
	m.mu.Lock()
	joined := m.holder != nil
	m.mu.Unlock()
	if joined || d.stopping.Load() || d.present() != m {
		return
	}
	m.setLeaving()
	d.addMembership(time.Now())
}

func (d *Daemon) endPresence(ctx context.Context, m *membership) {
	m.mu.Lock()
	id := m.presence
	m.presence = 0
	m.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// A failed revocation is harmless: the lease ends by itself.
	_ = d.store.RevokeLease(ctx, id)
}

// storeAgrees reports whether the store agrees to a fence of the member: its
// presence key does not exist. A transaction asks, since a plain read may be
// answered from an old state in which the key did not exist yet.
func (d *Daemon) storeAgrees(ctx context.Context, member string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := topo.PrefixPresence + member
	result, err := d.store.Commit(ctx, topo.Txn{
		Compares: []topo.Compare{{Key: key, Field: topo.CompareCreateRev, Rev: 0}},
	})
	return err == nil && result.Succeeded
}
