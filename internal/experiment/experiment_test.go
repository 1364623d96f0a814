package experiment

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

func brief(s Scenario) Scenario {
	s.Duration = 12 * time.Second
	return s
}

// Guards against results that depend on anything but the configuration, which
// would make comparisons of policies worthless.
func TestRunIsDeterministic(t *testing.T) {
	for _, d := range Deployments() {
		for _, p := range Policies() {
			c := Config{Deployment: d, Scenario: brief(Mix(1.5)), Policy: p, Seed: 7}
			if a, b := Run(c), Run(c); a != b {
				t.Errorf("%s, %s: two runs differ:\n%+v\n%+v", d.Name, p, a, b)
			}
		}
	}
}

// Guards against a simulation whose policies see different requests, and
// against a simulated target that serves more than its capacity.
func TestPoliciesSeeTheSameWorkload(t *testing.T) {
	for _, d := range Deployments() {
		requests := -1
		for _, p := range Policies() {
			r := Run(Config{Deployment: d, Scenario: brief(Steady(0.5)), Policy: p, Seed: 3})
			if requests >= 0 && r.Requests != requests {
				t.Errorf("%s, %s: %d requests, expected %d", d.Name, p, r.Requests, requests)
			}
			requests = r.Requests
		}
	}
}

// Guards against a controller that is worse than a plain queue where it is
// needed: in overload and behind stragglers.
func TestControllerBeatsQueues(t *testing.T) {
	for _, d := range Deployments() {
		for _, s := range []Scenario{brief(Steady(1.5)), brief(Mix(1.5))} {
			objective := map[Policy]float64{}
			for _, p := range Policies() {
				objective[p] = Run(Config{Deployment: d, Scenario: s, Policy: p, Seed: 5}).Objective
			}
			for _, p := range []Policy{FIFO, FIFOTimeout} {
				if objective[Controller] <= objective[p] {
					t.Errorf("%s, %s: in objective %v", d.Name, s.Name, objective)
				}
			}
		}
	}
}

// Guards against renderings that drop a scenario, a policy or a figure.
func TestRenderings(t *testing.T) {
	all := Compare([]Scenario{brief(Spike()), brief(Steady(1))}, 1)
	var text, encoded bytes.Buffer
	if err := WriteText(&text, all); err != nil {
		t.Fatal(err)
	}
	if err := WriteJSON(&encoded, all); err != nil {
		t.Fatal(err)
	}
	var back []Summary
	if err := json.Unmarshal(encoded.Bytes(), &back); err != nil || len(back) != len(all) {
		t.Fatalf("%d of %d summaries decoded: %v", len(back), len(all), err)
	}
	for _, want := range []string{"muscat, spike", "perinka, load-1.00", "CONTROLLER", "FIFO", "p999 ms"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in the table", want)
		}
	}
}
