package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Spread is the median of a figure over the seeds, with the extremes.
type Spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spreadOf(values []float64) Spread {
	slices.Sort(values)
	n := len(values)
	median := values[n/2]
	if n%2 == 0 {
		median = (values[n/2-1] + values[n/2]) / 2
	}
	return Spread{Median: median, Min: values[0], Max: values[n-1]}
}

// String gives the median and, in brackets, the extremes.
func (s Spread) String() string {
	return fmt.Sprintf("%s [%s-%s]", short(s.Median), short(s.Min), short(s.Max))
}

func short(x float64) string {
	if x >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	if x >= 10 {
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// Figure names one figure of a Result.
type Figure struct {
	Name string
	Of   func(Result) float64
}

// Figures returns the figures of a Result in the order of the tables.
func Figures() []Figure {
	return []Figure{
		{"goodput", func(r Result) float64 { return r.Goodput }},
		{"in objective", func(r Result) float64 { return r.Objective }},
		{"window", func(r Result) float64 { return r.Window }},
		{"never-repeat", func(r Result) float64 { return r.NeverRepeat }},
		{"light callers", func(r Result) float64 { return r.Light }},
		{"long", func(r Result) float64 { return r.LongGood }},
		{"p50 ms", func(r Result) float64 { return r.P50Ms }},
		{"p99 ms", func(r Result) float64 { return r.P99Ms }},
		{"p999 ms", func(r Result) float64 { return r.P999Ms }},
		{"blocked ms", func(r Result) float64 { return r.BlockedMs }},
		{"attempts", func(r Result) float64 { return r.Attempts }},
		{"wasted", func(r Result) float64 { return r.Wasted }},
	}
}

// Summary is the results of one configuration over several seeds.
type Summary struct {
	Deployment string            `json:"deployment"`
	Scenario   string            `json:"scenario"`
	Policy     Policy            `json:"policy"`
	Variant    string            `json:"variant,omitempty"`
	Seeds      int               `json:"seeds"`
	Figures    map[string]Spread `json:"figures"`
}

// Summarize runs the configuration with seeds 1 to the given number.
func Summarize(c Config, variant string, seeds int) Summary {
	values := map[string][]float64{}
	for seed := range seeds {
		c.Seed = uint64(seed) + 1
		r := Run(c)
		for _, f := range Figures() {
			values[f.Name] = append(values[f.Name], f.Of(r))
		}
	}
	s := Summary{
		Deployment: c.Deployment.Name, Scenario: c.Scenario.Name, Policy: c.Policy,
		Variant: variant, Seeds: seeds, Figures: map[string]Spread{},
	}
	for name, v := range values {
		s.Figures[name] = spreadOf(v)
	}
	return s
}

// Compare runs all policies in all the scenarios and deployments.
func Compare(scenarios []Scenario, seeds int) []Summary {
	var all []Summary
	for _, d := range Deployments() {
		for _, sc := range scenarios {
			for _, p := range Policies() {
				all = append(all, Summarize(Config{Deployment: d, Scenario: sc, Policy: p}, "", seeds))
			}
		}
	}
	return all
}

// WriteText prints one table per deployment and scenario.
func WriteText(w io.Writer, all []Summary) error {
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].Deployment == all[0].Deployment && all[n].Scenario == all[0].Scenario {
			n++
		}
		if _, err := fmt.Fprintln(w, render(all[:n])); err != nil {
			return err
		}
		all = all[n:]
	}
	return nil
}

func render(group []Summary) string {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	t.SetTitle(fmt.Sprintf("%s, %s, %d seeds: median [min-max]", group[0].Deployment, group[0].Scenario, group[0].Seeds))
	header := table.Row{""}
	for _, s := range group {
		header = append(header, s.label())
	}
	t.AppendHeader(header)
	for _, f := range Figures() {
		row := table.Row{f.Name}
		for _, s := range group {
			row = append(row, s.Figures[f.Name])
		}
		t.AppendRow(row)
	}
	return t.Render()
}

func (s Summary) label() string {
	if s.Variant != "" {
		return s.Variant
	}
	return string(s.Policy)
}

// WriteJSON prints the summaries as one JSON array.
func WriteJSON(w io.Writer, all []Summary) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(all)
}
