package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
)

// countingStore is a feed with one entry. It counts the calls of one daemon.
type countingStore struct {
	state *sharedState
	stall *stall
	calls atomic.Int64
	down  atomic.Bool
	// snapshotDelay is how long a snapshot takes.
	snapshotDelay time.Duration
}

type sharedState struct {
	mu  sync.Mutex
	rev int64
}

func (s *sharedState) entry() topo.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return topo.Entry{Key: "k", Value: []byte("v"), CreateRev: 1, ModRev: s.rev}
}

func (s *sharedState) change() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	return s.rev
}

func (c *countingStore) Snapshot(context.Context, string) ([]topo.Entry, topo.Progress, error) {
	c.calls.Add(1)
	time.Sleep(c.snapshotDelay)
	if c.down.Load() {
		return nil, topo.Progress{}, topo.ErrUnavailable
	}
	e := c.state.entry()
	return []topo.Entry{e}, topo.Progress{Rev: e.ModRev}, nil
}

func (c *countingStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]topo.Event, topo.Progress, error) {
	c.calls.Add(1)
	for end := time.Now().Add(wait); ; {
		if c.down.Load() {
			return nil, topo.Progress{}, topo.ErrUnavailable
		}
		if c.stall != nil {
			c.stall.wait()
		}
		if e := c.state.entry(); topo.EraOf(e.ModRev) > topo.EraOf(after) {
			return nil, topo.Progress{}, topo.ErrCompacted
		} else if e.ModRev > after {
			return []topo.Event{{Entry: e}}, topo.Progress{Rev: e.ModRev}, nil
		}
		if time.Now().After(end) {
			return nil, topo.Progress{Rev: after}, nil
		}
		select {
		case <-ctx.Done():
			return nil, topo.Progress{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// feedFleet is a fleet of mirrors that read a store through each other.
type feedFleet struct {
	state   *sharedState
	stores  []*countingStore
	mirrors []*mirror.Mirror
	servers []*httptest.Server
	stalls  []*stall
}

// stall holds up the calls of other daemons to a daemon, and the daemon's calls to the store.
type stall struct {
	mu   sync.Mutex
	end  time.Time
	next time.Duration // delay of the next call of another daemon
}

// begin holds up all calls from now on.
func (s *stall) begin(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end = time.Now().Add(duration)
}

// delayNext holds up the next call of another daemon only.
func (s *stall) delayNext(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = duration
}

func (s *stall) wait() {
	s.mu.Lock()
	left := time.Until(s.end)
	s.mu.Unlock()
	time.Sleep(left)
}

// handler passes calls on to h after the delay that is due.
func (s *stall) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		delay := s.next
		s.next = 0
		s.mu.Unlock()
		time.Sleep(delay)
		s.wait()
		h.ServeHTTP(w, r)
		s.wait()
	})
}

func startFeeds(t *testing.T, daemons, domains int) *feedFleet {
	t.Helper()
	return startFeedsWith(t, daemons, domains, func(*feedFleet) {})
}

// startFeedsWith is startFeeds with a function that is called before the mirrors run.
func startFeedsWith(t *testing.T, daemons, domains int, prepare func(*feedFleet)) *feedFleet {
	t.Helper()
	f := &feedFleet{state: &sharedState{rev: 1}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	log := slog.New(slog.DiscardHandler)
	var list []Peer
	handlers := make([]*FeedHandler, daemons)
	for i := range daemons {
		handlers[i] = &FeedHandler{Log: log}
		f.stalls = append(f.stalls, &stall{})
		server := httptest.NewServer(f.stalls[i].handler(handlers[i]))
		f.servers = append(f.servers, server)
		list = append(list, Peer{
			Name: fmt.Sprint("d", i), Domain: fmt.Sprint("z", i%domains), Capacity: float64(daemons - i),
			Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		})
	}
	for i := range daemons {
		store := &countingStore{state: f.state, stall: f.stalls[i]}
		feed := &Feed{
			Self: list[i].Name, Domain: list[i].Domain, Store: store, Hubs: NewHubSelector(), Peers: func() []Peer { return list },
			Network: plainnet.New("", log), Log: log,
		}
		m := mirror.New(feed, "", log, func(mirror.Change) {})
		handlers[i].Mirror = m
		f.stores, f.mirrors = append(f.stores, store), append(f.mirrors, m)
	}
	prepare(f)
	for _, m := range f.mirrors {
		wg.Go(func() { m.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range f.servers {
			s.CloseClientConnections()
			s.Close()
		}
		wg.Wait()
	})
	return f
}

// await waits until all mirrors are up and have reached a revision.
func (f *feedFleet) await(t *testing.T, rev int64, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		lagging := 0
		for _, m := range f.mirrors {
			if s := m.Status(); s.Rev < rev || !s.Up {
				lagging++
			}
		}
		if lagging == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d daemons are behind revision %d after %v", lagging, rev, limit)
		}
	}
}

// inForce is the time within which a change must be in force on every daemon.
const inForce = 2 * time.Second

// Guards against store calls that grow with the number of domains or daemons, and against
// changes that are not passed on through two levels of hubs.
func TestOneDaemonReadsTheStore(t *testing.T) {
	f := startFeeds(t, 9, 3)
	f.await(t, 1, 5*time.Second)
	time.Sleep(time.Second) // by now, daemons that started before their hub read through the hub
	before := make([]int64, len(f.stores))
	for i, s := range f.stores {
		before[i] = s.calls.Load()
	}
	for range 3 {
		f.await(t, f.state.change(), inForce)
	}
	time.Sleep(time.Second)
	for i, s := range f.stores {
		if n := s.calls.Load() - before[i]; i > 0 && n > 0 {
			t.Errorf("daemon %d called the store %d times, want calls by the primary hub only", i, n)
		}
	}
}

// Guards against daemons that stay behind because the store does not serve the primary hub.
func TestChangesArriveWhileThePrimaryHubIsNotServed(t *testing.T) {
	f := startFeeds(t, 9, 3)
	f.await(t, 1, 5*time.Second)
	f.stores[0].down.Store(true)
	f.await(t, f.state.change(), inForce)
	f.await(t, f.state.change(), inForce)
}

// restore brings the store back from a copy with a lower revision.
func (s *sharedState) restore() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev = topo.Position(topo.EraOf(s.rev)+1, topo.RevOf(s.rev)-2)
	return s.rev
}

