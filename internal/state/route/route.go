// Package route maps requests to routes and to the services behind them.
package route

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how requests for one host and path prefix are handled.
type Route struct {
	Name, Host, Prefix string
	// Idempotent states that requests may run more than once. All others run at most
	// once.
	Idempotent bool
	// Timeout is the maximum time for which a caller waits for a response.
	Timeout time.Duration
	// Objective is the latency objective: a response within this time has its full
	// value.
	Objective time.Duration
	// MaxAttempts limits the number of targets to which one request is sent.
	MaxAttempts int
	// AttemptTimeout is the time after which an idempotent request without a response
	// is sent again. If it is zero, an attempt may last until the request times out.
	AttemptTimeout time.Duration
	// Priority ranks requests under overload. 0 is the highest priority.
	Priority int
	// WeightedServices share the route's requests in proportion to their weights. There
	// is at least one.
	WeightedServices []WeightedService
}

// Service describes the properties that the targets of a service have in common.
type Service struct {
	Name string
	// HealthPath is the path at which targets report their health; empty if there is none.
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from all
	// daemons together.
	MaxConnections int
	// Keyed states that a request may run only at the target that holds its key.
	Keyed bool
	// Warmup is the time for which a key remains slow after a move without a handover.
	Warmup time.Duration
	// ColdStart is the time for which a target is cold after its start, and ColdRate the
	// requests per second of all daemons together that a cold target tolerates; 0 means that
	// cold targets tolerate any rate.
	ColdStart time.Duration
	ColdRate  float64
	// ShedsLoad states that targets refuse requests that exceed their slots instead of
	// queueing them. Daemons then hold requests until a slot is free.
	ShedsLoad bool
}

// Limits are limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Query holds the parts of a request that routes are matched by. Path is the escaped
// path.
type Query struct {
	Method, Host, Path, RawQuery string
	Header                       http.Header
}

// Match is the route found for a Query, with the request's key if the Matcher
// determines it.
type Match struct {
	Route *Route
	// Key is the request's key if HasKey is set. Otherwise the key is taken from the
	// key header that the caller sent.
	Key    uint16
	HasKey bool
}

// MismatchError is the reason why a request was not matched. Such a request does not
// run.
type MismatchError struct {
	// Status is the HTTP status of the response.
	Status int
	Reason string
}

// Error implements error.
func (m *MismatchError) Error() string { return m.Reason }

// ErrNoRoute reports a host and path that no route matches.
var ErrNoRoute = &MismatchError{Status: http.StatusNotFound, Reason: "no route"}

// Matcher finds the route of requests.
type Matcher interface {
	// Match returns the route of a request, or a MismatchError.
	Match(q Query) (Match, error)
}

// Config is one immutable version of the operators' configuration.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Routes is the number of routes.
	Routes int

	matcher Matcher
	classes map[string][]Class
}

// Class is what the routes of one priority ask of a service.
type Class struct {
	Priority int
	// Objective is the shortest latency objective of these routes; 0 if none has one.
	Objective time.Duration
}

// Classes returns the classes of the routes that lead to the service, the most urgent first.
// It returns nil for services whose routes are known only to a Matcher.
func (c *Config) Classes(service string) []Class { return c.classes[service] }

// classesOf returns the classes of each service.
func classesOf(routes []Route) map[string][]Class {
	out := make(map[string][]Class)
	for _, r := range routes {
		for _, ws := range r.WeightedServices {
			if ws.Weight > 0 {
				out[ws.Service] = addClass(out[ws.Service], r)
			}
		}
	}
	return out
}

func addClass(classes []Class, r Route) []Class {
	i, known := slices.BinarySearchFunc(classes, r.Priority, func(c Class, priority int) int { return cmp.Compare(c.Priority, priority) })
	if !known {
		return slices.Insert(classes, i, Class{Priority: r.Priority, Objective: r.Objective})
	}
	if o := classes[i].Objective; r.Objective > 0 && (o == 0 || r.Objective < o) {
		classes[i].Objective = r.Objective
	}
	return classes
}

// New returns a configuration whose routes are matched by host and path prefix.
func New(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := NewWithMatcher(version, newHostRoutes(routes), len(routes), services, limits)
	c.classes = classesOf(routes)
	return c
}

// NewWithMatcher returns a configuration whose routes are matched by m. routes is the
// number of routes.
func NewWithMatcher(version uint64, m Matcher, routes int, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Limits: limits, Routes: routes, matcher: m, Services: make(map[string]Service, len(services))}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	return c
}

// Matcher returns the matcher that the configuration uses.
func (c *Config) Matcher() Matcher { return c.matcher }

// Match implements Matcher.
func (c *Config) Match(q Query) (Match, error) { return c.matcher.Match(q) }

// hostRoutes maps each host, in lower case, to its routes, those with longer prefixes
// first.
type hostRoutes map[string][]*Route

func newHostRoutes(routes []Route) hostRoutes {
	hosts := make(hostRoutes)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		hosts[host] = append(hosts[host], &routes[i])
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return hosts
}

// Match implements Matcher. It returns the route of the host whose prefix is the
// longest that matches the path.
func (routes hostRoutes) Match(q Query) (Match, error) {
	host := q.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range routes[strings.ToLower(host)] {
		if strings.HasPrefix(q.Path, r.Prefix) {
			return Match{Route: r}, nil
		}
	}
	return Match{}, ErrNoRoute
}

// PickService selects a service by weight: the one whose share of the total weight
// contains fraction, which is in [0, 1).
func (r *Route) PickService(fraction float64) string {
	total := 0.0
	for _, ws := range r.WeightedServices {
		total += ws.Weight
	}
	remaining := fraction * total
	for _, ws := range r.WeightedServices {
		remaining -= ws.Weight
		if remaining < 0 {
			return ws.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
