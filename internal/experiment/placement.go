package experiment

import "fmt"

// service is a service whose keys are placed.
type service struct {
	name    string
	targets int
}

// services returns the services of the deployment.
func services(deployment string) []service {
	if deployment == "muscat" {
		return []service{{"display", 15}, {"scheduling", 10}, {"publishing", 5}}
	}
	return []service{{"inventory", 15}, {"reservation", 5}, {"orders", 5}}
}

// exponents of the keys' popularity: that of the other workloads, and a flatter
// one, under which no key exceeds a target's fair share.
func exponents() []float64 { return []float64{zipfExponent, 0.9} }

// Names of the assignments.
const (
	byPolicy = ""
	byRing   = "ring"
	byModulo = "modulo"
	unmoved  = "first assignment"
	ideal    = "ideal"
)

// samples collects the values of one row over the seeds by assignment.
type samples struct {
	row    Row
	order  []string
	values map[string][]float64
}

func (s *samples) add(name string, v float64) {
	if _, ok := s.values[name]; !ok {
		s.order = append(s.order, name)
	}
	s.values[name] = append(s.values[name], v)
}

func (s *samples) finish() Row {
	for _, name := range s.order {
		v := spreadOf(s.values[name])
		switch name {
		case byPolicy:
			s.row.Policy = &v
		case ideal:
			s.row.Ideal = &v
		default:
			s.row.Baselines = append(s.row.Baselines, Value{name, v})
		}
	}
	return s.row
}

// collector holds the rows of a service in the order of their first value.
type collector struct {
	service service
	ticks   int
	rows    []*samples
}

func (c *collector) row(measure, name, unit string) *samples {
	full := fmt.Sprintf("%s %d: %s", c.service.name, c.service.targets, name)
	for _, s := range c.rows {
		if s.row.Measure == measure && s.row.Case == full {
			return s
		}
	}
	s := &samples{row: Row{Measure: measure, Case: full, Unit: unit}, values: map[string][]float64{}}
	c.rows = append(c.rows, s)
	return s
}

func placementRows(s service, slots, seeds, ticks int) []Row {
	c := &collector{service: s, ticks: ticks}
	for seed := range seeds {
		c.place(newFleet(s.targets, slots, uint64(seed)+1), uint64(seed)+1)
	}
	rows := make([]Row, 0, len(c.rows))
	for _, r := range c.rows {
		rows = append(rows, r.finish())
	}
	return rows
}

// place adds the values of one seed.
func (c *collector) place(f fleet, seed uint64) {
	keys := zipfKeys(c.service.name, seed, zipfExponent)
	first := newOwned(f, c.ticks).freeze()
	c.keyImbalance("keys, at first", f, keys, first)
	for _, change := range fleetChanges() {
		g := change.apply(f, seed)
		own := newOwned(f, c.ticks)
		own.settle(g, nil)
		c.keyImbalance("keys, "+change.name, g, keys, own)
		s := c.row("churn", change.name, "share of keys")
		s.add(byPolicy, churn(keys, first, own))
		s.add(byRing, churn(keys, newRing(f), newRing(g)))
		s.add(byModulo, churn(keys, newModulo(f), newModulo(g)))
		s.add(ideal, evenChurn(f, g))
	}
	for _, exponent := range exponents() {
		c.loadImbalance(f, zipfKeys(c.service.name, seed, exponent), exponent)
	}
}

func (c *collector) keyImbalance(name string, f fleet, keys []key, own assigner) {
	s := c.row("imbalance", name, "x fair share")
	s.add(byPolicy, f.imbalance(keys, own, oneKey))
	s.add(byRing, f.imbalance(keys, newRing(f), oneKey))
	s.add(byModulo, f.imbalance(keys, newModulo(f), oneKey))
	s.add(ideal, 1)
}

func (c *collector) loadImbalance(f fleet, keys []key, exponent float64) {
	own := newOwned(f, c.ticks)
	first, moves := own.freeze(), own.moves
	own.settle(f, keys)
	s := c.row("imbalance", fmt.Sprintf("load, zipf %.1f", exponent), "x fair share")
	s.add(byPolicy, f.imbalance(keys, own, loadOf))
	s.add(unmoved, f.imbalance(keys, first, loadOf))
	s.add(byRing, f.imbalance(keys, newRing(f), loadOf))
	s.add(byModulo, f.imbalance(keys, newModulo(f), loadOf))
	s.add(ideal, max(1, keys[0].load*float64(len(f))))
	s = c.row("churn", fmt.Sprintf("load, zipf %.1f", exponent), "spans moved")
	s.add(byPolicy, float64(own.moves-moves))
	s.add(unmoved, 0)
}
