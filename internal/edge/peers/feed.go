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

// Limits of reads from the store through another daemon.
const (
	// maxCopyAge is the age up to which a hub's copy of the store is used. maxCopyAge,
	// feedMargin and the hub's own read of the store together stay within the 2 s in which
	// a change must be in force.
	maxCopyAge = 1050 * time.Millisecond
	// maxSeedCopyAge is the age up to which a daemon that has no copy starts with the copy
	// of another daemon. It exceeds the usual store outages of up to 10 s.
	maxSeedCopyAge = 15 * time.Second
	// feedMargin is added to the requested wait to get the timeout of a call to a hub.
	feedMargin = 300 * time.Millisecond
	// A failed call to a hub is repeated after hubRetryDelay while the daemon's own copy is
	// younger than maxMemberRetryAge, or maxHubRetryAge if the daemon is the hub of its domain:
	// a hub that stalls for a moment would otherwise send its daemons to the store. Hubs give up
	// first, so that their domains need not, and the daemons early enough to read the store
	// within the 2 s in which a change must be in force.
	hubRetryDelay     = 50 * time.Millisecond
	maxHubRetryAge    = 1350 * time.Millisecond
	maxMemberRetryAge = 1700 * time.Millisecond
	// maxFeedWait is the longest time for which a daemon may ask to wait for changes.
	maxFeedWait = 30 * time.Second
	maxFeedSize = 8 << 20
	feedPath    = "/feed"
	// anyAge is the query parameter with which a daemon serves its copy although it does not
	// reach the store.
	anyAge = "any-age"
	// maxHubWait is how long a hub waits for changes at the primary hub. The wait adds to
	// the age of the copy that the hub's domain reads, as do the wait and the pause of the
	// primary hub (mirror.ChangesTimeout and mirror.CoalesceDelay). All of them together
	// must stay below maxCopyAge, as daemons read the store instead of an older copy.
	maxHubWait = 150 * time.Millisecond
)

