package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawloom/jackdawloom/internal/proptest"

	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
)

// Guards against loads of many targets that exceed a datagram or are changed by encoding.
func TestChunksCarryAllLoads(t *testing.T) {
	proptest.Check(t, 9, 200, func(t *rapid.T) {
		m := message{From: "d1", Domain: "z1", Scope: scopeFleet, Sequence: 7, Loads: make(Loads), Estimates: make(ServiceTimes)}
		for i := range rapid.IntRange(0, 700).Draw(t, "targets") {
			m.Loads[HashTarget(fmt.Sprint("i-", i))] = i
			m.Estimates[HashTarget(fmt.Sprint("i-", i))] = uint16(60000 + i)
		}
		got, times := Loads(nil), make(ServiceTimes)
		for _, part := range m.chunks() {
			b, err := part.encode()
			if err != nil || len(b) > maxDatagram {
				t.Fatalf("%d bytes, %v", len(b), err)
			}
			decoded, err := decode(b)
			if err != nil {
				t.Fatal(err)
			}
			got = decoded.merge(got)
			for k, v := range decoded.Estimates {
				times[k] = v
			}
		}
		if len(got) != len(m.Loads) || len(times) != len(m.Estimates) {
			t.Fatalf("%d loads and %d times arrive of %d", len(got), len(times), len(m.Loads))
		}
	})
}

// Guards against loads that are kept for targets that no longer have any.
func TestMergeDropsRemovedTargets(t *testing.T) {
	old := message{Loads: Loads{1: 3, 2: 4}}.merge(nil)
	if got := (message{Loads: Loads{2: 1}}).merge(old); len(got) != 1 || got[2] != 1 {
		t.Errorf("got %v", got)
	}
}

func fleetOf(n int, capacity func(i int) float64) []Peer {
	var list []Peer
	for i := range n {
		list = append(list, Peer{Name: fmt.Sprint("d", i), Domain: fmt.Sprint("z", i%3), Capacity: capacity(i)})
	}
	return list
}

// Guards against daemons that select different hubs, and against a hub of less than the
// highest capacity in its domain.
func TestHubsAgreeOnTheStrongest(t *testing.T) {
	peers := fleetOf(30, func(i int) float64 { return float64(i % 10) })
	first := NewHubSelector().Select(peers)
	for i := range 30 {
		hubs := NewHubSelector().Select(peers)
		for domain, hub := range hubs {
			if hub.Name != first[domain].Name {
				t.Errorf("d%d picks %s in %s, d0 picks %s", i, hub.Name, domain, first[domain].Name)
			}
			if hub.Capacity != 9 {
				t.Errorf("hub %s of %s has capacity %v", hub.Name, domain, hub.Capacity)
			}
		}
	}
}

// Guards against selecting a hub again right after it failed to respond.
func TestFailedHubIsNotSelected(t *testing.T) {
	peers := fleetOf(9, func(int) float64 { return 1 })
	h := NewHubSelector()
	old := h.Select(peers)["z1"].Name
	h.MarkFailed(old)
	if now := h.Select(peers)["z1"].Name; now == old || now == "" {
		t.Errorf("hub is %q after %q failed", now, old)
	}
}

