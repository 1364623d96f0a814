// Package loadgen generates open-loop load for a fleet: arrival times are drawn
// independently of responses, and a request does not wait for earlier ones.
// Latencies are measured from the intended arrival, so that a slow system cannot
// hide its delays by slowing down the load (coordinated omission).
package loadgen

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Limits for a run. They bound its memory and its number of requests.
const (
	MaxDuration = time.Hour
	MaxRate     = 100_000 // requests/s
	MaxInFlight = 20_000
	MaxKeys     = 100_000_000
	MaxTimeout  = 2 * time.Minute
)

// Errors of this package.
var (
	// ErrConfig reports an invalid Config.
	ErrConfig = errors.New("invalid load configuration")
	// ErrRemote reports an address outside the loopback range without AllowRemote.
	ErrRemote = errors.New("address is not a loopback address")
)

// Config configures a run.
type Config struct {
	// Addresses are the daemons' addresses for callers. Each request uses a random one.
	Addresses []string `json:"addresses"`
	// AllowRemote permits addresses outside the loopback range.
	AllowRemote bool `json:"allow_remote"`
	// Rate is the mean arrival rate in requests/s outside of the step in Profile.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration_ns"`
	Seed     uint64        `json:"seed"`
	Profile  Profile       `json:"profile"`
	// Weights are the relative shares of the classes, by SERVICE/CLASS. Classes that
	// are not listed get no requests. If Weights is nil, each service is weighted by
	// its slots, divided evenly among its classes.
	Weights map[string]float64 `json:"weights,omitempty"`
	// Keys is the number of keys per service.
	Keys int `json:"keys"`
	// Zipf is the exponent of the Zipf distribution of keys. It must be above 1; 0 means
	// that keys are uniformly distributed.
	Zipf       float64    `json:"zipf"`
	Stragglers Stragglers `json:"stragglers"`
	// InFlight is the maximum number of requests in flight. Arrivals above the limit are
	// not sent, but counted as such.
	InFlight int           `json:"in_flight"`
	Timeout  time.Duration `json:"timeout_ns"`
}

// Profile is a step of the load: it multiplies the rate by Factor from Start until End.
type Profile struct {
	Factor float64       `json:"factor"`
	Start  time.Duration `json:"start_ns"`
	End    time.Duration `json:"end_ns"`
}

// factorAt returns the factor of the rate at a time since the start of the run.
func (p Profile) factorAt(at time.Duration) float64 {
	if p.Factor > 0 && at >= p.Start && at < p.End {
		return p.Factor
	}
	return 1
}

func (p Profile) peakFactor() float64 { return max(p.Factor, 1) }

// Stragglers configures requests with a longer service time. Ratio is their fraction of
// all requests, Work their service time at the target.
type Stragglers struct {
	Ratio float64       `json:"ratio"`
	Work  time.Duration `json:"work_ns"`
}

// validate returns an error for the first invalid setting.
func (c *Config) validate() error {
	switch {
	case len(c.Addresses) == 0:
		return fmt.Errorf("%w: no address", ErrConfig)
	case c.Rate <= 0 || c.Rate*c.Profile.peakFactor() > MaxRate:
		return fmt.Errorf("%w: peak rate %g/s; expected above 0 and at most %d", ErrConfig, c.Rate*c.Profile.peakFactor(), MaxRate)
	case c.Profile.Factor < 0 || c.Profile.Start > c.Profile.End:
		return fmt.Errorf("%w: step by a factor of %g from %v to %v; expected a factor of at least 0 and an end not before the start", ErrConfig, c.Profile.Factor, c.Profile.Start, c.Profile.End)
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return fmt.Errorf("%w: duration %v; expected above 0 and at most %v", ErrConfig, c.Duration, MaxDuration)
	case c.Keys < 1 || c.Keys > MaxKeys:
		return fmt.Errorf("%w: %d keys; expected 1 to %d", ErrConfig, c.Keys, MaxKeys)
	case c.Zipf != 0 && c.Zipf <= 1:
		return fmt.Errorf("%w: Zipf exponent %g; expected above 1, or 0 for uniform keys", ErrConfig, c.Zipf)
	case c.Stragglers.Ratio < 0 || c.Stragglers.Ratio > 1:
		return fmt.Errorf("%w: straggler ratio %g; expected 0 to 1", ErrConfig, c.Stragglers.Ratio)
	case c.InFlight < 1 || c.InFlight > MaxInFlight:
		return fmt.Errorf("%w: %d requests in flight; expected 1 to %d", ErrConfig, c.InFlight, MaxInFlight)
	case c.Timeout <= 0 || c.Timeout > MaxTimeout:
		return fmt.Errorf("%w: timeout %v; expected above 0 and at most %v", ErrConfig, c.Timeout, MaxTimeout)
	}
	return c.validateAddresses()
}

func (c *Config) validateAddresses() error {
	for _, a := range c.Addresses {
		address, err := netip.ParseAddrPort(a)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrConfig, err)
		}
		if !address.Addr().Unmap().IsLoopback() && !c.AllowRemote {
			return fmt.Errorf("%w: %s", ErrRemote, a)
		}
	}
	return nil
}

// classID returns the ID of a class, SERVICE/CLASS.
func classID(s *manifest.Service, c *manifest.Class) string { return s.Name + "/" + c.Name }
