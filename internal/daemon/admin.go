package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/jackdawloom/jackdawloom/internal/coordination/coordinator"
	"github.com/jackdawloom/jackdawloom/internal/protocol/adminapi"
	"github.com/jackdawloom/jackdawloom/internal/state/finding"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/table"
	"github.com/jackdawloom/jackdawloom/internal/topo"
)

// adminTimeout bounds the store calls of one administrative request.
const adminTimeout = 3 * time.Second

func (d *Daemon) serveAdmin() error {
	listener, err := net.Listen("tcp", d.set.Listen.Admin.String()) //nolint:noctx // bound once at the start
	if err != nil {
		return fmt.Errorf("listen for administration: %w", err)
	}
	d.adminAddr = listener.Addr()
	d.adminServer = &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go d.serveOn(d.adminServer, listener)
	return nil
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+adminapi.PathHealth, d.serveHealth)
	mux.Handle("GET "+adminapi.PathMetrics, d.metrics.handler())
	mux.Handle("GET "+adminapi.PathState, d.kit(d.stateEndpoint, decodeNothing))
	mux.Handle("GET "+adminapi.PathTable, d.kit(d.tableEndpoint, decodeNothing))
	mux.Handle("GET "+adminapi.PathConfig, d.kit(d.configEndpoint, decodeNothing))
	mux.Handle("PUT "+adminapi.PathConfig, d.kit(d.applyEndpoint, decodeApply))
	mux.Handle("GET "+adminapi.PathOwner, d.kit(d.ownerEndpoint, decodeOwner))
	mux.Handle("POST "+adminapi.PathMoves, d.kit(d.moveEndpoint, decodeMove))
	mux.Handle("GET "+adminapi.PathServiceLevels, d.kit(d.serviceLevelsEndpoint, decodeNothing))
	mux.Handle("GET "+adminapi.PathBurn, d.kit(d.burnEndpoint, decodeNothing))
	return mux
}