// Guards against daemons behind hubs that do not follow a store that came back from a copy, and
// against an earlier copy of a hub that replaces the one of a higher era.
func TestRestoredStoreIsFollowedThroughHubs(t *testing.T) {
	f := startFeeds(t, 9, 3)
	for range 3 {
		f.await(t, f.state.change(), 5*time.Second)
	}
	f.await(t, f.state.restore(), inForce)
	f.await(t, f.state.change(), inForce)
	f.stalls[0].begin(700 * time.Millisecond) // the primary hub keeps the copy of the earlier era
	rev := f.state.restore()
	f.await(t, rev, inForce+time.Second)
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		for i, m := range f.mirrors {
			if got := m.Status().Rev; got < rev {
				t.Errorf("daemon %d went back to position %d from %d", i, got, rev)
			}
		}
	}
}

// Guards against a daemon that starts while the store is down and refuses all callers until
// the store returns, although other daemons have a copy.
func TestStartsWithTheCopyOfASeed(t *testing.T) {
	f := startFeeds(t, 3, 1)
	f.await(t, 1, 5*time.Second)
	for _, s := range f.stores {
		s.down.Store(true)
	}
	time.Sleep(time.Second) // no daemon reaches the store any more, and the copies age
	alone := &countingStore{state: f.state}
	alone.down.Store(true)
	log := slog.New(slog.DiscardHandler)
	feed := &Feed{
		Self: "new", Domain: "z0", Store: alone, Hubs: NewHubSelector(), Peers: func() []Peer { return nil },
		Network: plainnet.New("", log), Log: log,
	}
	if _, _, err := feed.Snapshot(context.Background(), ""); err == nil {
		t.Error("got a copy without the store and without seeds")
	}
	feed.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(strings.TrimPrefix(f.servers[1].URL, "http://"))}
	entries, progress, err := feed.Snapshot(context.Background(), "")
	if err != nil || len(entries) != 1 || progress.Rev != 1 {
		t.Fatalf("%d entries at revision %d, %v", len(entries), progress.Rev, err)
	}
	if progress.Age < 500*time.Millisecond {
		t.Errorf("copy has age %v although no daemon reached the store for 1 s", progress.Age)
	}
}

