package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/peer"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// runConfig keeps the configuration up to date from the store while this
// daemon is the coordinator: by a watch, and by polling in case that the watch
// is silent.
func (d *Daemon) runConfig(ctx context.Context) error {
	ticker := time.NewTicker(configPoll)
	defer ticker.Stop()
	for {
		if d.office.active() {
			d.pollConfig(ctx)
			d.watchConfig(ctx, configPoll)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) pollConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := d.store.Get(ctx, topo.KeyConfig)
	if err == nil {
		d.takeConfig(entry)
	}
}

func (d *Daemon) takeConfig(e topo.Entry) {
	if err := d.offerEntry(e); err != nil {
		d.metrics.badDocuments.Inc(1)
		d.log.Warn("stored configuration rejected", slog.Any("error", err))
	}
}

func (d *Daemon) watchConfig(ctx context.Context, life time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, life)
	defer cancel()
	events, err := d.store.Watch(ctx, topo.KeyConfig, 0)
	if err != nil {
		return
	}
	for event := range events {
		d.takeConfig(event.Entry)
		d.announce(ctx, peer.Documents{Config: event.Entry.Value})
	}
}

// errNoStoreWrite reports a configuration write that the store did not make.
var errNoStoreWrite = errors.New("configuration not stored")

// applyConfig stores a manifest as the successor of revision basedOn.
func (d *Daemon) applyConfig(ctx context.Context, basedOn uint64, m manifest.Manifest, operation, author string) (manifest.Accepted, error) {
	entry, err := d.store.Get(ctx, topo.KeyConfig)
	if err != nil {
		return manifest.Accepted{}, err
	}
	var current manifest.Accepted
	if entry.Exists() {
		if current, err = manifest.DecodeAccepted(entry.Value); err != nil {
			return manifest.Accepted{}, err
		}
	}
	next, err := manifest.Accept(current, basedOn, m, operation)
	if err != nil || next.Revision == current.Revision {
		return next, err
	}
	next.Author = author
	encoded, err := manifest.EncodeAccepted(next)
	if err != nil {
		return manifest.Accepted{}, err
	}
	result, err := d.store.Commit(ctx, topo.Txn{
		Compares: []topo.Compare{{Key: topo.KeyConfig, Field: topo.CompareModRev, Rev: entry.ModRev}},
		Puts:     []topo.Put{{Key: topo.KeyConfig, Value: encoded}},
	})
	switch {
	case errors.Is(err, topo.ErrUnknownResult):
		return d.confirmConfig(ctx, basedOn, next, topo.ErrUnknownResult)
	case err == nil && !result.Succeeded:
		return d.confirmConfig(ctx, basedOn, next, errNoStoreWrite)
	case err != nil:
		return manifest.Accepted{}, fmt.Errorf("%w: %w", errNoStoreWrite, err)
	}
	return next, d.adoptConfig(ctx, encoded)
}

// confirmConfig reads the configuration back after a write whose result is
// unknown or that was refused, and tells by the operation whose it is. If it is
// unchanged, the error is otherwise: a write of unknown result may still take
// effect.
func (d *Daemon) confirmConfig(ctx context.Context, basedOn uint64, next manifest.Accepted, otherwise error) (manifest.Accepted, error) {
	entry, err := d.store.Get(ctx, topo.KeyConfig)
	if err != nil {
		return manifest.Accepted{}, fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	}
	if !entry.Exists() {
		return manifest.Accepted{}, otherwise
	}
	stored, err := manifest.DecodeAccepted(entry.Value)
	if err != nil {
		return manifest.Accepted{}, err
	}
	switch {
	case stored.Operation == next.Operation:
		return stored, d.adoptConfig(ctx, entry.Value)
	case stored.Revision > basedOn:
		return manifest.Accepted{}, &manifest.ConflictError{BasedOn: basedOn, Current: stored.Revision, Operation: stored.Operation}
	}
	return manifest.Accepted{}, otherwise
}

func (d *Daemon) adoptConfig(ctx context.Context, encoded []byte) error {
	if err := ignoreOld(d.docs.offerConfig(encoded)); err != nil {
		return err
	}
	d.announce(ctx, peer.Documents{Config: encoded})
	return nil
}
