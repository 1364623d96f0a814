package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// arrival is one request of the plan.
type arrival struct {
	at      time.Duration // since the start of the run
	kind    *kind
	url     string
	address string
	header  string // value of a header key
}

// plan draws the arrivals. The same configuration and manifest give the same
// arrivals on every run. It is not safe for concurrent use.
type plan struct {
	config Config
	kinds  []*kind
	random *rand.Rand
	zipf   *rand.Zipf
	at     time.Duration
}

// Streams of the random source.
const planStream = 0x6a61636b646177

func newPlan(c Config, m *manifest.Manifest) (*plan, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	kinds, err := kindsOf(c, m)
	if err != nil {
		return nil, err
	}
	p := &plan{config: c, kinds: kinds, random: rand.New(rand.NewPCG(c.Seed, planStream))}
	if c.Zipf > 1 {
		p.zipf = rand.NewZipf(p.random, c.Zipf, 1, uint64(c.Keys-1))
	}
	return p, nil
}

// next returns the next arrival, or false at the end of the run.
func (p *plan) next() (arrival, bool) {
	if !p.advance() {
		return arrival{}, false
	}
	k := p.pick()
	work := time.Duration(0)
	if p.random.Float64() < p.config.Stragglers.Ratio {
		work = p.config.Stragglers.Work
	}
	a := k.arrival(keyName(p.key()), work)
	a.at = p.at
	a.address = p.config.Addresses[p.random.IntN(len(p.config.Addresses))]
	return a, true
}

// advance draws the time of the next arrival of a Poisson process whose rate
// follows the profile, by thinning one of the peak rate.
func (p *plan) advance() bool {
	peak := p.config.Rate * p.config.Profile.peak()
	for {
		p.at += time.Duration(p.random.ExpFloat64() / peak * float64(time.Second))
		if p.at >= p.config.Duration {
			return false
		}
		rate := p.config.Rate * p.config.Profile.factorAt(p.at)
		if p.random.Float64()*peak < rate {
			return true
		}
	}
}

// pick draws a class by weight.
func (p *plan) pick() *kind {
	x := p.random.Float64() * p.kinds[len(p.kinds)-1].upTo
	for _, k := range p.kinds {
		if x < k.upTo {
			return k
		}
	}
	return p.kinds[len(p.kinds)-1]
}

func (p *plan) key() uint64 {
	if p.zipf != nil {
		return p.zipf.Uint64()
	}
	return p.random.Uint64N(uint64(p.config.Keys))
}
