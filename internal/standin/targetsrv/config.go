// Package targetsrv implements a stand-in target for tests: an HTTP server with
// request slots, fenced grants, draining, cold starts, cancellation and
// deadlines, and with faults that tests can inject. Its run log shows how often
// each request was executed.
package targetsrv

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Defaults for fields of Config.
const (
	DefaultSlots      = 3
	DefaultRunLimit   = 500_000
	DefaultDrainGrace = 3 * time.Second
)

// Config configures a stand-in target.
type Config struct {
	// Name is the target's name in the manifest.
	Name string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// ChecksGrants makes the target refuse requests outside its grant.
	ChecksGrants bool
	// ServiceTime draws the duration of requests without work_ms. Nil means zero.
	ServiceTime ServiceTime
	// ColdFor is the length of the cold start, in which requests take longer. The
	// multiplier falls linearly from ColdFactor at the start to 1.
	ColdFor    time.Duration
	ColdFactor float64
	// DrainGrace is how long a draining target still accepts new requests.
	DrainGrace time.Duration
	// IdleTimeout is how long a connection may be idle before it is closed; zero
	// means no limit.
	IdleTimeout time.Duration
	// RunLimit is the maximum number of entries in the run log.
	RunLimit int
	// Seed seeds the random source of service times.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Name == "" {
		c.Name = "target"
	}
	if c.Slots <= 0 {
		c.Slots = DefaultSlots
	}
	if c.RunLimit <= 0 {
		c.RunLimit = DefaultRunLimit
	}
	if c.DrainGrace <= 0 {
		c.DrainGrace = DefaultDrainGrace
	}
	if c.ColdFactor < 1 {
		c.ColdFactor = 1
	}
	return c
}

// ErrServiceTime reports a service time that cannot be parsed.
var ErrServiceTime = errors.New("service time must be DURATION, exp:DURATION or uniform:DURATION..DURATION")

// ServiceTime draws the duration of one request.
type ServiceTime func(r *rand.Rand) time.Duration

// ParseServiceTime parses a distribution: "2ms" is constant, "exp:2ms" is
// exponential with that mean, "uniform:1ms..5ms" is uniform.
func ParseServiceTime(s string) (ServiceTime, error) {
	kind, arg, found := strings.Cut(s, ":")
	if !found {
		kind, arg = "const", s
	}
	switch kind {
	case "const":
		d, err := parseDuration(arg)
		return func(*rand.Rand) time.Duration { return d }, err
	case "exp":
		d, err := parseDuration(arg)
		return func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(d)) }, err
	case "uniform":
		return parseUniform(arg)
	}
	return nil, fmt.Errorf("%w: %q", ErrServiceTime, s)
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%w: %q", ErrServiceTime, s)
	}
	return d, nil
}

func parseUniform(s string) (ServiceTime, error) {
	lowText, highText, _ := strings.Cut(s, "..")
	low, err := parseDuration(lowText)
	if err != nil {
		return nil, err
	}
	high, err := parseDuration(highText)
	if err != nil {
		return nil, err
	}
	if high < low {
		return nil, fmt.Errorf("%w: %q", ErrServiceTime, s)
	}
	return func(r *rand.Rand) time.Duration { return low + time.Duration(r.Int64N(int64(high-low)+1)) }, nil
}
