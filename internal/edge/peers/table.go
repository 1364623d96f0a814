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
	// minTableInterval is the shortest time between two reads of a service's table by one daemon,
	// and tableIntervalPerDaemon the time between two reads by all daemons together, so that the
	// load of the coordinator does not grow with their number.
	minTableInterval       = 250 * time.Millisecond
	tableIntervalPerDaemon = 5 * time.Millisecond
	maxTableSize           = 2 * topo.MaxValueBytes
	tablePath              = "/table"
)

// tableReply is a range table with the store revision of its last write.
type tableReply struct {
	Value []byte `cbor:"1,keyasint"`
	Rev   int64  `cbor:"2,keyasint"`
}

// decodeTableReply returns an error unless the reply has a table that is newer than the known one.
func decodeTableReply(b []byte, known int64) (tableReply, error) {
	var reply tableReply
	if err := cbor.Unmarshal(b, &reply); err != nil {
		return tableReply{}, err
	}
	if reply.Rev <= known || len(reply.Value) == 0 || len(reply.Value) > topo.MaxValueBytes {
		return tableReply{}, fmt.Errorf("%w: table of %d bytes at revision %d, known is %d", errOutOfRange, len(reply.Value), reply.Rev, known)
	}
	return reply, nil
}

// TableReader reads range tables from the coordinator. It is for the case that the owners which
// this daemon knows do not hold their keys, while the store does not show the table that the
// coordinator has written.
type TableReader struct {
	Network Network
	Peers   func() []Peer
	// Apply is called with the encoded table and the revision of a newer one.
	Apply func(service string, table []byte, rev int64)
	Log   *slog.Logger

	mu       sync.Mutex
	lastRead map[string]time.Duration // by service
}

// Read reads a service's table in the background if the coordinator has a newer one than the given
// revision. It does nothing if the table was read a moment ago.
func (r *TableReader) Read(service string, known int64) {
	all := r.Peers()
	if !r.due(service, max(minTableInterval, time.Duration(len(all))*tableIntervalPerDaemon)) {
		return
	}
	for _, p := range all {
		if p.IsCoordinator {
			go r.read(p, service, known)
			return
		}
	}
}

// due reports whether the last read of a service's table began at least an interval ago, and counts
// the read.
func (r *TableReader) due(service string, interval time.Duration) bool {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.lastRead[service]; ok && now-last < interval {
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
	var reply tableReply
	switch {
	case err != nil:
	case status != http.StatusOK:
		err = fmt.Errorf("daemon answered with status %d", status)
	default:
		reply, err = decodeTableReply(body, known)
	}
	if err != nil {
		r.Log.Info("range table not read from the coordinator", "service", service, "daemon", p.Name, "error", err)
		return
	}
	r.Log.Info("range table read from the coordinator", "service", service, "daemon", p.Name, "revision", reply.Rev, "known", known)
	r.Apply(service, reply.Value, reply.Rev)
}

// TableHandler serves the range tables of this daemon's view to other daemons.
type TableHandler struct {
	// Table returns a service's encoded table and its revision if that is higher than the given
	// one, and otherwise nil.
	Table func(service string, after int64) (table []byte, rev int64, err error)
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
	table, rev, err := h.Table(query.Get("service"), after)
	if err == nil && table == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var body []byte
	if err == nil {
		body, err = cbor.Marshal(tableReply{Value: table, Rev: rev})
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
