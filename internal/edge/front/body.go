package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/transport/bodybuf"
)

// Limits of the transfer of bodies.
const (
	// defaultBodyLimit applies if the configuration sets no limit.
	defaultBodyLimit = 8 << 20
	// smallBody is the announced length up to which memory is taken before the body has
	// arrived. For longer bodies it is taken as they arrive, so that callers that announce
	// much and send slowly do not hold it.
	smallBody = 4 << 10
	// writeChunk is written to a caller within writeTimeout. A caller that reads more slowly
	// loses its connection, because its response holds memory that other responses need.
	writeChunk   = 64 << 10
	writeTimeout = 10 * time.Second
)

// resetDeadlines removes the deadlines that the last request set on the connection. Writers
// that are not connections, as in tests, have none.
func resetDeadlines(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
}

// readBody reads the whole body until the request's deadline.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Duration) (*bodybuf.Buffer, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if r.ContentLength > h.Bodies.Limit() && r.ContentLength <= limit {
		return nil, fmt.Errorf("%w: %d bytes", bodybuf.ErrNoMemory, r.ContentLength)
	}
	left := deadline - clock.Now()
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(left))
	length := r.ContentLength
	if length > smallBody && length <= limit {
		length = -1
	}
	body, err := h.Bodies.Read(ctx, http.MaxBytesReader(w, r.Body, limit), length, limit)
	if err != nil {
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// refuseBody refuses a request whose body was not read. The request has not run.
func (h *Handler) refuseBody(w http.ResponseWriter, r *http.Request, rt *route.Route, arrived time.Duration, err error) {
	w.Header().Set("Connection", "close")
	if errors.Is(err, bodybuf.ErrNoMemory) {
		h.refuse(w, r, nil, arrived, &dispatch.Refusal{Reason: dispatch.NoMemory, Cause: err, RetryAfter: defaultRetryAfter})
		return
	}
	status := bodyErrorStatus(err)
	h.setOutcomeHeaders(w, false, "body not accepted")
	h.Log.Info("request body not accepted; refusing the request", "request", r.Header.Get(h.Names.RequestID), "route", rt.Name,
		"status", status, "error", err)
	h.writeEmpty(w, status, Result{Route: rt, Status: status, Took: clock.Now() - arrived})
}

func bodyErrorStatus(err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, bodybuf.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// writeBody writes a body in chunks that each have writeTimeout.
func writeBody(w http.ResponseWriter, body []byte) error {
	control := http.NewResponseController(w)
	for {
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := w.Write(body[:min(len(body), writeChunk)])
		if body = body[n:]; err != nil || len(body) == 0 {
			return err
		}
	}
}
