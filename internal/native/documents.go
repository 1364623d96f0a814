// Package native implements the router's own formats for the daemons of package edge: the
// manifest in the store, the registrations of its targets, and the calls and headers of
// targets that use the router's own protocol.
package native

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
	"github.com/jackdawloom/jackdawloom/internal/state/route"
	"github.com/jackdawloom/jackdawloom/internal/state/target"
	"github.com/jackdawloom/jackdawloom/internal/topo"
	"github.com/jackdawloom/jackdawloom/internal/transport/upstream"
)

// HeaderNames are the headers of the router's own protocol between callers, daemons and
// targets.
var HeaderNames = upstream.HeaderNames{
	RequestID:    header.RequestID,
	AssignID:     true,
	TimeLeft:     header.DeadlineMs,
	ExpectTarget: header.Target,
	TargetID:     header.Target,
	NotRun:       header.Outcome,
	NotRunValue:  header.NotRun,
	Key:          header.Key,
	Handover:     header.Handover,
	Leaving:      header.Leaving,
	Outcome:      header.Outcome,
	Reason:       header.Reason,
}

const (
	// idempotentAttempts limits the attempts of an idempotent request: at the key's owner,
	// and at the next ones if the owner is lost.
	idempotentAttempts = 3
	// The attempt timeout of an idempotent request is attemptTimeoutFactor times the
	// latency objective of its class, between minAttemptTimeout and maxAttemptTimeout.
	// After it, the request is sent again. This abandons a connection whose other end has
	// silently gone, well within the two seconds in which a key must be served again.
	attemptTimeoutFactor = 4
	minAttemptTimeout    = 300 * time.Millisecond
	maxAttemptTimeout    = 800 * time.Millisecond
)

// Limits bound the size of a caller's requests.
type Limits struct {
	HeaderBytes, KeyBytes int
	BodyBytes             int64
}

// Timeouts of connections from callers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
)

// Documents decodes the manifest and the registrations of targets in the store. It
// implements view.Documents.
type Documents struct{ Limits Limits }

// Prefix returns the common prefix of all keys of the router.
func (Documents) Prefix() string { return topo.Prefix }

// ConfigKey returns the key of the manifest.
func (Documents) ConfigKey() string { return topo.KeyConfig }

// TargetsPrefix returns the prefix of the target registrations.
func (Documents) TargetsPrefix() string { return topo.PrefixTargets }

// EvacuatedDomain returns false, because manifests have no evacuations.
func (Documents) EvacuatedDomain(string) (domain string, ok bool) { return "", false }

