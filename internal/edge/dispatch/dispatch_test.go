package dispatch

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/clock"
	"github.com/jackdawloom/jackdawloom/internal/coordination/budget"
	"github.com/jackdawloom/jackdawloom/internal/edge/peers"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/state/ranges"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/mirror"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// singleTargetDocs decodes any configuration and target record to one service with one
// target.
type singleTargetDocs struct {
	noDocuments
	service route.Service
	record  target.Record
}

func (o singleTargetDocs) DecodeConfig([]byte) (*route.Config, error) {
	return route.New(1, nil, []route.Service{o.service}, route.Limits{}), nil
}

func (o singleTargetDocs) DecodeTarget(string, []byte) (target.Record, error) { return o.record, nil }

var testHeaderNames = &upstream.HeaderNames{RequestID: "Id", TimeLeft: "Left", ExpectTarget: "Expect-Target", NotRun: "Not-Run"}

// newTestDispatcher returns a dispatcher for a keyed service with one target of two
// slots, which owns all keys.
func newTestDispatcher(address string, sheds bool) *Dispatcher {
	return newOwnerDispatcher(address, route.Service{Name: "s", MaxConnections: 100, ShedsLoad: sheds, Keyed: true})
}

// newOwnerDispatcher returns a dispatcher for a keyed service whose only target owns all keys.
func newOwnerDispatcher(address string, service route.Service) *Dispatcher {
	docs := singleTargetDocs{
		service: service,
		record:  target.Record{ID: "t", Service: "s", Address: address, Slots: 2, Epoch: 1},
	}
	log := slog.New(slog.DiscardHandler)
	views := view.NewTracker(docs, log, func() mirror.Status { return mirror.Status{Up: true} })
	table := ranges.Empty()
	table.Assign(0, ranges.MaxKey, target.Incarnation{ID: "t", Epoch: 1})
	value, err := table.Encode()
	if err != nil {
		panic(err) // a table of one span can be encoded
	}
	views.Apply(mirror.Change{Snapshot: true, Entries: []topo.Entry{
		{Key: "config", CreateRev: 1, ModRev: 1}, {Key: "targets/t", CreateRev: 1, ModRev: 1},
		{Key: view.RangesKey("s"), Value: value, CreateRev: 1, ModRev: 1}, {Key: view.DaemonKey("d"), CreateRev: 1, ModRev: 1},
	}})
	return New(Config{
		Names: testHeaderNames, Views: views, Log: log, RetryBudget: budget.Bound{Ratio: 1, Slack: 100, Window: time.Second},
		ObserveSend: func(string, string, time.Duration) {}, ObserveKey: func(string, uint16) {}, ObserveServiceTime: func(peers.TargetHash, time.Duration) {},
	})
}

func (d *Dispatcher) dispatch(r *route.Route) (*upstream.Response, *Refusal) {
	now := clock.Now()
	return d.Do(context.Background(), &Request{
		Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Route: r, Service: "s", Key: 7, HasKey: true,
		Arrived: now, Deadline: now + 2*time.Second,
	})
}

// Guards against refusing part of a burst at a target that does not queue, although
// all requests could complete in time.
func TestQueuesRequestsForTargetThatShedsLoad(t *testing.T) {
	var running, shed atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer running.Add(-1)
		if running.Add(1) > 2 {
			shed.Add(1)
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	d := newTestDispatcher(address, true)
	var refused atomic.Int64
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			if a, r := d.dispatch(&route.Route{MaxAttempts: 1}); r != nil || a.Status != http.StatusOK {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	if refused.Load() > 0 {
		t.Errorf("%d of 12 requests refused; the target shed %d requests", refused.Load(), shed.Load())
	}
}

// Guards against an idempotent request that waits until its deadline on a connection
// whose peer has become silent, and against retrying a request that is not idempotent.
func TestAttemptTimeoutOnSilentConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var accepted atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if accepted.Add(1)%2 == 1 {
					time.Sleep(5 * time.Second) // the first and every second further connection is silent
					return
				}
				buf := make([]byte, 1024)
				if _, err := c.Read(buf); err == nil {
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	d := newTestDispatcher(l.Addr().String(), false)
	start := time.Now()
	resp, refusal := d.dispatch(&route.Route{Idempotent: true, MaxAttempts: 3, AttemptTimeout: 200 * time.Millisecond})
	if took := time.Since(start); refusal != nil || resp.Status != http.StatusOK || took > time.Second {
		t.Errorf("idempotent: response %+v, refusal %+v after %v", resp, refusal, took)
	}
	before := accepted.Load()
	resp, refusal = d.dispatch(&route.Route{MaxAttempts: 1, AttemptTimeout: 200 * time.Millisecond})
	if refusal == nil || !refusal.MayHaveRun || refusal.Sends != 1 || accepted.Load() != before+1 {
		t.Errorf("not idempotent: response %+v, refusal %+v, %d connections", resp, refusal, accepted.Load()-before)
	}
}
