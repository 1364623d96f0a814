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
	// handOverTimeout bounds the time by which a stopping coordinator keeps its
	// lease for the sake of its successors.
	handOverTimeout = 300 * time.Millisecond
	// successors is the number of daemons that are told: the hubs of the domains
	// and further ones, of which the strongest are elected first.
	successors      = 8
	handOverPath    = "/handover"
	maxHandOverSize = 1 << 20
)

// Handover is what a coordinator that stops tells its successors.
type Handover struct {
	// GrantExpiries tells by service how long grants last at most, from the arrival.
	GrantExpiries map[string][]ownership.GrantExpiry `cbor:"1,keyasint"`
}

// SendHandover tells the daemons that may coordinate next.
func (r *Relay) SendHandover(ctx context.Context, h Handover) {
	body, err := cbor.Marshal(h)
	if err != nil {
		r.log.Error("hand-over not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range r.strongest(successors) {
		wg.Go(func() {
			if err := r.tell(ctx, p, body); err != nil {
				r.log.Info("daemon not told of grants", "daemon", p.Name, "error", err)
			}
		})
	}
	wg.Wait()
}

func (r *Relay) tell(ctx context.Context, p Peer, body []byte) error {
	status, _, err := post(ctx, r.net, p.Address, handOverPath, body, maxHandOverSize)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("daemon answered %d", status)
	}
	return err
}

// HandoverHandler takes hand-overs.
type HandoverHandler struct {
	Accept func(Handover)
	Log    *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h *HandoverHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var handOver Handover
	if err := readMessage(w, r, maxHandOverSize, &handOver); err != nil {
		h.Log.Warn("hand-over not readable", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Accept(handOver)
}
