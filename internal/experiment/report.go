package experiment

import (
	"fmt"

	"github.com/jackdawloom/jackdawloom/internal/coordination/election"
)

// Value is a figure of one policy.
type Value struct {
	Policy string `json:"policy"`
	Spread
}

// String gives the policy's name and the figure.
func (v Value) String() string { return v.Policy + " " + v.Spread.String() }

// Row is one measure in one case: the policy against the baselines.
type Row struct {
	Measure string `json:"measure"`
	Case    string `json:"case"`
	Unit    string `json:"unit"`
	// Policy is nil if this experiment cannot measure it; Note says what does.
	Policy    *Spread `json:"policy,omitempty"`
	Baselines []Value `json:"baselines"`
	// Ideal is computed: the imbalance that no assignment of whole keys can
	// undercut, or the churn between exactly even assignments. An assignment that
	// tolerates imbalance may have less churn.
	Ideal *Spread `json:"ideal,omitempty"`
	Note  string  `json:"note,omitempty"`
}

// Report is the five measures of one deployment.
type Report struct {
	Deployment string `json:"deployment"`
	Seeds      int    `json:"seeds"`
	Rows       []Row  `json:"rows"`
}

// Measure runs the experiments of a deployment with seeds 1 to the given number.
func Measure(d Deployment, seeds int) Report {
	r := Report{Deployment: d.Name, Seeds: seeds}
	for _, s := range services(d.Name) {
		r.Rows = append(r.Rows, placementRows(s, d.Slots, seeds)...)
	}
	r.Rows = append(r.Rows, unavailableRow())
	r.Rows = append(r.Rows, queueRows(d, seeds)...)
	return r
}

// unavailableRow has no measured figure: the experiment has no processes. The
// baseline is computed from the constants.
func unavailableRow() Row {
	ttl := election.LeaseTTL.Seconds()
	return Row{
		Measure: "unavailable", Case: "daemon or target lost", Unit: "s",
		Note: "see internal/e2e: TestKilledDaemons, TestKilledTargets, TestFrozenProcesses, TestSilentConnections",
		Baselines: []Value{{
			Policy: "no standby, lease + table (computed)",
			Spread: Spread{Median: ttl, Min: ttl, Max: ttl},
		}},
	}
}

// queueRow is a figure of the queue experiment in one scenario.
type queueRow struct {
	measure, unit, figure string
	scenario              Scenario
}

// spikeCrest is Spike with the spike itself as the window.
func spikeCrest() Scenario {
	s := Spike()
	s.Name = "spike-crest"
	s.WindowFrom, s.WindowTo = s.Phases[0].From, s.Phases[0].To
	return s
}

func queueMeasures() []queueRow {
	const crest, blocking = "crest", "blocking"
	return []queueRow{
		{crest, "in objective", "window", Step()},
		{crest, "in objective", "window", spikeCrest()},
		{crest, "in objective, 10 s after", "window", Spike()},
		{crest, "never-repeat in time", "never-repeat", Steady(1.25)},
		{crest, "never-repeat in time", "never-repeat", Steady(1.5)},
		{"no overload", "p999 ms", "p999 ms", Steady(0.75)},
		{blocking, "blocked ms", "blocked ms", Mix(0.8)},
		{blocking, "p99 ms", "p99 ms", Mix(0.8)},
		{blocking, "long in time", "long", Mix(0.8)},
		{blocking, "blocked ms", "blocked ms", Mix(1.5)},
		{blocking, "p99 ms", "p99 ms", Mix(1.5)},
		{blocking, "long in time", "long", Mix(1.5)},
	}
}

func queueRows(d Deployment, seeds int) []Row {
	summaries := map[string]Summary{}
	summary := func(sc Scenario, p Policy) Summary {
		id := fmt.Sprint(sc.Name, p)
		if s, ok := summaries[id]; ok {
			return s
		}
		summaries[id] = Summarize(Config{Deployment: d, Scenario: sc, Policy: p}, "", seeds)
		return summaries[id]
	}
	var rows []Row
	for _, q := range queueMeasures() {
		own := summary(q.scenario, Controller).Figures[q.figure]
		row := Row{Measure: q.measure, Case: q.scenario.Name, Unit: q.unit, Policy: &own}
		for _, p := range []Policy{FIFO, FIFOTimeout} {
			row.Baselines = append(row.Baselines, Value{string(p), summary(q.scenario, p).Figures[q.figure]})
		}
		rows = append(rows, row)
	}
	return rows
}
