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

// Kinds of errors of this interface; each has an HTTP status of its own.
var (
	adminErrors = errorx.NewNamespace("admin")
	// badRequest is a request that cannot be understood.
	badRequest = adminErrors.NewType("bad_request")
	// notYet is a question about something that the daemon does not know yet.
	notYet = adminErrors.NewType("not_yet")
	// notStored is a change that the store did not make.
	notStored = adminErrors.NewType("not_stored")
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
	w.WriteHeader(statusOf(err))
	// The caller has left if this fails.
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(err error) int {
	var found *finding.Error
	switch {
	case errorx.IsOfType(err, badRequest):
		return http.StatusBadRequest
	case errors.As(err, &found), errors.Is(err, manifest.ErrOperation), errors.Is(err, coordinator.ErrNotMovable):
		return http.StatusUnprocessableEntity
	case errors.Is(err, coordinator.ErrNotCoordinator):
		return http.StatusServiceUnavailable
	case errors.Is(err, manifest.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, manifest.ErrUnknownService), errorx.IsOfType(err, notYet):
		return http.StatusNotFound
	case errors.Is(err, topo.ErrUnknownResult):
		return http.StatusGatewayTimeout
	case errors.Is(err, topo.ErrUnavailable), errors.Is(err, topo.ErrBadReply):
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}
