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

// Guards against an operator who is told that a change was not stored although that
// is unknown, or who cannot tell a conflict from an outage: the status decides what
// jackdawctl does next.
func TestStatusTellsWhatBecameOfAChange(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
	}{
		{badRequest.New("x"), http.StatusBadRequest},
		{noConfig(), http.StatusNotFound},
		{noTable(), http.StatusNotFound},
		{fmt.Errorf("%w: %w", notStored.New("x"), topo.ErrUnavailable), http.StatusBadGateway},
		{fmt.Errorf("x: %w", topo.ErrUnknownResult), http.StatusGatewayTimeout},
		{&manifest.ConflictError{}, http.StatusConflict},
		{fmt.Errorf("x: %w", coordinator.ErrNotMovable), http.StatusUnprocessableEntity},
		{fmt.Errorf("x: %w", coordinator.ErrNotCoordinator), http.StatusServiceUnavailable},
		{errors.New("x"), http.StatusInternalServerError},
	} {
		if got := statusOf(c.err); got != c.status {
			t.Errorf("%v: status %d, want %d", c.err, got, c.status)
		}
	}
}

// Guards against a change that is reported as stored, or certainly not stored,
// while the store is down or loses its answers.
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
			if err == nil || statusOf(err) != c.status {
				t.Errorf("revision %d, %v; want status %d", got.Revision, err, c.status)
			}
		})
	}
}
