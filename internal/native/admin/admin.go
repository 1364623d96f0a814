// Package admin implements the HTTP interface for operators: the state of a daemon, the
// assignment of keys, service-level reports, and changes of the configuration.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/jackdawloom/jackdawloom/internal/burn"
	"github.com/jackdawloom/jackdawloom/internal/edge"
	"github.com/jackdawloom/jackdawloom/internal/edge/view"
	"github.com/jackdawloom/jackdawloom/internal/native"
	"github.com/jackdawloom/jackdawloom/internal/native/levels"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// callTimeout is the time limit of one administrative request, including its calls to the
// store and to other daemons.
const callTimeout = 3 * time.Second

// Daemon is the part of a daemon that the interface uses.
type Daemon interface {
	Ready() bool
	Status() edge.Status
	View() *view.View
	Members() []edge.Member
	CoordinatorTerm() (int64, bool)
	Move(ctx context.Context, service string, from, to uint16, targetID string) error
	ExplainRoute(w http.ResponseWriter, r *http.Request)
	ShowEvacuations(w http.ResponseWriter, r *http.Request)
}

// Config holds the dependencies of the interface.
type Config struct {
	Daemon   Daemon
	Store    topo.Store
	Recorder *levels.Recorder
	Metrics  http.Handler
	// Callers, Peers and Admin are the addresses of the daemon's listeners.
	Callers, Peers, Admin string
}

// server implements the endpoints.
type server struct {
	Config
	client *http.Client
}

// New returns the handler of the interface.
func New(c Config) http.Handler {
	s := &server{Config: c, client: &http.Client{Timeout: callTimeout}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathHealth, s.health)
	mux.Handle("GET "+adminapi.PathMetrics, c.Metrics)
	mux.Handle("GET "+adminapi.PathState, newEndpointHandler(s.state, decodeEmpty))
	mux.Handle("GET "+adminapi.PathTable, newEndpointHandler(s.table, decodeEmpty))
	mux.Handle("GET "+adminapi.PathConfig, newEndpointHandler(s.config, decodeEmpty))
	mux.Handle("PUT "+adminapi.PathConfig, newEndpointHandler(s.apply, decodeApply))
	mux.Handle("GET "+adminapi.PathOwner, newEndpointHandler(s.owner, decodeOwner))
	mux.HandleFunc("GET "+adminapi.PathRoute, c.Daemon.ExplainRoute)
	mux.HandleFunc("GET "+adminapi.PathEvacuations, c.Daemon.ShowEvacuations)
	mux.Handle("POST "+adminapi.PathMoves, newEndpointHandler(s.move, decodeMove))
	mux.Handle("GET "+adminapi.PathServiceLevels, newEndpointHandler(s.serviceLevels, decodeEmpty))
	mux.Handle("GET "+adminapi.PathBurn, newEndpointHandler(s.burn, decodeEmpty))
	return mux
}

