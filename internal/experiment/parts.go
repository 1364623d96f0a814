package experiment

import "github.com/jackdawloom/jackdawloom/internal/coordination/admission"

// variant is the controller without some of its parts.
type variant struct {
	name    string
	without admission.Part
}

func variants() []variant {
	return []variant{
		{"all", 0},
		{"no order", admission.PartOrder},
		{"no reserve", admission.PartReserve},
		{"no turns", admission.PartTurns},
		{"no early", admission.PartEarly},
		{"no late-last", admission.PartLate},
		{"no gradient", admission.PartGradient},
		{"no harm", admission.PartHarm},
	}
}

// PartScenarios returns the scenarios that the parts of the controller are for.
func PartScenarios() []Scenario {
	return []Scenario{Steady(1.5), Steady(3), Mix(0.8), Unfair(), Contended()}
}

// Parts runs the controller with each of its parts switched off.
func Parts(deployments []Deployment, scenarios []Scenario, seeds int) []Summary {
	var all []Summary
	for _, d := range deployments {
		for _, sc := range scenarios {
			for _, v := range variants() {
				c := Config{Deployment: d, Scenario: sc, Policy: Controller, Without: v.without}
				all = append(all, Summarize(c, v.name, seeds))
			}
		}
	}
	return all
}