// Guards against daemons that take the copies of their hubs for too old although the store
// works: they then read the store themselves for seconds, and each call is charged for. Half of
// the calls to the store on a day of the large fleet came from that.
func TestCopiesOfHubsStayYoungEnough(t *testing.T) {
	f := startFeeds(t, 9, 3)
	f.await(t, 1, 5*time.Second)
	time.Sleep(time.Second) // by now, daemons that started before their hub read through the hub
	stop := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
				f.state.change()
			}
		}
	})
	oldest := time.Duration(0)
	before := make([]int64, len(f.stores))
	for i, s := range f.stores {
		before[i] = s.calls.Load()
	}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, m := range f.mirrors {
			oldest = max(oldest, clock.Now()-m.Status().CurrentAt)
		}
	}
	close(stop)
	changes.Wait()
	for i, s := range f.stores {
		if n := s.calls.Load() - before[i]; i > 0 && n > 0 {
			t.Errorf("daemon %d called the store %d times, want calls by the primary hub only", i, n)
		}
	}
	if oldest > inForce {
		t.Errorf("a copy was %v old, want at most %v", oldest, inForce)
	}
}

// storeCalls returns the number of calls of each daemon to the store.
func (f *feedFleet) storeCalls() []int64 {
	calls := make([]int64, len(f.stores))
	for i, s := range f.stores {
		calls[i] = s.calls.Load()
	}
	return calls
}

// checkPrimaryOnly checks that only the primary hub has called the store since before.
func (f *feedFleet) checkPrimaryOnly(t *testing.T, before []int64) {
	t.Helper()
	for i, n := range f.storeCalls() {
		if n -= before[i]; i > 0 && n > 0 {
			t.Errorf("daemon %d called the store %d times, want calls by the primary hub only", i, n)
		}
	}
}

// Guards against daemons that start before their hub has a copy, take it for failed and read
// the store for seconds.
func TestDaemonsThatStartBeforeTheirHubReadThroughIt(t *testing.T) {
	f := startFeedsWith(t, 9, 3, func(f *feedFleet) { f.stores[0].snapshotDelay = 200 * time.Millisecond })
	f.await(t, 1, 5*time.Second)
	time.Sleep(700 * time.Millisecond) // until calls to the store that have begun have ended
	before := f.storeCalls()
	time.Sleep(time.Second)
	f.checkPrimaryOnly(t, before)
}

// Guards against daemons that leave their hub because of one late response, and then read the
// store for seconds.
func TestLateResponseOfHubKeepsDaemonsOffTheStore(t *testing.T) {
	f := startFeeds(t, 9, 3)
	f.await(t, 1, 5*time.Second)
	time.Sleep(time.Second) // by now, daemons that started before their hub read through the hub
	before := f.storeCalls()
	for hub := range 3 {
		f.stalls[hub].delayNext(700 * time.Millisecond)
		time.Sleep(time.Second)
		f.await(t, f.state.change(), inForce)
	}
	time.Sleep(time.Second)
	f.checkPrimaryOnly(t, before)
}

// Guards against a short stall of the primary hub after which other daemons read the store for
// seconds, and against changes that come late because of it.
func TestStallOfPrimaryHubKeepsDaemonsOffTheStore(t *testing.T) {
	f := startFeeds(t, 9, 3)
	f.await(t, 1, 5*time.Second)
	time.Sleep(time.Second) // by now, daemons that started before their hub read through the hub
	for range 2 {
		before := f.storeCalls()
		f.stalls[0].begin(700 * time.Millisecond)
		f.await(t, f.state.change(), inForce)
		time.Sleep(2 * time.Second)
		for i, n := range f.storeCalls() {
			if n -= before[i]; i > 0 && n > 1 {
				t.Errorf("daemon %d called the store %d times for one stall, want at most one", i, n)
			}
		}
	}
}

// Guards against changes that reach daemons late because they ask a hub that is silent for long
// again and again.
func TestChangesArriveWhileAHubIsSilent(t *testing.T) {
	for hub := range 2 {
		t.Run(fmt.Sprint("hub ", hub), func(t *testing.T) {
			t.Parallel()
			f := startFeeds(t, 9, 3)
			f.await(t, 1, 5*time.Second)
			time.Sleep(time.Second) // by now, daemons that started before their hub read through the hub
			f.stalls[hub].begin(5 * time.Second)
			others := &feedFleet{mirrors: slices.Delete(slices.Clone(f.mirrors), hub, hub+1)}
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				others.await(t, f.state.change(), inForce)
			}
		})
	}
}
