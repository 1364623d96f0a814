// Package experiment compares the assignment of keys with other ones, by the number
// and the load of the keys alone. The engine that assigns keys in the daemons runs
// here in virtual time.
package experiment

// Deployment is a fleet of targets.
type Deployment struct {
	Name string
	// Slots are those of each target.
	Slots int
}

// Deployments returns the two deployments.
func Deployments() []Deployment { return []Deployment{{"muscat", 3}, {"perinka", 6}} }

// Value is a figure of one policy.
type Value struct {
	Policy string `json:"policy"`
	Spread
}

// String gives the policy's name and the figure.
func (v Value) String() string { return v.Policy + " " + v.Spread.String() }

// Row is one measure in one case: the policy against the baselines.
type Row struct {
	Measure   string  `json:"measure"`
	Case      string  `json:"case"`
	Unit      string  `json:"unit"`
	Policy    *Spread `json:"policy,omitempty"`
	Baselines []Value `json:"baselines"`
	// Ideal is computed: the imbalance that no assignment of whole keys can
	// undercut, or the churn between exactly even assignments. An assignment that
	// tolerates imbalance may have less churn.
	Ideal *Spread `json:"ideal,omitempty"`
}

// Report is the measures of one deployment.
type Report struct {
	Deployment string `json:"deployment"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
}

// Measure runs the experiments of a deployment with seeds 1 to the given number.
func Measure(d Deployment, seeds int) Report {
	r := Report{Deployment: d.Name, Seeds: seeds}
	for _, s := range services(d.Name) {
		r.Rows = append(r.Rows, placementRows(s, d.Slots, seeds, settleTicks)...)
	}
	return r
}
