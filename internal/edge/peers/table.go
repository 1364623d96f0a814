package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// Limits of reads of a range table from the coordinator.
const (
	tableTimeout = 300 * time.Millisecond
	// tableInterval is the shortest time between two reads of a service's table.
	tableInterval = 250 * time.Millisecond
	maxTableSize  = 2 * topo.MaxValueBytes
	tablePath     = "/table"
)

// TableReader reads range tables from the coordinator. It is for the case that the owners which
// this daemon knows do not hold their keys, while the store does not show the table that the
// coordinator has written.
type TableReader struct {
	Network Network
	Peers   func() []Peer
	// Apply is called with the entry of a newer table.
	Apply func(topo.Entry)
	Log   *slog.Logger

	mu       sync.Mutex
	lastRead map[string]time.Duration // by service
}

// Read reads a service's table in the background if the coordinator has a newer one than the given
// revision. It does nothing if the table was read a moment ago.
func (r *TableReader) Read(service string, known int64) {
	if !r.due(service) {
		return
	}
	for _, p := range r.Peers() {
		if p.IsCoordinator {
			go r.read(p, service, known)
			return
		}
	}
}

// due reports whether a service's table may be read now.
func (r *TableReader) due(service string) bool {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.lastRead[service]; ok && now-last < tableInterval {
		return false
	}
	if r.lastRead == nil {
		r.lastRead = make(map[string]time.Duration)
	}
	r.lastRead[service] = now
	return true
}

func (r *TableReader) read(p Peer, service string, known int64) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	path := tablePath + "?service=" + url.QueryEscape(service) + "&after=" + strconv.FormatInt(known, 10)
	status, body, err := get(ctx, r.Network, p.Address, path, maxTableSize)
	if err == nil && status == http.StatusNoContent {
		return
	}
	var entry topo.Entry
	switch {
	case err != nil:
	case status != http.StatusOK:
		err = fmt.Errorf("daemon answered with status %d", status)
	default:
		err = cbor.Unmarshal(body, &entry)
	}
	if err != nil {
		r.Log.Info("range table not read from the coordinator", "service", service, "daemon", p.Name, "error", err)
		return
	}
	r.Log.Info("range table read from the coordinator", "service", service, "daemon", p.Name, "revision", entry.ModRev, "known", known)
	r.Apply(entry)
}

// TableHandler serves the range tables of this daemon's view to other daemons.
type TableHandler struct {
	// Table returns the entry of a service's table, or one that does not exist.
	Table func(service string) (topo.Entry, error)
	Log   *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h *TableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	entry, err := h.Table(query.Get("service"))
	if err == nil && entry.ModRev <= after {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var body []byte
	if err == nil {
		body, err = cbor.Marshal(entry)
	}
	if err != nil {
		h.Log.Error("range table could not be encoded; answering 500", "service", query.Get("service"), "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(body); err != nil {
		h.Log.Debug("range table could not be sent to a daemon", "error", err)
	}
}
