package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/finding"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Error types of this interface. httpStatus maps them to HTTP status codes.
var (
	adminErrors = errorx.NewNamespace("admin")
	// errBadRequest reports a request that is malformed or has invalid parameters.
	errBadRequest = adminErrors.NewType("bad_request")
	// errNotAvailable reports that the daemon does not have the requested data yet.
	errNotAvailable = adminErrors.NewType("not_yet")
	// errNotStored reports a change that the store did not execute.
	errNotStored = adminErrors.NewType("not_stored")
)

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	body := adminapi.Error{Message: err.Error()}
	var found *finding.Error
	if errors.As(err, &found) {
		body.Findings = found.Findings
	}
	var conflict *manifest.ConflictError
	if errors.As(err, &conflict) {
		body.CurrentRevision = conflict.Current
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(httpStatus(err))
	// This fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func httpStatus(err error) int {
	var found *finding.Error
	switch {
	case errorx.IsOfType(err, errBadRequest):
		return http.StatusBadRequest
	case errors.As(err, &found), errors.Is(err, manifest.ErrOperation), errors.Is(err, coordinator.ErrNotMovable):
		return http.StatusUnprocessableEntity
	case errors.Is(err, coordinator.ErrNotCoordinator):
		return http.StatusServiceUnavailable
	case errors.Is(err, manifest.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, manifest.ErrUnknownService), errorx.IsOfType(err, errNotAvailable):
		return http.StatusNotFound
	case errors.Is(err, topo.ErrUnknownResult):
		return http.StatusGatewayTimeout
	case errors.Is(err, topo.ErrUnavailable), errors.Is(err, topo.ErrBadReply):
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}