// feedReply is the response to a feed call: the entries that changed after a revision, or
// all entries.
type feedReply struct {
	Entries []topo.Entry  `cbor:"1,keyasint"`
	Rev     int64         `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// errNoCurrentCopy reports a daemon whose own copy of the store is not current.
var errNoCurrentCopy = errors.New("daemon has no current copy of the store")

// errOldCopy reports a daemon whose copy of the store is older than allowed.
var errOldCopy = errors.New("daemon's copy of the store is too old")

// errStarting reports a daemon that has not read the store yet.
var errStarting = errors.New("daemon has no copy of the store yet")

// errNoHub reports that this daemon has no hub and reads the store itself.
var errNoHub = errors.New("no hub to read from")

// errLate reports a daemon that did not answer in time.
var errLate = errors.New("daemon did not answer in time")

// maxHubStalls is the number of consecutive reads of a hub that is late, starts or has an old
// copy after which another hub is chosen.
const maxHubStalls = 3

// Feed reads the store through other daemons: the daemons of a domain through their hub,
// and hubs through the primary hub. Only the primary hub, and daemons that find no
// current copy elsewhere, read the store itself, because store calls are charged for.
type Feed struct {
	Self, Domain string
	Store        topo.Feed
	Hubs         *HubSelector
	Peers        func() []Peer
	// Seeds are asked for their copy by a daemon that starts while the store is unavailable.
	Seeds   []netip.AddrPort
	Network Network
	Log     *slog.Logger

	currentAt time.Duration // latest time at which the last read copy is known to be current
	stalls    int           // consecutive reads of the store because the hub stalled or started
}

// source returns the daemon to read from. It returns false if the store is to be read
// directly.
func (f *Feed) source() (Peer, bool) {
	hubs := f.Hubs.Select(f.Peers())
	hub, ok := hubs[f.Domain]
	if ok && hub.Name == f.Self {
		hub = primaryHub(hubs)
	}
	return hub, ok && hub.Name != f.Self
}

// Snapshot implements topo.Feed.
func (f *Feed) Snapshot(ctx context.Context, prefix string) ([]topo.Entry, topo.Progress, error) {
	if hub, ok := f.source(); ok {
		reply, err := f.call(ctx, hub.Address, "", maxCopyAge, feedMargin*2)
		if err == nil {
			f.currentAt = clock.Now() - reply.Age
			return reply.Entries, topo.Progress{Rev: reply.Rev, Age: reply.Age, Relayed: true}, nil
		}
		f.hubFailed(ctx, hub, err)
	}
	entries, progress, err := f.Store.Snapshot(ctx, prefix)
	f.noteStoreResult(ctx, err)
	if err != nil && len(f.Peers()) == 0 {
		if reply, ok := f.copyFromSeeds(ctx); ok {
			return reply.Entries, topo.Progress{Rev: reply.Rev, Age: reply.Age, Relayed: true}, nil
		}
	}
	return entries, progress, err
}

// copyFromSeeds returns the copy of the first seed that has one. The seed need not reach
// the store.
func (f *Feed) copyFromSeeds(ctx context.Context) (*feedReply, bool) {
	for _, address := range f.Seeds {
		reply, err := f.call(ctx, address, "?"+anyAge+"=1", maxSeedCopyAge, feedMargin)
		if err == nil {
			f.Log.Info("started with the copy of another daemon", "daemon", address.String(), "age_ms", reply.Age.Milliseconds(), "revision", reply.Rev)
			return reply, true
		}
		f.Log.Info("seed daemon did not provide a copy of the store to start with", "daemon", address.String(), "error", err)
	}
	return nil, false
}

// Changes implements topo.Feed.
func (f *Feed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]topo.Event, topo.Progress, error) {
	reply, err := f.changesFromHub(ctx, after, wait)
	switch {
	case err != nil && ctx.Err() != nil, errors.Is(err, topo.ErrCompacted):
		return nil, topo.Progress{}, err
	case err == nil:
		events := make([]topo.Event, len(reply.Entries))
		for i, e := range reply.Entries {
			events[i] = topo.Event{Entry: e}
		}
		f.stalls, f.currentAt = 0, clock.Now()-reply.Age
		return events, topo.Progress{Rev: max(reply.Rev, after), Age: reply.Age, Relayed: true}, nil
	}
	events, progress, err := f.Store.Changes(ctx, prefix, after, wait)
	f.noteStoreResult(ctx, err)
	return events, progress, err
}

// changesFromHub reads the changes from this daemon's hub. It repeats a call that failed while
// this daemon's copy is young enough: once, or until then if the error may pass. After that it
// repeats no call until one succeeds, so that changes are not late for long.
func (f *Feed) changesFromHub(ctx context.Context, after int64, wait time.Duration) (*feedReply, error) {
	timeout := wait + feedMargin
	for retried := false; ; retried = true {
		hub, ok := f.source()
		if !ok {
			return nil, errNoHub
		}
		maxAge := maxMemberRetryAge
		if hub.Domain != f.Domain {
			maxAge = maxHubRetryAge
			wait = min(wait, maxHubWait)
			timeout = min(timeout, wait+feedMargin)
		}
		query := "?after=" + strconv.FormatInt(after, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
		reply, err := f.call(ctx, hub.Address, query, maxCopyAge, timeout)
		if err == nil && topo.EraOf(reply.Rev) < topo.EraOf(after) {
			err = fmt.Errorf("%w: it is of era %d", errOldCopy, topo.EraOf(reply.Rev))
		}
		if err == nil || errors.Is(err, topo.ErrCompacted) || ctx.Err() != nil {
			return reply, err
		}
		left := maxAge - hubRetryDelay - (clock.Now() - f.currentAt)
		if left <= 0 || f.stalls > 0 || retried && !mayPass(err) {
			f.hubFailed(ctx, hub, err)
			return nil, err
		}
		pause(ctx, hubRetryDelay)
		wait, timeout = 0, min(left, feedMargin) // a copy without changes is current as well
	}
}

// mayPass reports whether the error of a call to a hub is that of a hub that stalls or starts.
func mayPass(err error) bool {
	return errors.Is(err, errLate) || errors.Is(err, errOldCopy) || errors.Is(err, errStarting)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noteStoreResult marks this daemon as failed if the store does not serve it. The daemon
// then reads through other daemons, which the store may still serve.
func (f *Feed) noteStoreResult(ctx context.Context, err error) {
	if err == nil {
		f.currentAt = clock.Now()
	}
	if err != nil && !errors.Is(err, topo.ErrCompacted) && ctx.Err() == nil {
		f.Hubs.MarkFailed(f.Self)
	}
}

func (f *Feed) hubFailed(ctx context.Context, hub Peer, err error) {
	if ctx.Err() != nil {
		return
	}
	f.Log.Info("hub not used; reading the store", "hub", hub.Name, "error", err)
	if mayPass(err) {
		// The next read of changes tries the hub again. To leave it takes many calls to the store.
		if f.stalls++; f.stalls < maxHubStalls {
			return
		}
	}
	f.stalls = 0
	f.Hubs.MarkFailed(hub.Name)
}

// call reads from a daemon. A copy that is older than maxAge is an error.
func (f *Feed) call(ctx context.Context, address netip.AddrPort, query string, maxAge, timeout time.Duration) (*feedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := get(ctx, f.Network, address, feedPath+query, maxFeedSize)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, fmt.Errorf("%w: %w", errLate, err)
	case err != nil:
		return nil, err
	case status == http.StatusGone:
		return nil, topo.ErrCompacted
	case status == http.StatusTooEarly:
		return nil, errStarting
	case status != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", errNoCurrentCopy, status)
	}
	var reply feedReply
	if err := cbor.Unmarshal(body, &reply); err != nil {
		return nil, fmt.Errorf("%w: %w", topo.ErrBadReply, err)
	}
	if reply.Age < 0 || reply.Rev < 0 {
		return nil, fmt.Errorf("%w: age %v, revision %d", topo.ErrBadReply, reply.Age, reply.Rev)
	}
	if reply.Age > maxAge {
		return nil, fmt.Errorf("%w: its age is %v", errOldCopy, reply.Age)
	}
	return &reply, nil
}

// FeedHandler serves a daemon's copy of the store to other daemons. The response carries
// the age of the copy, so that a copy of a copy does not appear newer than it is, and two
// daemons that each take the other for the hub end up reading the store.
type FeedHandler struct {
	Mirror *mirror.Mirror
	Log    *slog.Logger
}

// ServeHTTP implements http.Handler.
func (h *FeedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Mirror.Status().Rev == 0 {
		w.WriteHeader(http.StatusTooEarly)
		return
	}
	query := r.URL.Query()
	allowStale := query.Has(anyAge)
	if !h.Mirror.Status().Up && !allowStale {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var reply feedReply
	var err error
	after, parseErr := strconv.ParseInt(query.Get("after"), 10, 64)
	if parseErr != nil {
		reply.Entries, reply.Rev = h.Mirror.All()
	} else {
		wait, waitErr := strconv.ParseInt(query.Get("wait"), 10, 64)
		if waitErr != nil || wait < 0 || wait > maxFeedWait.Milliseconds() {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply.Entries, reply.Rev, err = h.Mirror.Since(r.Context(), after, time.Duration(wait)*time.Millisecond)
	}
	switch {
	case errors.Is(err, topo.ErrCompacted):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil || !h.Mirror.Status().Up && !allowStale:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply.Age = clock.Now() - h.Mirror.Status().CurrentAt
	h.write(w, reply)
}

func (h *FeedHandler) write(w http.ResponseWriter, reply feedReply) {
	body, err := cbor.Marshal(reply)
	if err != nil {
		h.Log.Error("copy of the store could not be encoded; answering 500", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		h.Log.Debug("copy of the store could not be sent to a daemon", "error", err)
	}
}
