package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// apply stores a manifest as the successor of revision basedOn. Daemons learn of it
// from the store.
func apply(ctx context.Context, store topo.Store, basedOn uint64, m manifest.Manifest, operation, author string) (manifest.Accepted, error) {
	entry, err := store.Get(ctx, topo.KeyConfig)
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
	result, err := store.Commit(ctx, topo.Txn{
		Compares: []topo.Compare{{Key: topo.KeyConfig, Field: topo.CompareModRev, Rev: entry.ModRev}},
		Puts:     []topo.Put{{Key: topo.KeyConfig, Value: encoded}},
	})
	switch {
	case errors.Is(err, topo.ErrUnknownResult):
		return confirm(ctx, store, basedOn, next, topo.ErrUnknownResult)
	case err == nil && !result.Succeeded:
		return confirm(ctx, store, basedOn, next, notStored.New("another change was stored first, or the store refused"))
	case err != nil:
		return manifest.Accepted{}, fmt.Errorf("%w: %w", notStored.New("configuration not stored"), err)
	}
	return next, nil
}

const (
	// inForceTime bounds the wait of an accepted change for the daemons that can be
	// reached. A change takes a few tenths of a second.
	inForceTime = 1500 * time.Millisecond
	inForcePoll = 20 * time.Millisecond
	stateTime   = 300 * time.Millisecond
)

// awaitInForce waits until every daemon that can be reached has a revision in force,
// for a limited time. The store may go down right after it has accepted a change.
func (s *server) awaitInForce(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, inForceTime)
	defer cancel()
	for _, m := range s.Daemon.Members() {
		for ctx.Err() == nil && m.Admin != "" {
			var state adminapi.State
			if err := s.get(ctx, m.Admin, adminapi.PathState, &state); err == nil && state.Config >= revision {
				break
			}
			wait(ctx, inForcePoll)
		}
	}
}

// get reads from another daemon's interface.
func (s *server) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, stateTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// confirm reads the configuration back after a write whose result is unknown or that
// was refused, and tells by the operation whose it is. If it is unchanged, the error
// is otherwise: a write of unknown result may still take effect.
func confirm(ctx context.Context, store topo.Store, basedOn uint64, next manifest.Accepted, otherwise error) (manifest.Accepted, error) {
	entry, err := store.Get(ctx, topo.KeyConfig)
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
		return stored, nil
	case stored.Revision > basedOn:
		return manifest.Accepted{}, &manifest.ConflictError{BasedOn: basedOn, Current: stored.Revision, Operation: stored.Operation}
	}
	return manifest.Accepted{}, otherwise
}
