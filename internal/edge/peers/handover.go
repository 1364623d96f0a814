package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/coordination/ownership"
)

const (
	// handoverTimeout bounds how long a stopping coordinator keeps its lease in order to
	// inform its successors.
	handoverTimeout = 300 * time.Millisecond
	// maxSuccessors is the number of daemons that are informed, in the order in which they are
	// preferred as hubs. This number covers the hubs of the domains and further daemons;
	// preferred daemons are elected first.
	maxSuccessors   = 8
	handoverPath    = "/handover"
	maxHandoverSize = 1 << 20
)

// Handover is the message of a stopping coordinator to its possible successors.
type Handover struct {
	// GrantExpiries holds for each service how long its grants last at most, counted from the
	// arrival of the message.
	GrantExpiries map[string][]ownership.GrantExpiry `cbor:"1,keyasint"`
}

// maxGrantTime is far above the duration of grants, so that times stay in range.
const maxGrantTime = time.Hour

// validate returns an error if a grant would have expired before the handover was sent, which
// would free its keys too early, or if a figure is out of range.
func (h Handover) validate() error {
	for service, expiries := range h.GrantExpiries {
		for _, e := range expiries {
			if e.From > e.To || e.Remaining < 0 || e.Remaining > maxGrantTime {
				return fmt.Errorf("%w: grant of keys %d-%d of %.50q lasts %v", errOutOfRange, e.From, e.To, service, e.Remaining)
			}
		}
	}
	return nil
}

// SendHandover sends the handover to the daemons that may become coordinator next, and
// logs which daemons did not accept the handover.
func (r *Relay) SendHandover(ctx context.Context, h Handover) {
	body, err := cbor.Marshal(h)
	if err != nil {
		r.log.Error("handover could not be encoded; not sending it", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.preferredPeers(maxSuccessors) {
		wg.Go(func() {
			if err := r.postHandover(ctx, p, body); err != nil {
				r.log.Info("handover to a daemon failed", "daemon", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

func (r *Relay) postHandover(ctx context.Context, p Peer, body []byte) error {
	status, _, err := post(ctx, r.net, p.Address, handoverPath, body, maxHandoverSize)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("daemon answered the handover with status %d", status)
	}
	return err
}

// HandoverHandler accepts handovers from a stopping coordinator.
type HandoverHandler struct {
	Accept func(Handover)
	Log    *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h *HandoverHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var handover Handover
	if err := readMessage(w, r, maxHandoverSize, &handover); err != nil {
		h.Log.Warn("handover from a daemon could not be read; answering 400", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := handover.validate(); err != nil {
		h.Log.Warn("handover from a daemon could not be read; answering 400", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Accept(handover)
}
