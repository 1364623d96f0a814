package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
)

// Limits of reading the store through another daemon.
const (
	// maxAge is the age up to which a hub's copy of the store is used. Together
	// with feedSlack and the reading of the store itself it stays within the two
	// seconds in which a change must be in force.
	maxAge = 900 * time.Millisecond
	// maxSeedAge is the age up to which a daemon that knows nothing starts with
	// another one's copy. It is above the outages of the store that are usual, of up
	// to ten seconds.
	maxSeedAge = 15 * time.Second
	// feedSlack is how much longer than its wait a call to a hub may take.
	feedSlack   = 300 * time.Millisecond
	maxFeedSize = 8 << 20
	feedPath    = "/feed"
	// anyAge is the parameter of a call that takes a copy of any age.
	anyAge = "any-age"
	// hubWait is how long a hub waits for changes at the first hub. It adds to the
	// age of the copy that its domain reads, which must stay below maxAge.
	hubWait = 250 * time.Millisecond
)

// feedReply is a hub's answer: the changes after a revision, or everything.
type feedReply struct {
	Entries []topo.Entry  `cbor:"1,keyasint"`
	At      int64         `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// errNotHub is returned by a daemon that has no current copy of its own.
var errNotHub = errors.New("daemon has no current copy of the store")

// Feed reads the store through other daemons: the daemons of a domain through
// their hub, and hubs through the first hub. Only that one, and daemons that find
// no current copy elsewhere, read the store, as its calls are charged for.
type Feed struct {
	Self, Domain string
	Store        topo.Feed
	Hubs         *HubSelector
	Peers        func() []Peer
	// Seeds are asked for their copy by a daemon that starts without the store.
	Seeds   []netip.AddrPort
	Network Network
	Log     *slog.Logger
}

// source returns the daemon to read from; false means the store.
func (f *Feed) source() (Peer, bool) {
	hubs := f.Hubs.Select(f.Peers())
	hub, ok := hubs[f.Domain]
	if ok && hub.Name == f.Self {
		hub = first(hubs)
	}
	return hub, ok && hub.Name != f.Self
}

// Snapshot implements topo.Feed.
func (f *Feed) Snapshot(ctx context.Context, prefix string) ([]topo.Entry, topo.Progress, error) {
	if hub, ok := f.source(); ok {
		reply, err := f.call(ctx, hub.Address, "", maxAge, feedSlack*2)
		if err == nil {
			return reply.Entries, topo.Progress{Rev: reply.At, Age: reply.Age}, nil
		}
		f.failed(ctx, hub, err)
	}
	entries, progress, err := f.Store.Snapshot(ctx, prefix)
	f.noteStore(ctx, err)
	if err != nil && len(f.Peers()) == 0 {
		if reply, ok := f.fromSeeds(ctx); ok {
			return reply.Entries, topo.Progress{Rev: reply.At, Age: reply.Age}, nil
		}
	}
	return entries, progress, err
}

// fromSeeds returns the copy of a daemon that need not reach the store either.
func (f *Feed) fromSeeds(ctx context.Context) (*feedReply, bool) {
	for _, address := range f.Seeds {
		reply, err := f.call(ctx, address, "?"+anyAge+"=1", maxSeedAge, feedSlack)
		if err == nil {
			f.Log.Info("started with the copy of another daemon", "daemon", address.String(), "age_ms", reply.Age.Milliseconds(), "revision", reply.At)
			return reply, true
		}
		f.Log.Info("daemon has no copy to start with", "daemon", address.String(), "error", err)
	}
	return nil, false
}

// Changes implements topo.Feed.
func (f *Feed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, topo.Progress, error) {
	if hub, ok := f.source(); ok {
		if hub.Domain != f.Domain {
			wait = min(wait, hubWait)
		}
		query := "?after=" + strconv.FormatInt(after, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
		reply, err := f.call(ctx, hub.Address, query, maxAge, wait+feedSlack)
		if err == nil {
			events := make([]topo.Event, len(reply.Entries))
			for i, e := range reply.Entries {
				events[i] = topo.Event{Entry: e}
			}
			return events, topo.Progress{Rev: max(reply.At, after), Age: reply.Age}, nil
		}
		if errors.Is(err, topo.ErrCompacted) {
			return nil, topo.Progress{}, err
		}
		f.failed(ctx, hub, err)
	}
	events, progress, err := f.Store.Changes(ctx, prefix, after, wait)
	f.noteStore(ctx, err)
	return events, progress, err
}

// noteStore makes a daemon that the store turns away read through others: the
// store may serve them.
func (f *Feed) noteStore(ctx context.Context, err error) {
	if err != nil && !errors.Is(err, topo.ErrCompacted) && ctx.Err() == nil {
		f.Hubs.MarkFailed(f.Self)
	}
}

func (f *Feed) failed(ctx context.Context, hub Peer, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Log.Info("hub not used; reading the store", "hub", hub.Name, "error", err)
	f.Hubs.MarkFailed(hub.Name)
}

// call reads from a daemon whose copy is at most so old.
func (f *Feed) call(ctx context.Context, address netip.AddrPort, query string, oldest, timeout time.Duration) (*feedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := get(ctx, f.Network, address, feedPath+query, maxFeedSize)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusGone:
		return nil, topo.ErrCompacted
	case status != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", errNotHub, status)
	}
	var reply feedReply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		return nil, fmt.Errorf("%w: %w", topo.ErrBadReply, err)
	}
	if reply.Age > oldest {
		return nil, fmt.Errorf("%w: %v old", errNotHub, reply.Age)
	}
	return &reply, nil
}

// FeedHandler serves a daemon's copy of the store to the daemons of its domain. The
// age of the copy goes with it, so that a copy of a copy is not taken for newer
// than it is, and daemons that take each other for the hub go to the store.
type FeedHandler struct {
	Mirror *mirror.Mirror
	Log    *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h *FeedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	old := query.Has(anyAge) && h.Mirror.Status().Rev > 0
	if !h.Mirror.Status().Up && !old {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var reply feedReply
	var err error
	after, parseErr := strconv.ParseInt(query.Get("after"), 10, 64)
	if parseErr != nil {
		reply.Entries, reply.At = h.Mirror.All()
	} else {
		wait, waitErr := strconv.ParseInt(query.Get("wait"), 10, 64)
		if waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply.Entries, reply.At, err = h.Mirror.Since(r.Context(), after, time.Duration(wait)*time.Millisecond)
	}
	switch {
	case errors.Is(err, topo.ErrCompacted):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil || !h.Mirror.Status().Up && !old:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply.Age = clock.Now() - h.Mirror.Status().CurrentAt
	h.write(w, reply)
}

func (h *FeedHandler) write(w http.ResponseWriter, reply feedReply) {
	body, err := cbor.Marshal(reply)
	if err != nil {
		h.Log.Error("copy of the store not encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		h.Log.Debug("copy of the store not delivered", "error", err)
	}
}
