package peers

import (
	"errors"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
)

// Guards against a daemon that goes on with an older range table although the coordinator has a
// newer one, and against reads that cost more than they can bring.
func TestTableIsReadFromTheCoordinator(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	var reads atomic.Int64
	server := httptest.NewServer(NewHandler(&FeedHandler{Log: log}, &RelayHandler{Log: log}, &HandoverHandler{Log: log}, &TableHandler{
		Table: func(service string, after int64) ([]byte, int64, error) {
			reads.Add(1)
			if service != "s" || after >= 7 {
				return nil, 0, nil
			}
			return []byte("table"), 7, nil
		}, Log: log,
	}))
	defer server.Close()
	coordinator := Peer{Name: "c", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), IsCoordinator: true}
	applied := make(chan tableReply, 10)
	newReader := func(peers ...Peer) *TableReader {
		return &TableReader{
			Network: plainnet.New("", log), Peers: func() []Peer { return peers }, Log: log,
			Apply: func(_ string, table []byte, rev int64) { applied <- tableReply{table, rev} },
		}
	}
	r := newReader(Peer{Name: "d"}, coordinator)
	for range 10 {
		r.Read("s", 6)
	}
	select {
	case got := <-applied:
		if got.Rev != 7 || string(got.Value) != "table" {
			t.Errorf("got %+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the newer table was not applied")
	}
	if n := reads.Load(); n != 1 {
		t.Errorf("%d reads for ten requests at once, want 1", n)
	}
	newReader(coordinator).Read("s", 7)
	newReader(Peer{Name: "d"}).Read("s", 6)
	time.Sleep(200 * time.Millisecond)
	if len(applied) > 0 || reads.Load() != 2 {
		t.Errorf("%d tables applied after %d reads, want none of a revision that is known or without a coordinator", len(applied), reads.Load())
	}
}

// Guards against a reply that replaces the table by an older or an empty one, or by one that no
// store accepts.
func TestTableReplyOutOfRange(t *testing.T) {
	for name, reply := range map[string]tableReply{
		"older": {[]byte("x"), 5}, "known": {[]byte("x"), 6}, "empty": {nil, 7}, "too large": {make([]byte, topo.MaxValueBytes+1), 7},
	} {
		b, err := cbor.Marshal(reply)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeTableReply(b, 6); !errors.Is(err, errOutOfRange) {
			t.Errorf("%s: %v, want errOutOfRange", name, err)
		}
	}
	if _, err := decodeTableReply([]byte("garbage"), 6); err == nil {
		t.Error("garbage was decoded")
	}
}

// Guards against reads by many daemons that load the coordinator more the more daemons there are.
func TestTableReadsOfManyDaemonsAreSpread(t *testing.T) {
	var r TableReader
	const daemons = 1100
	r.Peers = func() []Peer { return make([]Peer, daemons) }
	r.Read("s", 0)
	first := r.lastRead["s"]
	r.lastRead["s"] -= minTableInterval
	if r.Read("s", 0); r.lastRead["s"] >= first {
		t.Errorf("a daemon of %d reads again after %v", daemons, minTableInterval)
	}
	r.lastRead["s"] -= daemons * tableIntervalPerDaemon
	if r.Read("s", 0); r.lastRead["s"] < first {
		t.Errorf("a daemon of %d does not read again after %v", daemons, daemons*tableIntervalPerDaemon)
	}
}
