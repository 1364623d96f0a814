package front

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/edge/dispatch"
)

// runningRequest is the request that a connection carries at present.
type runningRequest struct {
	id      string
	arrived time.Duration
	// dispatched is nil until the body has been read.
	dispatched atomic.Pointer[dispatch.Request]
}

// beginRequest records the request that its connection carries until end is called.
func beginRequest(ctx context.Context, id string, arrived time.Duration) (r *runningRequest, end func()) {
	r = &runningRequest{id: id, arrived: arrived}
	conn, ok := ctx.Value(framingConnKey{}).(*framingConn)
	if !ok {
		return r, func() {}
	}
	conn.running.Store(r)
	return r, func() { conn.running.Store(nil) }
}

// logCutOff logs a request that gets no response because the process ends.
func (r *runningRequest) logCutOff(log *slog.Logger) {
	service, sends := "", 0
	if req := r.dispatched.Load(); req != nil {
		service, sends = req.Service, req.Sends()
	}
	log.Warn("request cut off by the end of the grace period", "request", r.id, "service", service, "sends", sends,
		"took_ms", (clock.Now() - r.arrived).Milliseconds())
}
