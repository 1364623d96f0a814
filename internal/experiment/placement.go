package experiment

import "fmt"

// service is a service with the number of its targets.
type service struct {
	name    string
	targets int
}

// services returns the services of a deployment.
func services(deployment string) []service {
	if deployment == "muscat" {
		return []service{{"display", 15}, {"scheduling", 10}, {"publishing", 5}}
	}
	return []service{{"inventory", 15}, {"reservation", 5}, {"orders", 5}}
}

// exponents returns the Zipf exponents of the measured loads: that of the other
// workloads, and a smaller one, with which no key exceeds a target's fair share.
func exponents() []float64 { return []float64{zipfExponent, 0.9} }

// Names of the compared assignments. byPolicy is the assignment of the ownership engine.
const (
	byPolicy  = ""
	byRing    = "ring"
	byModulo  = "modulo"
	byInitial = "first assignment"
	ideal     = "ideal"
)

// samples collects the values of one row for all seeds, by assignment. order keeps the
// order in which the assignments were first added.
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

func (s *samples) summarize() Row {
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

// collector collects the rows of a service in the order of their first values.
type collector struct {
	service service
	ticks   int
	rows    []*samples
}

// row returns the row of a measure and a case, and adds it if it is missing.
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

// placementRows measures the churn and the imbalance of a service with seeds 1 to seeds.
// ticks is the time that the engine gets after each change.
func placementRows(s service, slots, seeds, ticks int) []Row {
	c := &collector{service: s, ticks: ticks}
	for seed := range seeds {
		c.addSeed(newFleet(s.targets, slots, uint64(seed)+1), uint64(seed)+1)
	}
	rows := make([]Row, 0, len(c.rows))
	for _, r := range c.rows {
		rows = append(rows, r.summarize())
	}
	return rows
}

// addSeed measures all cases with one seed.
func (c *collector) addSeed(f fleet, seed uint64) {
	keys := zipfKeys(c.service.name, seed, zipfExponent)
	first := newEngineAssignment(f, c.ticks).snapshot()
	c.keyImbalance("keys, at first", f, keys, first)
	for _, change := range fleetChanges() {
		g := change.apply(f, seed)
		policy := newEngineAssignment(f, c.ticks)
		policy.settle(g, nil)
		c.keyImbalance("keys, "+change.name, g, keys, policy)
		s := c.row("churn", change.name, "share of keys")
		s.add(byPolicy, churn(keys, first, policy))
		s.add(byRing, churn(keys, newRing(f), newRing(g)))
		s.add(byModulo, churn(keys, newModulo(f), newModulo(g)))
		s.add(ideal, idealChurn(f, g))
	}
	for _, exponent := range exponents() {
		c.loadImbalance(f, zipfKeys(c.service.name, seed, exponent), exponent)
	}
}

// keyImbalance adds the imbalance of the number of keys per target.
func (c *collector) keyImbalance(name string, f fleet, keys []key, policy assigner) {
	s := c.row("imbalance", name, "x fair share")
	s.add(byPolicy, f.imbalance(keys, policy, unitWeight))
	s.add(byRing, f.imbalance(keys, newRing(f), unitWeight))
	s.add(byModulo, f.imbalance(keys, newModulo(f), unitWeight))
	s.add(ideal, 1)
}

// loadImbalance adds the imbalance of the load per target after the engine has moved hot
// keys, and the number of spans that it moved.
func (c *collector) loadImbalance(f fleet, keys []key, exponent float64) {
	policy := newEngineAssignment(f, c.ticks)
	first, moves := policy.snapshot(), policy.moves
	policy.settle(f, keys)
	s := c.row("imbalance", fmt.Sprintf("load, zipf %.1f", exponent), "x fair share")
	s.add(byPolicy, f.imbalance(keys, policy, loadWeight))
	s.add(byInitial, f.imbalance(keys, first, loadWeight))
	s.add(byRing, f.imbalance(keys, newRing(f), loadWeight))
	s.add(byModulo, f.imbalance(keys, newModulo(f), loadWeight))
	s.add(ideal, max(1, keys[0].load*float64(len(f))))
	s = c.row("churn", fmt.Sprintf("load, zipf %.1f", exponent), "spans moved")
	s.add(byPolicy, float64(policy.moves-moves))
	s.add(byInitial, 0)
}