// kit makes an HTTP handler of an endpoint.
func (d *Daemon) kit(e endpoint.Endpoint, decode kithttp.DecodeRequestFunc) http.Handler {
	return kithttp.NewServer(withTimeout(e), decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

func withTimeout(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		ctx, cancel := context.WithTimeout(ctx, adminTimeout)
		defer cancel()
		return next(ctx, request)
	}
}

// serveHealth tells the platform's balancer whether to send callers here. A
// daemon without documents would refuse everything.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s := d.docs.get()
	switch {
	case d.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case s.config == nil || s.table == nil:
		http.Error(w, "no configuration or table yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

func decodeNothing(context.Context, *http.Request) (any, error) { return nil, nil }

func (d *Daemon) stateEndpoint(context.Context, any) (any, error) {
	now := time.Now()
	snap := d.docs.get()
	address, term := d.coordinatorHint()
	caller, peers, admin := d.Addresses()
	d.fronts.mu.Lock()
	applied := d.fronts.applied.revisions()
	d.fronts.mu.Unlock()
	state := adminapi.State{
		Daemon: d.set.Daemon.ID, Domain: d.set.Daemon.Domain, Run: string(d.run),
		Started: d.started, Callers: caller, Peers: peers, Admin: admin,
		Held:     adminapi.Revisions(snap.revisions()),
		InForce:  adminapi.Revisions(applied),
		Stopping: d.stopping.Load(), InFlight: d.inFlight.Load(),
		Coordinator: address, Term: term, IsCoordinator: d.office.active(),
	}
	for _, m := range d.memberships() {
		state.Memberships = append(state.Memberships, m.state(now))
	}
	for _, f := range d.fronts.list() {
		state.Fronts = append(state.Fronts, f.state(now))
	}
	return state, nil
}

func (m *membership) state(now time.Time) adminapi.Membership {
	left := m.authorityUntil().Sub(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := adminapi.Membership{ID: string(m.id), Leaving: m.leaving, AuthorityMs: max(left.Milliseconds(), 0)}
	for _, v := range m.voters {
		out.Voters = append(out.Voters, string(v))
	}
	return out
}

func (f *targetFront) state(now time.Time) adminapi.Front {
	pool := f.pool.Stats()
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.machine.Report(now)
	stats := f.controller.Stats()
	return adminapi.Front{
		Service: f.key.service, Target: f.key.target, Epoch: report.Epoch, Health: int(report.Health),
		Running: stats.Running, Queued: stats.Queued, Limit: stats.Limit, Slots: stats.Slots,
		Connections: pool.Open, Dialed: pool.Dialed,
	}
}

func (d *Daemon) tableEndpoint(context.Context, any) (any, error) {
	t := d.docs.get().table
	if t == nil {
		return nil, errNoTable
	}
	return adminapi.TableOf(t), nil
}

var (
	errNoTable  = errors.New("no assignment table yet")
	errNoConfig = errors.New("no configuration yet")
)

func (d *Daemon) configEndpoint(ctx context.Context, _ any) (any, error) {
	entry, err := d.store.Get(ctx, topo.KeyConfig)
	if err != nil {
		return d.heldConfig(err)
	}
	if !entry.Exists() {
		return manifest.Accepted{}, nil
	}
	return manifest.DecodeAccepted(entry.Value)
}

// heldConfig returns the configuration in force when the store is unavailable.
func (d *Daemon) heldConfig(cause error) (any, error) {
	if c := d.docs.get().config; c != nil {
		return *c, nil
	}
	return nil, fmt.Errorf("%w: %w", errNoConfig, cause)
}

func decodeApply(_ context.Context, r *http.Request) (any, error) {
	var a adminapi.Apply
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, 2*manifest.MaxBytes)).Decode(&a); err != nil {
		return nil, &badRequestError{err}
	}
	return a, nil
}

func (d *Daemon) applyEndpoint(ctx context.Context, request any) (any, error) {
	a := request.(adminapi.Apply)
	m, err := manifest.Parse("manifest", a.Manifest)
	if err != nil {
		return nil, err
	}
	return d.applyConfig(ctx, a.BasedOn, *m, a.Operation, a.Author)
}

func decodeOwner(_ context.Context, r *http.Request) (any, error) {
	q := r.URL.Query()
	request := adminapi.OwnerRequest{Service: q.Get("service"), Key: q.Get("key")}
	if text := q.Get("shard"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return nil, &badRequestError{fmt.Errorf("shard: %w", err)}
		}
		shard := uint32(n)
		request.Shard = &shard
	}
	if request.Service == "" || (request.Key == "" && request.Shard == nil) {
		return nil, &badRequestError{errors.New("service, and key or shard, are required")}
	}
	return request, nil
}

func (d *Daemon) ownerEndpoint(_ context.Context, request any) (any, error) {
	q := request.(adminapi.OwnerRequest)
	t := d.docs.get().table
	if t == nil {
		return nil, errNoTable
	}
	svc := t.Service(q.Service)
	if svc == nil {
		return nil, manifest.ErrUnknownService
	}
	if q.Shard == nil {
		return adminapi.OwnerOf(t, svc, svc.Place(table.KeyHash(q.Key))), nil
	}
	if int(*q.Shard) >= len(svc.Owners) {
		return nil, &badRequestError{fmt.Errorf("shard %d of %d; they count from 0", *q.Shard, len(svc.Owners))}
	}
	return adminapi.OwnerOf(t, svc, svc.PlaceShard(*q.Shard)), nil
}

func (d *Daemon) serviceLevelsEndpoint(context.Context, any) (any, error) {
	out := adminapi.ServiceLevels{Daemon: d.set.Daemon.ID, Started: d.started, At: time.Now()}
	for key, c := range d.metrics.classTotals() {
		out.Classes = append(out.Classes, adminapi.ClassLevel{
			Service: key.service, Class: key.class, Total: c.total, Good: c.good,
			LatencyMs: c.objective.LatencyMs, Ratio: c.objective.Ratio,
		})
	}
	return out, nil
}

// badRequestError marks a request that cannot be understood.
type badRequestError struct{ cause error }

// Error describes the cause.
func (e *badRequestError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *badRequestError) Unwrap() error { return e.cause }

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	body := adminapi.Error{Message: err.Error()}
	var found *finding.Error
	if errors.As(err, &found) {
		body.Findings = found.Findings
	}
	var conflict *manifest.ConflictError
	if errors.As(err, &conflict) {
		body.CurrentRevision = conflict.Current
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(statusOf(err))
	_ = json.NewEncoder(w).Encode(body)
}

func statusOf(err error) int {
	var found *finding.Error
	var bad *badRequestError
	switch {
	case errors.As(err, &bad):
		return http.StatusBadRequest
	case errors.As(err, &found), errors.Is(err, manifest.ErrOperation):
		return http.StatusUnprocessableEntity
	case errors.Is(err, coordinator.ErrMoveInvalid):
		return http.StatusUnprocessableEntity
	case errors.Is(err, errMoveUnavailable), errors.Is(err, coordinator.ErrTooManyMoves):
		return http.StatusServiceUnavailable
	case errors.Is(err, manifest.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, manifest.ErrUnknownService), errors.Is(err, errNoTable), errors.Is(err, errNoConfig):
		return http.StatusNotFound
	case errors.Is(err, topo.ErrUnknownResult):
		return http.StatusGatewayTimeout
	case errors.Is(err, topo.ErrUnavailable), errors.Is(err, topo.ErrBadReply):
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}
