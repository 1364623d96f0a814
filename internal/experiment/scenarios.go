package experiment

import (
	"fmt"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
)

// Deployments returns the workloads of the two deployments. The slots are the
// deployments' own; the shares and service times are assumptions.
func Deployments() []Deployment {
	return []Deployment{muscat(), perinka()}
}

func muscat() Deployment {
	return Deployment{Name: "muscat", Slots: 3, Classes: []Class{
		class("display", false, 0, 0.85, 8, 60, 500),
		class("booking", true, 1, 0.13, 15, 150, 1000),
		long(class("history", false, 0, 0.02, 200, 1000, 3000)),
	}}
}

func perinka() Deployment {
	return Deployment{Name: "perinka", Slots: 6, Classes: []Class{
		class("stock", false, 0, 0.75, 5, 40, 300),
		class("order", true, 1, 0.23, 20, 150, 1000),
		long(class("audit", false, 0, 0.02, 250, 1000, 3000)),
	}}
}

func class(name string, never bool, harm int, share float64, mean, objective, deadline int) Class {
	const sigma = 0.5
	return Class{
		Class: admission.Class{
			Name: name, NeverRepeat: never, Harm: harm,
			Objective: time.Duration(objective) * time.Millisecond,
			Deadline:  time.Duration(deadline) * time.Millisecond,
		},
		Share: share, Mean: time.Duration(mean) * time.Millisecond, Sigma: sigma,
	}
}

func long(c Class) Class {
	c.Long = true
	return c
}

// Lengths of the scenarios.
const (
	warmup   = 5 * time.Second
	duration = 35 * time.Second
	// change is the time at which steps, spikes and slowdowns begin.
	change = 15 * time.Second
)

// Loads are the multiples of the capacity at which goodput is reported.
var Loads = []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3}

// Steady returns a constant load of short requests.
func Steady(load float64) Scenario {
	return Scenario{Name: fmt.Sprintf("load-%.2f", load), Load: load, Warmup: warmup, Duration: duration}
}

// Spike returns a load of a half with two seconds at four times the capacity.
// The window is the 10 s after the spike.
func Spike() Scenario {
	const length = 2 * time.Second
	return Scenario{
		Name: "spike", Load: 0.6, Warmup: warmup, Duration: duration,
		Phases:     []Phase{{From: change, To: change + length, Load: 4}},
		WindowFrom: change + length, WindowTo: change + length + 10*time.Second,
	}
}

// Step returns a load that doubles from 0.75 to 1.5 for ten seconds, which are
// the window.
func Step() Scenario {
	const length = 10 * time.Second
	return Scenario{
		Name: "step", Load: 0.75, Warmup: warmup, Duration: duration,
		Phases:     []Phase{{From: change, To: change + length, Load: 1.5}},
		WindowFrom: change, WindowTo: change + length,
	}
}

// Mix returns a load with a class of stragglers.
func Mix(load float64) Scenario {
	return Scenario{
		Name: fmt.Sprintf("mix-%.2f", load), Load: load, Stragglers: true,
		Warmup: warmup, Duration: duration,
	}
}

// Hidden returns a load in which some requests of every class are stragglers.
func Hidden() Scenario {
	return Scenario{
		Name: "hidden", Load: 0.8, Hidden: 0.02, HiddenFactor: 25,
		Warmup: warmup, Duration: duration,
	}
}

// Unfair returns an overload most of which one caller sends.
func Unfair() Scenario {
	return Scenario{Name: "unfair", Load: 1.5, HeavyCaller: 0.7, Warmup: warmup, Duration: duration}
}

// Slow returns a target that takes four times as long for five seconds, whatever
// its concurrency. The window begins with the slowness and ends 5 s after it.
func Slow() Scenario {
	const length = 5 * time.Second
	return Scenario{
		Name: "slow", Load: 0.6, Warmup: warmup, Duration: duration,
		Phases:     []Phase{{From: change, To: change + length, Slowdown: 4}},
		WindowFrom: change, WindowTo: change + 2*length,
	}
}

// Contended returns a target whose throughput falls with its concurrency for ten
// seconds, which are the window.
func Contended() Scenario {
	const length = 10 * time.Second
	return Scenario{
		Name: "contended", Load: 0.3, Warmup: warmup, Duration: duration,
		Phases:     []Phase{{From: change, To: change + length, Contention: 1.7}},
		WindowFrom: change, WindowTo: change + length,
	}
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	var all []Scenario
	for _, load := range Loads {
		all = append(all, Steady(load))
	}
	return append(all, Spike(), Step(), Mix(0.8), Mix(1.5), Hidden(), Unfair(), Slow(), Contended())
}
