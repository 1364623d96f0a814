package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// arrival is a planned request.
type arrival struct {
	at        time.Duration // since the start of the run
	class     *requestClass
	url       string
	address   string
	headerKey string // value of the key header, if the key is sent in one
}

// plan generates the arrivals. The same configuration and manifest always give the same
// arrivals. It is not safe for concurrent use.
type plan struct {
	config  Config
	classes []*requestClass
	random  *rand.Rand
	zipf    *rand.Zipf
	at      time.Duration
}

// planStream is the second half of the seed of the PCG source; the first is Config.Seed.
const planStream = 0x6a61636b646177

func newPlan(c Config, m *manifest.Manifest) (*plan, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	classes, err := requestClasses(c, m)
	if err != nil {
		return nil, err
	}
	p := &plan{config: c, classes: classes, random: rand.New(rand.NewPCG(c.Seed, planStream))}
	if c.Zipf > 1 {
		p.zipf = rand.NewZipf(p.random, c.Zipf, 1, uint64(c.Keys-1))
	}
	return p, nil
}

// next returns the next arrival, or false after the last one.
func (p *plan) next() (arrival, bool) {
	if !p.drawTime() {
		return arrival{}, false
	}
	k := p.drawClass()
	work := time.Duration(0)
	if p.random.Float64() < p.config.Stragglers.Ratio {
		work = p.config.Stragglers.Work
	}
	a := k.newArrival(keyName(p.drawKey()), work)
	a.at = p.at
	a.address = p.config.Addresses[p.random.IntN(len(p.config.Addresses))]
	return a, true
}

// drawTime draws the time of the next arrival of a Poisson process whose rate follows the
// profile, by thinning a process with the peak rate. It returns false if the time is after
// the end of the run.
func (p *plan) drawTime() bool {
	peak := p.config.Rate * p.config.Profile.peakFactor()
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

// drawClass draws a class with a probability proportional to its weight.
func (p *plan) drawClass() *requestClass {
	x := p.random.Float64() * p.classes[len(p.classes)-1].cumulativeWeight
	for _, k := range p.classes {
		if x < k.cumulativeWeight {
			return k
		}
	}
	return p.classes[len(p.classes)-1]
}

func (p *plan) drawKey() uint64 {
	if p.zipf != nil {
		return p.zipf.Uint64()
	}
	return p.random.Uint64N(uint64(p.config.Keys))
}
