package etcdgw_test

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/jackdawloom/jackdawloom/internal/standin/storesrv"
	"github.com/jackdawloom/jackdawloom/internal/topo/etcdgw"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
	"github.com/jackdawloom/jackdawloom/internal/topo/topotest"
)

// Guards against goroutines of watches and connections that outlive their contexts.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestContract(t *testing.T) {
	topotest.Run(t, func(t *testing.T) topotest.Backend {
		srv, client := startStore(t)
		return topotest.Backend{
			Store:     client,
			Shared:    srv.Shared(),
			SetFaults: srv.SetFaults,
		}
	})
}

// startStore runs a stand-in of the store on a free port and returns a client of it.
func startStore(t *testing.T) (*storesrv.Listener, *etcdgw.Client) {
	t.Helper()
	shared := memstore.NewSharedState(memstore.HistoryLimits{})
	t.Cleanup(shared.Close)
	srv, err := storesrv.Listen(shared, storesrv.Addresses{Store: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	client, err := etcdgw.New("http://"+srv.Addr(), etcdgw.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return srv, client
}
