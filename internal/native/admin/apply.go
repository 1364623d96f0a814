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

// apply stores a manifest as the successor of revision basedOn. The daemons receive it
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
		return confirmStored(ctx, store, basedOn, next, topo.ErrUnknownResult)
	case err == nil && !result.Succeeded:
		return confirmStored(ctx, store, basedOn, next, errNotStored.New("another change was stored first, or the store refused"))
	case err != nil:
		return manifest.Accepted{}, fmt.Errorf("%w: %w", errNotStored.New("configuration not stored"), err)
	}
	return next, nil
}

const (
	// inForceTimeout limits how long an accepted change waits for the reachable daemons to
	// put it in force, which takes a few tenths of a second.
	inForceTimeout      = 1500 * time.Millisecond
	inForcePollInterval = 20 * time.Millisecond
	stateTimeout        = 300 * time.Millisecond
)

// awaitInForce waits until every reachable daemon has a revision in force, for at most
// inForceTimeout. The store may go down right after it has accepted a change.
func (s *server) awaitInForce(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for _, m := range s.Daemon.Members() {
		for ctx.Err() == nil && m.AdminAddress != "" {
			var state adminapi.State
			if err := s.getJSON(ctx, m.AdminAddress, adminapi.PathState, &state); err == nil && state.ConfigRevision >= revision {
				break
			}
			sleep(ctx, inForcePollInterval)
		}
	}
}

// getJSON reads a resource from the administrative interface of a daemon.
func (s *server) getJSON(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// confirmStored reads the configuration back after a write whose result is unknown or that
// was refused, and compares its operation ID with that of the write. It returns a
// ConflictError if another change was stored, and errUnchanged if the configuration is
// unchanged: a write with unknown result may still take effect.
func confirmStored(ctx context.Context, store topo.Store, basedOn uint64, next manifest.Accepted, errUnchanged error) (manifest.Accepted, error) {
	entry, err := store.Get(ctx, topo.KeyConfig)
	if err != nil {
		return manifest.Accepted{}, fmt.Errorf("%w: %w", topo.ErrUnknownResult, err)
	}
	if !entry.Exists() {
		return manifest.Accepted{}, errUnchanged
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
	return manifest.Accepted{}, errUnchanged
}