// Guards against daemons that do not receive the loads of the others, the service times of
// targets or the targets that are leaving, and a coordinator that does not receive the
// requested keys.
func TestFleetReceivesLoadsTimesAndKeys(t *testing.T) {
	const daemons = 4
	var mu sync.Mutex
	fleet := make([]Loads, daemons)
	times := make([]ServiceTimes, daemons)
	leaving := make([][]uint64, daemons)
	leaving[1] = []uint64{70} // at first only a daemon that is not a hub knows
	sampled := 0
	var list []Peer
	exchanges := make([]*StatsExchange, daemons)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	networks := make([]*plainnet.Net, daemons)
	for i := range daemons {
		networks[i] = listen(ctx, t)
		list = append(list, Peer{
			Name: fmt.Sprint("d", i), Domain: fmt.Sprint("z", i%2), Address: networks[i].Addr(), Capacity: float64(i), IsCoordinator: i == 0,
		})
	}
	for i, network := range networks {
		exchanges[i] = NewStatsExchange(StatsExchangeConfig{
			Name: list[i].Name, Domain: list[i].Domain, Network: network, Log: slog.New(slog.DiscardHandler),
			Hubs: NewHubSelector(), Peers: func() []Peer { return list },
			LocalLoads:     func() Loads { return Loads{7: i + 1} },
			OnFleetLoads:   func(l Loads) { mu.Lock(); defer mu.Unlock(); fleet[i] = Loads{7: l[7]} },
			OnServiceTimes: func(x ServiceTimes) { mu.Lock(); defer mu.Unlock(); times[i] = ServiceTimes{7: x[7]} },
			RecentlyLeaving: func() []uint64 {
				mu.Lock()
				defer mu.Unlock()
				return leaving[i]
			},
			OnLeaving: func(hash uint64, _ string) {
				mu.Lock()
				defer mu.Unlock()
				leaving[i] = []uint64{hash}
			},
			OnKeySample: func(s KeySample) {
				mu.Lock()
				defer mu.Unlock()
				if i == 0 {
					sampled += len(s.Keys)
				}
			},
		})
		wg.Go(func() {
			if err := network.Serve(ctx, http.NotFoundHandler(), exchanges[i].Receive); err != nil {
				t.Error(err)
			}
		})
		wg.Go(func() { exchanges[i].Run(ctx) })
		for range 5 {
			exchanges[i].RecordServiceTime(7, 40*time.Millisecond)
		}
		exchanges[i].RecordKey("s", uint16(i))
	}
	complete := func() bool {
		mu.Lock()
		defer mu.Unlock()
		for i := range daemons {
			if fleet[i][7] != 1+2+3+4 || times[i][7] != 40 || !slices.Equal(leaving[i], []uint64{70}) {
				return false
			}
		}
		return sampled == daemons
	}
	for end := time.Now().Add(5 * time.Second); !complete(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			mu.Lock()
			defer mu.Unlock()
			t.Fatalf("after 5 s: loads %v, service times %v, leaving %v, %d keys sampled", fleet, times, leaving, sampled)
		}
	}
}

// listen returns a network that listens at a loopback address.
func listen(ctx context.Context, t *testing.T) *plainnet.Net {
	t.Helper()
	n := plainnet.New("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err := n.Listen(ctx); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against a deadlock: the dispatcher calls RecordServiceTime while it holds its own
// mutex, and a received message calls the dispatcher. If the exchange holds its mutex
// during that call, the daemon stops responding (seen in a soak run with seed 119).
func TestOnFleetLoadsIsCalledWithoutTheMutex(t *testing.T) {
	var exchange *StatsExchange
	exchange = NewStatsExchange(StatsExchangeConfig{OnFleetLoads: func(Loads) { exchange.RecordServiceTime(7, time.Millisecond) }})
	done := make(chan struct{})
	go func() {
		defer close(done)
		exchange.receive(message{From: "hub", Scope: scopeFleet, Loads: Loads{7: 1}})
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("OnFleetLoads is called while the mutex is held")
	}
}

// Guards against removing the announcement of a daemon that has just started or was just
// listed again, because its hub has not heard the daemon yet, and against keeping the
// announcement of a daemon that is gone.
func TestSilentDaemonsAreTimedFromTheFirstListing(t *testing.T) {
	list := []Peer{{Name: "d0", Domain: "z0"}, {Name: "d1", Domain: "z0"}, {Name: "d2", Domain: "z1"}}
	exchange := NewStatsExchange(StatsExchangeConfig{Name: "d0", Domain: "z0", Log: slog.New(slog.DiscardHandler), Peers: func() []Peer { return list }})
	const after = 20 * time.Millisecond
	expect := func(what string, want ...string) {
		t.Helper()
		if got := exchange.SilentDaemons(after); !slices.Equal(got, want) {
			t.Errorf("%s: silent daemons %v, want %v", what, got, want)
		}
	}
	time.Sleep(2 * after)
	expect("before this daemon is the hub")
	exchange.setIsHub(true)
	expect("first listing")
	time.Sleep(2 * after)
	expect("nothing heard since the first listing", "d1")
	exchange.receive(message{From: "d1", Domain: "z0", Scope: scopeDaemon, Sequence: 1})
	expect("just heard")
	all := list
	list = list[:1]
	expect("not listed")
	time.Sleep(2 * after)
	list = all
	expect("listed again")
	time.Sleep(2 * after)
	exchange.setIsHub(false)
	exchange.setIsHub(true)
	expect("hub again")
}
