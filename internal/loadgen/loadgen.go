// Package loadgen sends an open-loop load to a fleet: requests arrive at times
// that are drawn beforehand and do not wait for earlier ones. Latencies count
// from the intended arrival, so a slow system cannot hide its delays by slowing
// the load down.
package loadgen

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Limits of a run. They bound its memory and its number of requests.
const (
	MaxDuration = time.Hour
	MaxRate     = 100_000 // requests/s
	MaxInFlight = 20_000
	MaxKeys     = 100_000_000
	MaxTimeout  = 2 * time.Minute
)

// Errors of this package.
var (
	// ErrConfig reports an unusable Config.
	ErrConfig = errors.New("unusable load")
	// ErrRemote reports an address outside the loopback range.
	ErrRemote = errors.New("address is not on this machine")
)

// Config describes a run.
type Config struct {
	// Addresses are the daemons' addresses for callers, used at random.
	Addresses []string `json:"addresses"`
	// AllowRemote permits addresses outside the loopback range.
	AllowRemote bool `json:"allow_remote"`
	// Rate is the mean arrival rate in requests/s outside of a step.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration_ns"`
	Seed     uint64        `json:"seed"`
	Profile  Profile       `json:"profile"`
	// Weights are the shares of the classes, by SERVICE/CLASS. Classes without
	// a weight get none; nil weighs each class by its service's slots.
	Weights map[string]float64 `json:"weights,omitempty"`
	// Keys is the number of keys per service.
	Keys int `json:"keys"`
	// Zipf is the exponent of the keys' popularity, above 1; 0 means uniform.
	Zipf       float64    `json:"zipf"`
	Stragglers Stragglers `json:"stragglers"`
	// InFlight bounds the requests that wait for a response. An arrival above
	// the bound is counted as not sent.
	InFlight int           `json:"in_flight"`
	Timeout  time.Duration `json:"timeout_ns"`
}

// Profile multiplies the rate by Factor from Start until End.
type Profile struct {
	Factor float64       `json:"factor"`
	Start  time.Duration `json:"start_ns"`
	End    time.Duration `json:"end_ns"`
}

// factorAt returns the multiple of the rate at a time of the run.
func (p Profile) factorAt(at time.Duration) float64 {
	if p.Factor > 0 && at >= p.Start && at < p.End {
		return p.Factor
	}
	return 1
}

func (p Profile) peak() float64 { return max(p.Factor, 1) }

// Stragglers are requests that take longer at the target. Ratio is their part
// of all requests and Work how long they take.
type Stragglers struct {
	Ratio float64       `json:"ratio"`
	Work  time.Duration `json:"work_ns"`
}

// check returns the first problem of the configuration.
func (c *Config) check() error {
	switch {
	case len(c.Addresses) == 0:
		return fmt.Errorf("%w: no address", ErrConfig)
	case c.Rate <= 0 || c.Rate*c.Profile.peak() > MaxRate:
		return fmt.Errorf("%w: a rate of %g/s at the peak; expected above 0 and at most %d", ErrConfig, c.Rate*c.Profile.peak(), MaxRate)
	case c.Profile.Factor < 0 || c.Profile.Start > c.Profile.End:
		return fmt.Errorf("%w: a step by %g from %v to %v", ErrConfig, c.Profile.Factor, c.Profile.Start, c.Profile.End)
	case c.Duration <= 0 || c.Duration > MaxDuration:
		return fmt.Errorf("%w: a duration of %v; expected at most %v", ErrConfig, c.Duration, MaxDuration)
	case c.Keys < 1 || c.Keys > MaxKeys:
		return fmt.Errorf("%w: %d keys; expected 1 to %d", ErrConfig, c.Keys, MaxKeys)
	case c.Zipf != 0 && c.Zipf <= 1:
		return fmt.Errorf("%w: a Zipf exponent of %g; expected above 1, or 0 for uniform keys", ErrConfig, c.Zipf)
	case c.Stragglers.Ratio < 0 || c.Stragglers.Ratio > 1:
		return fmt.Errorf("%w: %g of the requests as stragglers; expected 0 to 1", ErrConfig, c.Stragglers.Ratio)
	case c.InFlight < 1 || c.InFlight > MaxInFlight:
		return fmt.Errorf("%w: %d in flight; expected 1 to %d", ErrConfig, c.InFlight, MaxInFlight)
	case c.Timeout <= 0 || c.Timeout > MaxTimeout:
		return fmt.Errorf("%w: a timeout of %v; expected at most %v", ErrConfig, c.Timeout, MaxTimeout)
	}
	return c.checkAddresses()
}

func (c *Config) checkAddresses() error {
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

// classID names a class as SERVICE/CLASS.
func classID(s *manifest.Service, c *manifest.Class) string { return s.Name + "/" + c.Name }
