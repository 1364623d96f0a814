// Package route decides which service a request goes to.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Part is a service with its share of a route's requests.
type Part struct {
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
	// Priority orders requests under overload; 0 goes first.
	Priority int
	// Parts share the route's requests by weight. There is at least one.
	Parts []Part
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
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits

	routes []Route
	hosts  map[string][]*Route
}

// New returns the configuration of the routes and services.
func New(version uint64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version: version, Limits: limits, routes: routes,
		Services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.hosts[host] = append(c.hosts[host], &routes[i])
	}
	for _, list := range c.hosts {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Routes returns all routes. The slice must not be changed.
func (c *Config) Routes() []Route { return c.routes }

// Match returns the route of the host with the longest prefix of the path.
func (c *Config) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Pick returns the part at a point in [0, 1) of the route's total weight.
func (r *Route) Pick(point float64) string {
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	at := point * float64(total)
	for _, p := range r.Parts {
		at -= float64(p.Weight)
		if at < 0 {
			return p.Service
		}
	}
	return r.Parts[len(r.Parts)-1].Service
}
