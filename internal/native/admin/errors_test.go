package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/jackdawloom/jackdawloom/internal/edge/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/topo/memstore"
)

// Guards against reporting a change as not stored although its result is unknown, and
// against reporting a conflict like an outage: jackdawctl decides by the status what to do
// next.
func TestHTTPStatusOfErrors(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
	}{
		{errBadRequest.New("x"), http.StatusBadRequest},
		{errNoConfig(), http.StatusNotFound},
		{errNoTable(), http.StatusNotFound},
		{fmt.Errorf("%w: %w", errNotStored.New("x"), topo.ErrUnavailable), http.StatusBadGateway},
		{fmt.Errorf("x: %w", topo.ErrUnknownResult), http.StatusGatewayTimeout},
		{&manifest.ConflictError{}, http.StatusConflict},
		{fmt.Errorf("x: %w", coordinator.ErrNotMovable), http.StatusUnprocessableEntity},
		{fmt.Errorf("x: %w", coordinator.ErrNotCoordinator), http.StatusServiceUnavailable},
		{errors.New("x"), http.StatusInternalServerError},
	} {
		if got := httpStatus(c.err); got != c.status {
			t.Errorf("%v: status %d, want %d", c.err, got, c.status)
		}
	}
}

// Guards against reporting a change as stored when it was not, or as not stored when that
// is unknown, while the store is down or loses its responses.
func TestApplyDuringStoreFaults(t *testing.T) {
	m := manifest.Manifest{Schema: manifest.Schema, Name: "m", Services: []manifest.Service{{
		Name: "s", PathPrefix: "/s", Shards: 4, Key: manifest.KeySource{From: manifest.KeyFromPath},
		Classes: []manifest.Class{{
			Name: "read", Repeat: manifest.RepeatIdempotent, DeadlineMs: 100, Objective: manifest.Objective{LatencyMs: 10, Ratio: 0.9},
		}},
		Targets: []manifest.Target{{Name: "t", Address: "127.0.0.1:1", Domain: "a", Slots: 1, Connections: 4, ChecksGrants: true}},
	}}}
	for _, c := range []struct {
		name   string
		faults memstore.Faults
		status int // 0 for stored
	}{
		{"down", memstore.Faults{Down: memstore.DownRefuse}, http.StatusBadGateway},
		{"answer lost", memstore.Faults{LoseWriteAnswers: memstore.AllCalls}, 0},
		{"write lost", memstore.Faults{DropWrites: memstore.AllCalls}, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			shared := memstore.NewSharedState(memstore.HistoryLimits{})
			defer shared.Close()
			if err := shared.SetFaults(c.faults); err != nil {
				t.Fatal(err)
			}
			got, err := apply(context.Background(), memstore.New(shared), 0, m, "op", "me")
			if c.status == 0 {
				if err != nil || got.Revision != 1 {
					t.Errorf("revision %d, %v", got.Revision, err)
				}
				return
			}
			if err == nil || httpStatus(err) != c.status {
				t.Errorf("revision %d, %v; want status %d", got.Revision, err, c.status)
			}
		})
	}
}
