// Package native holds the router's own formats for the daemons of package edge: the
// manifest in the store, the registrations of its targets, and the calls and headers
// of targets that speak the router's own protocol.
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

// HeaderNames are the headers that callers, daemons and targets exchange.
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
	Outcome:      header.Outcome,
	Reason:       header.Reason,
}

const (
	// idempotentAttempts bounds the targets that an idempotent request is sent to:
	// the key's owner, and the next ones if it is lost.
	idempotentAttempts = 3
	// attemptObjectives is the multiple of its class's objective after which an
	// idempotent request without an answer is sent again, and leastAttempt bounds
	// that time from below. A connection that lost its other end without notice is
	// given up then, well within the two seconds after which a key must be served
	// again.
	attemptObjectives = 4
	leastAttempt      = 300 * time.Millisecond
	mostAttempt       = 800 * time.Millisecond
)

// Limits bound what a caller may send, in bytes.
type Limits struct {
	HeaderBytes, KeyBytes int
	BodyBytes             int64
}

// Times of callers' connections.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
)

// Documents reads the manifest and the registrations of targets. It implements
// view.Documents.
type Documents struct{ Limits Limits }

// Prefix is that of all keys of the router.
func (Documents) Prefix() string { return topo.Prefix }

// ConfigKey is the key of the manifest.
func (Documents) ConfigKey() string { return topo.KeyConfig }

// TargetsPrefix is the prefix of the registrations.
func (Documents) TargetsPrefix() string { return topo.PrefixTargets }

// Config decodes a stored manifest.
func (d Documents) Config(b []byte) (*route.Config, error) {
	accepted, err := manifest.DecodeAccepted(b)
	if err != nil {
		return nil, err
	}
	m := &matcher{accepted: accepted, routes: make(map[classID]*route.Route)}
	m.router = manifest.NewRouter(&m.accepted.Manifest).WithMaxKey(d.Limits.KeyBytes)
	services := make([]route.Service, 0, len(accepted.Manifest.Services))
	for i := range accepted.Manifest.Services {
		s := &accepted.Manifest.Services[i]
		services = append(services, route.Service{Name: s.Name, Keyed: true, Sheds: true, MaxConnections: fewestConnections(s)})
		for j, c := range s.Classes {
			m.routes[classID{s.Name, c.Name}] = routeOf(s, c, j)
		}
	}
	limits := route.Limits{
		HeaderBytes: d.Limits.HeaderBytes, BodyBytes: d.Limits.BodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	return route.NewMatching(accepted.Revision, m, len(m.routes), services, limits), nil
}

// fewestConnections is the number that every target of the service accepts.
func fewestConnections(s *manifest.Service) int {
	fewest := manifest.MaxConnections
	for _, t := range s.Targets {
		fewest = min(fewest, t.Connections)
	}
	return fewest
}

// routeOf returns the route of a class. Earlier classes go first under overload.
func routeOf(s *manifest.Service, c manifest.Class, place int) *route.Route {
	r := &route.Route{
		Name: c.Name, Prefix: s.PathPrefix, Idempotent: !c.NeverRepeat(), Timeout: c.Deadline(),
		Objective: time.Duration(c.Objective.LatencyMs) * time.Millisecond, MaxAttempts: 1, Priority: place,
		WeightedServices: []route.WeightedService{{Service: s.Name, Weight: 1}},
	}
	if r.Idempotent {
		r.MaxAttempts = idempotentAttempts
		r.AttemptTimeout = min(max(attemptObjectives*r.Objective, leastAttempt), mostAttempt)
	}
	return r
}

type classID struct{ service, class string }

// matcher finds the class and key of a request by the manifest.
type matcher struct {
	accepted manifest.Accepted
	router   *manifest.Router
	routes   map[classID]*route.Route
}

// ManifestOf returns the manifest that a configuration was made from.
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
		return route.Match{}, mismatch(err)
	}
	return route.Match{
		Route: m.routes[classID{found.Service.Name, found.Class.Name}], Key: found.Service.Point(found.Key), HasKey: true,
	}, nil
}

// mismatches are the answers to requests that fit no class.
var mismatches = []struct {
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

func mismatch(err error) error {
	for _, m := range mismatches {
		if errors.Is(err, m.err) {
			return &route.MismatchError{Status: m.status, Reason: m.reason}
		}
	}
	return &route.MismatchError{Status: http.StatusBadRequest, Reason: "bad-path"}
}

// Registration is what the store holds of a target that answers.
type Registration struct {
	Address string `cbor:"1,keyasint"`
	Domain  string `cbor:"2,keyasint"`
	Slots   int    `cbor:"3,keyasint"`
	Leaving bool   `cbor:"4,keyasint,omitempty"`
	// Boot names the run of the target's process.
	Boot string `cbor:"5,keyasint"`
}

// TargetID returns the ID of a target of a service.
func TargetID(service, name string) string { return service + "/" + name }

// TargetKey returns the key of a target's registration.
func TargetKey(id string) string { return topo.PrefixTargets + id }

// errRegistration reports a registration that cannot be used.
var errRegistration = errors.New("registration not usable")

// Target decodes a registration.
func (Documents) Target(key string, b []byte) (target.Record, error) {
	id := strings.TrimPrefix(key, topo.PrefixTargets)
	service, name, found := strings.Cut(id, "/")
	if !found || service == "" || name == "" {
		return target.Record{}, fmt.Errorf("%w: key %q", errRegistration, key)
	}
	var r Registration
	if err := cbor.Unmarshal(b, &r); err != nil {
		return target.Record{}, fmt.Errorf("%w: %w", errRegistration, err)
	}
	if r.Address == "" || r.Boot == "" || r.Slots <= 0 {
		return target.Record{}, fmt.Errorf("%w: fields are missing", errRegistration)
	}
	return r.Record(id, service), nil
}

// Record returns the registration as daemons know it.
func (r Registration) Record(id, service string) target.Record {
	out := target.Record{
		ID: id, Service: service, Address: r.Address, Domain: r.Domain, Slots: r.Slots, Epoch: bornOf(r.Boot),
	}
	if r.Leaving {
		out.State = target.Leaving
	}
	return out
}

// bornOf makes a number of the name of a target's run.
func bornOf(boot string) int64 { return int64(xxhash.Sum64String(boot)) }