// DecodeConfig decodes a stored manifest.
func (d Documents) DecodeConfig(b []byte) (*route.Config, error) {
	accepted, err := manifest.DecodeAccepted(b)
	if err != nil {
		return nil, err
	}
	m := &matcher{accepted: accepted, routes: make(map[classID]*route.Route)}
	m.router = manifest.NewRouter(&m.accepted.Manifest).WithMaxKey(d.Limits.KeyBytes)
	services := make([]route.Service, 0, len(accepted.Manifest.Services))
	for i := range accepted.Manifest.Services {
		s := &accepted.Manifest.Services[i]
		services = append(services, route.Service{Name: s.Name, Keyed: true, ShedsLoad: true, MaxConnections: minConnections(s)})
		for j, c := range s.Classes {
			m.routes[classID{s.Name, c.Name}] = newRoute(s, c, j)
		}
	}
	limits := route.Limits{
		HeaderBytes: d.Limits.HeaderBytes, BodyBytes: d.Limits.BodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	return route.NewWithMatcher(accepted.Revision, m, len(m.routes), services, limits), nil
}

// minConnections returns the number of connections that every target of the service
// accepts.
func minConnections(s *manifest.Service) int {
	lowest := manifest.MaxConnections
	for _, t := range s.Targets {
		lowest = min(lowest, t.Connections)
	}
	return lowest
}

// newRoute returns the route of a class. Under overload, classes that come earlier in the
// manifest take precedence.
func newRoute(s *manifest.Service, c manifest.Class, priority int) *route.Route {
	r := &route.Route{
		Name: c.Name, Prefix: s.PathPrefix, Idempotent: !c.NeverRepeat(), Timeout: c.Deadline(),
		Objective: time.Duration(c.Objective.LatencyMs) * time.Millisecond, MaxAttempts: 1, Priority: priority,
		WeightedServices: []route.WeightedService{{Service: s.Name, Weight: 1}},
	}
	if r.Idempotent {
		r.MaxAttempts = idempotentAttempts
		r.AttemptTimeout = min(max(attemptTimeoutFactor*r.Objective, minAttemptTimeout), maxAttemptTimeout)
	}
	return r
}

type classID struct{ service, class string }

// matcher finds the class and the key of a request according to the manifest.
type matcher struct {
	accepted manifest.Accepted
	router   *manifest.Router
	routes   map[classID]*route.Route
}

// ManifestOf returns the manifest that a configuration was decoded from, if it was.
func ManifestOf(c *route.Config) (manifest.Accepted, bool) {
	if c == nil {
		return manifest.Accepted{}, false
	}
	m, ok := c.Matcher().(*matcher)
	if !ok {
		return manifest.Accepted{}, false
	}
	return m.accepted, true
}

// Match implements route.Matcher.
func (m *matcher) Match(q route.Query) (route.Match, error) {
	found, err := m.router.Match(q.Method, q.Path, manifest.Query(q.RawQuery), q.Header)
	if err != nil {
		return route.Match{}, mismatchError(err)
	}
	return route.Match{
		Route: m.routes[classID{found.Service.Name, found.Class.Name}], Key: found.Service.Point(found.Key), HasKey: true,
	}, nil
}

// mismatchResponses are the responses to requests that match no class.
var mismatchResponses = []struct {
	err    error
	status int
	reason string
}{
	{manifest.ErrUnknownService, http.StatusNotFound, "unknown-service"},
	{manifest.ErrNoClass, http.StatusMethodNotAllowed, "no-class"},
	{manifest.ErrMissingKey, http.StatusBadRequest, "missing-key"},
	{manifest.ErrAmbiguousKey, http.StatusBadRequest, "ambiguous-key"},
	{manifest.ErrKeyTooLong, http.StatusBadRequest, "key-too-long"},
}

func mismatchError(err error) error {
	for _, m := range mismatchResponses {
		if errors.Is(err, m.err) {
			return &route.MismatchError{Status: m.status, Reason: m.reason}
		}
	}
	return &route.MismatchError{Status: http.StatusBadRequest, Reason: "bad-path"}
}

// Registration is the entry that the store holds for a target that responds to probes.
type Registration struct {
	Address string `cbor:"1,keyasint"`
	Domain  string `cbor:"2,keyasint"`
	Slots   int    `cbor:"3,keyasint"`
	Leaving bool   `cbor:"4,keyasint,omitempty"`
	// Boot identifies the run of the target's process.
	Boot string `cbor:"5,keyasint"`
}

// TargetID returns the ID of the target with the given name in the manifest.
func TargetID(service, name string) string { return service + "/" + name }

// TargetKey returns the store key of a target's registration.
func TargetKey(id string) string { return topo.PrefixTargets + id }

// errInvalidRegistration reports a registration that cannot be decoded or fails validation.
var errInvalidRegistration = errors.New("invalid registration")

// DecodeTarget decodes a registration.
func (Documents) DecodeTarget(key string, b []byte) (target.Record, error) {
	id := strings.TrimPrefix(key, topo.PrefixTargets)
	service, name, found := strings.Cut(id, "/")
	if !found || service == "" || name == "" {
		return target.Record{}, fmt.Errorf("%w: key %q does not contain a service and a name", errInvalidRegistration, key)
	}
	var r Registration
	if err := cbor.Unmarshal(b, &r); err != nil {
		return target.Record{}, fmt.Errorf("%w: %w", errInvalidRegistration, err)
	}
	if r.Address == "" || r.Boot == "" || r.Slots <= 0 {
		return target.Record{}, fmt.Errorf("%w: address, boot ID or slots missing or out of range", errInvalidRegistration)
	}
	return r.Record(id, service), nil
}

// Record converts the registration to the record that daemons keep of the target.
func (r Registration) Record(id, service string) target.Record {
	out := target.Record{
		ID: id, Service: service, Address: r.Address, Domain: r.Domain, Slots: r.Slots, Epoch: epochOf(r.Boot),
	}
	if r.Leaving {
		out.State = target.Leaving
	}
	return out
}

// epochOf returns the epoch of a target's run: a hash of its boot ID.
func epochOf(boot string) int64 { return int64(xxhash.Sum64String(boot)) }
