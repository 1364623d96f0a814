// Package experiment compares the key assignment of the ownership engine with baselines
// such as consistent hashing. It runs the engine in virtual time and compares the number
// and the load of the keys per target; it sends no requests.
package experiment

// Deployment is a fleet of targets with equal numbers of slots.
type Deployment struct {
	Name string
	// Slots is the number of slots of each target.
	Slots int
}

// Deployments returns the deployments that can be measured.
func Deployments() []Deployment { return []Deployment{{"muscat", 3}, {"perinka", 6}} }

// Value is the result of one baseline.
type Value struct {
	Policy string `json:"policy"`
	Spread
}

// String returns the name of the policy and its figures.
func (v Value) String() string { return v.Policy + " " + v.Spread.String() }

// Row compares the policy with the baselines by one measure in one case.
type Row struct {
	Measure   string  `json:"measure"`
	Case      string  `json:"case"`
	Unit      string  `json:"unit"`
	Policy    *Spread `json:"policy,omitempty"`
	Baselines []Value `json:"baselines"`
	// Ideal is calculated, not measured: the lowest imbalance that is possible without
	// splitting keys, or the churn between perfectly balanced assignments. An
	// assignment that tolerates imbalance may have less churn.
	Ideal *Spread `json:"ideal,omitempty"`
}

// Report holds the results of one deployment.
type Report struct {
	Deployment string `json:"deployment"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
}

// Measure runs the experiments of a deployment with seeds 1 to seeds.
func Measure(d Deployment, seeds int) Report {
	r := Report{Deployment: d.Name, Seeds: seeds}
	for _, s := range services(d.Name) {
		r.Rows = append(r.Rows, placementRows(s, d.Slots, seeds, settleTicks)...)
	}
	return r
}
