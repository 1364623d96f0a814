package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// pollInterval is the interval at which the configuration and the members are polled.
const pollInterval = 200 * time.Millisecond

// storeConfig sends the change to the first daemon that accepts a connection. The change
// is sent only once: if the response is lost, the configuration is read back to learn the
// result.
func (c *client) storeConfig(ctx context.Context, w configWrite) (manifest.Accepted, error) {
	encoded, err := w.encodeManifest()
	if err != nil {
		return manifest.Accepted{}, fmt.Errorf("encode manifest: %w", err)
	}
	message := adminapi.Apply{BasedOn: w.basedOn, Operation: w.operation, Author: w.author, Manifest: encoded}
	var stored manifest.Accepted
	for _, address := range c.addresses {
		err = c.call(ctx, http.MethodPut, address, adminapi.PathConfig, message, &stored)
		if !errors.Is(err, ErrNotSent) {
			break
		}
	}
	if err == nil {
		return stored, nil
	}
	if notStored := notStoredError(err, w); notStored != nil {
		return manifest.Accepted{}, notStored
	}
	return c.readBack(ctx, w, err)
}

// notStoredError returns the error to report if the change was certainly not stored, and
// nil if it may have been.
func notStoredError(err error, w configWrite) error {
	if errors.Is(err, ErrNotSent) {
		return callError(err)
	}
	var statusErr *statusError
	if !errors.As(err, &statusErr) {
		return nil
	}
	switch statusErr.status {
	case http.StatusConflict:
		return conflictError(w, statusErr.body.CurrentRevision, err)
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		if len(statusErr.body.Findings) > 0 {
			return manifestError(err)
		}
		return callError(err)
	case http.StatusBadGateway:
		return &CommandError{
			Code: ExitFailed, Problem: "the store is unavailable and nothing was stored", Cause: err,
			Remedy: "requests are still served; apply again when the store is back",
		}
	}
	return nil
}

func conflictError(w configWrite, current uint64, cause error) error {
	return &CommandError{
		Code:    ExitConflict,
		Problem: fmt.Sprintf("nothing was stored: revision %d is current, and the change was based on %d", current, w.basedOn),
		Cause:   cause,
		Remedy: fmt.Sprintf("run jackdawctl diff to see what the other change did, merge it, and apply with --based-on %d",
			current),
	}
}

// readBack finds out by the operation id whether a change whose response was lost was
// stored. It polls until ctx ends while the base revision is still current, since the
// write may still take effect.
func (c *client) readBack(ctx context.Context, w configWrite, cause error) (manifest.Accepted, error) {
	for ctx.Err() == nil {
		current, err := c.fetchConfig(ctx)
		switch {
		case err != nil || current.Revision <= w.basedOn:
		case current.Operation == w.operation:
			return current, nil
		case current.Revision == w.basedOn+1:
			return manifest.Accepted{}, conflictError(w, current.Revision, cause)
		default:
			// The change may have been stored as revision basedOn+1 and replaced since.
			return manifest.Accepted{}, supersededError(w, current.Revision, cause)
		}
		waitPollInterval(ctx)
	}
	return manifest.Accepted{}, unknownResultError(w, cause)
}

func supersededError(w configWrite, current uint64, cause error) error {
	return &CommandError{
		Code:    ExitUnknown,
		Problem: fmt.Sprintf("unknown whether operation %s was stored: revision %d of another operation is current", w.operation, current),
		Cause:   cause,
		Remedy:  "run jackdawctl diff to see whether the change is still wanted",
	}
}

func unknownResultError(w configWrite, cause error) error {
	return &CommandError{
		Code: ExitUnknown, Problem: "unknown whether operation " + w.operation + " was stored", Cause: cause,
		Remedy: fmt.Sprintf("run the same command again with --%s %s --%s %d; it is stored at most once",
			flagOperation, w.operation, flagBasedOn, w.basedOn),
	}
}

// waitPollInterval waits for pollInterval or until ctx ends.
func waitPollInterval(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
