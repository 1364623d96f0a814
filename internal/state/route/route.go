// Package route decides which service a request goes to.
package route

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route describes the requests below one path prefix of a host.
type Route struct {
	Name, Host, Prefix string
	// Idempotent requests may run more than once. All others run at most once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which a response has its full worth.
	Objective time.Duration
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// AttemptTimeout is the time after which an idempotent request that got no
	// answer is sent again; zero waits until the end of the request.
	AttemptTimeout time.Duration
	// Priority orders requests under overload; 0 goes first.
	Priority int
	// WeightedServices share the route's requests by weight. There is at least one.
	WeightedServices []WeightedService
}

// Service describes the targets that run a kind of work.
type Service struct {
	Name string
	// MaxConnections is what one target accepts from all daemons together.
	MaxConnections int
	// Keyed services run a request only at the target that holds its key.
	Keyed bool
	// Warmup is how long keys are slow that arrive without a handover.
	Warmup time.Duration
	// Sheds tells that targets refuse requests beyond their slots in place of
	// queueing them. Daemons then hold requests until a slot is free.
	Sheds bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Query is what a request is matched by. Path is the escaped path.
type Query struct {
	Method, Host, Path, RawQuery string
	Header                       http.Header
}

// Match is the result of a Query.
type Match struct {
	Route *Route
	// Key is the request's key if HasKey is set. Otherwise the caller states it in
	// a header of its own.
	Key    uint16
	HasKey bool
}

// MismatchError tells why a request has no route. Such a request does not run.
type MismatchError struct {
	// Status is the HTTP status of the answer.
	Status int
	Reason string
}

// Error implements error.
func (m *MismatchError) Error() string { return m.Reason }

// ErrNoRoute is returned for a host and path that no route covers.
var ErrNoRoute = &MismatchError{Status: http.StatusNotFound, Reason: "no route"}

// Matcher finds the route of requests.
type Matcher interface {
	// Match returns the route of a request, or a MismatchError.
	Match(q Query) (Match, error)
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Routes is the number of routes.
	Routes int

	matcher Matcher
}

// New returns the configuration whose routes are found by host and prefix.
func New(version uint64, routes []Route, services []Service, limits Limits) *Config {
	return NewMatching(version, newPrefixes(routes), len(routes), services, limits)
}

// NewMatching returns the configuration whose routes a Matcher finds.
func NewMatching(version uint64, m Matcher, routes int, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, Routes: routes, matcher: m, Services: make(map[string]Service, len(services))}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
}

// Matcher returns what finds the routes.
func (c *Config) Matcher() Matcher { return c.matcher }

// Match implements Matcher.
func (c *Config) Match(q Query) (Match, error) { return c.matcher.Match(q) }

// prefixes are the routes of each host, those with longer prefixes first.
type prefixes map[string][]*Route

func newPrefixes(routes []Route) prefixes {
	hosts := make(prefixes)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		hosts[host] = append(hosts[host], &routes[i])
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return hosts
}

// Match implements Matcher: the route of the host with the longest prefix of the
// path.
func (p prefixes) Match(q Query) (Match, error) {
	host := q.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range p[strings.ToLower(host)] {
		if strings.HasPrefix(q.Path, r.Prefix) {
			return Match{Route: r}, nil
		}
	}
	return Match{}, ErrNoRoute
}

// Pick returns the part at a point in [0, 1) of the route's total weight.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, p := range r.WeightedServices {
		total += p.Weight
	}
	at := point * float64(total)
	for _, p := range r.WeightedServices {
		at -= float64(p.Weight)
		if at < 0 {
			return p.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
