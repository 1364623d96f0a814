package peers

import (
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/plainnet"
)

// Guards against a daemon that goes on with an older range table although the coordinator has a
// newer one, and against reads that cost more than they can bring.
func TestTableIsReadFromTheCoordinator(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	var reads atomic.Int64
	server := httptest.NewServer(NewHandler(&FeedHandler{Log: log}, &RelayHandler{Log: log}, &HandoverHandler{Log: log}, &TableHandler{
		Table: func(service string) (topo.Entry, error) {
			reads.Add(1)
			return topo.Entry{Key: "ranges/" + service, Value: []byte("table"), ModRev: 7}, nil
		}, Log: log,
	}))
	defer server.Close()
	coordinator := Peer{Name: "c", Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), IsCoordinator: true}
	applied := make(chan topo.Entry, 10)
	newReader := func(peers ...Peer) *TableReader {
		return &TableReader{
			Network: plainnet.New("", log), Peers: func() []Peer { return peers }, Apply: func(e topo.Entry) { applied <- e }, Log: log,
		}
	}
	r := newReader(Peer{Name: "d"}, coordinator)
	for range 10 {
		r.Read("s", 6)
	}
	select {
	case e := <-applied:
		if e.ModRev != 7 || e.Key != "ranges/s" || string(e.Value) != "table" {
			t.Errorf("got entry %+v", e)
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