// newEndpointHandler returns an HTTP handler that decodes the request, calls the endpoint
// within callTimeout and encodes the response or error.
func newEndpointHandler(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(withTimeout(e), decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

func withTimeout(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return next(ctx, request)
	}
}

// health tells a load balancer whether to send requests to this daemon. A daemon without a
// configuration would refuse all requests.
func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.Daemon.Ready() {
		http.Error(w, "not ready, or stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func decodeEmpty(context.Context, *http.Request) (any, error) { return nil, nil }

func (s *server) state(context.Context, any) (any, error) {
	status := s.Daemon.Status()
	_, coordinates := s.Daemon.CoordinatorTerm()
	out := adminapi.State{
		Daemon: status.Name, Domain: status.Domain, RunID: status.RunID, Started: s.Recorder.Started(), CallerAddress: s.Callers, PeerAddress: s.Peers, AdminAddress: s.Admin,
		Stopping: status.Stopping, InFlight: status.InFlight, Coordinator: status.Coordinator, IsCoordinator: coordinates,
		StoreUp: status.StoreUp, CopyAgeMs: status.CopyAge.Milliseconds(), Targets: []adminapi.TargetLoad{},
	}
	if c := s.Daemon.View().Config; c != nil {
		out.ConfigRevision = c.Version
	}
	for _, t := range status.Targets {
		out.Targets = append(out.Targets, adminapi.TargetLoad{
			Service: t.Service, Target: targetName(t.ID), Running: t.Running, RunningElsewhere: t.RunningElsewhere, Slots: t.Slots,
			Connections: t.Connections, Suspect: t.Suspect, ServiceTimeMs: float64(t.ServiceTime) / float64(time.Millisecond),
		})
	}
	return out, nil
}

func errNoConfig() error { return errNotAvailable.New("no configuration yet") }

func (s *server) config(ctx context.Context, _ any) (any, error) {
	entry, err := s.Store.Get(ctx, topo.KeyConfig)
	if err != nil {
		// While the store is unavailable, return the configuration in force.
		if held, known := native.ManifestOf(s.Daemon.View().Config); known {
			return held, nil
		}
		return nil, errNotAvailable.Wrap(err, "no configuration yet")
	}
	if !entry.Exists() {
		return manifest.Accepted{}, nil
	}
	return manifest.DecodeAccepted(entry.Value)
}

func decodeApply(_ context.Context, r *http.Request) (any, error) {
	var a adminapi.Apply
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, 2*manifest.MaxBytes)).Decode(&a); err != nil {
		return nil, errBadRequest.Wrap(err, "request not readable")
	}
	return a, nil
}

func (s *server) apply(ctx context.Context, request any) (any, error) {
	a := request.(adminapi.Apply)
	m, err := manifest.Parse("manifest", a.Manifest)
	if err != nil {
		return nil, err
	}
	accepted, err := apply(ctx, s.Store, a.BasedOn, *m, a.Operation, a.Author)
	if err == nil {
		s.awaitInForce(ctx, accepted.Revision)
	}
	return accepted, err
}

func decodeOwner(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	request := adminapi.OwnerRequest{Service: q.Get("service"), Key: q.Get("key")}
	if text := q.Get("shard"); text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return nil, errBadRequest.Wrap(err, "shard is not a number")
		}
		shard := int(n)
		request.Shard = &shard
	}
	if request.Service == "" || (request.Key == "" && request.Shard == nil) {
		return nil, errBadRequest.New("service, and key or shard, are required")
	}
	return request, nil
}

func (s *server) owner(_ context.Context, request any) (any, error) {
	q := request.(adminapi.OwnerRequest)
	v := s.Daemon.View()
	declared, err := declaredService(v, q.Service)
	if err != nil {
		return nil, err
	}
	if q.Shard == nil {
		return ownerAt(v, declared, declared.Point(q.Key))
	}
	if *q.Shard >= declared.Shards {
		return nil, errNoShard(*q.Shard, declared)
	}
	from, _ := declared.ShardSpan(*q.Shard)
	return ownerAt(v, declared, from)
}

func errNoShard(shard int, s *manifest.Service) error {
	return errBadRequest.New("shard %d of %d; they count from 0", shard, s.Shards)
}

func decodeMove(_ context.Context, r *http.Request) (any, error) {
	var m adminapi.Move
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMoveBytes)).Decode(&m); err != nil {
		return nil, errBadRequest.Wrap(err, "request not readable")
	}
	return m, nil
}

// maxMoveBytes limits the size of a move request.
const maxMoveBytes = 4 << 10

func (s *server) serviceLevels(context.Context, any) (any, error) {
	out := adminapi.ServiceLevels{Daemon: s.Daemon.Status().Name, Started: s.Recorder.Started(), At: time.Now(), Classes: []adminapi.ClassLevel{}}
	accepted, known := native.ManifestOf(s.Daemon.View().Config)
	if !known {
		return nil, errNoConfig()
	}
	totals := s.Recorder.Totals()
	for _, service := range accepted.Manifest.Services {
		for _, c := range service.Classes {
			n := totals[burn.ClassID{Service: service.Name, Class: c.Name}]
			out.Classes = append(out.Classes, adminapi.ClassLevel{
				Service: service.Name, Class: c.Name, Total: n.Total, Good: n.Good,
				LatencyMs: c.Objective.LatencyMs, Ratio: c.Objective.Ratio,
			})
		}
	}
	return out, nil
}

func (s *server) burn(context.Context, any) (any, error) {
	accepted, known := native.ManifestOf(s.Daemon.View().Config)
	if !known {
		return nil, errNoConfig()
	}
	from := burn.Source{Daemon: s.Daemon.Status().RunID, Revision: accepted.Revision}
	return s.Recorder.Snapshot(from, &accepted.Manifest), nil
}
