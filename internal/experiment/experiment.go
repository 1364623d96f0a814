// Package experiment compares admission policies on one simulated target in
// virtual time. Arrivals are open-loop: they do not slow down when the target
// does. The target is a set of slots with service times drawn per request, so
// the results compare policies and say nothing about networks or a cluster.
//
// It also compares the placement of keys with other assignments, by the number
// and the load of the keys alone.
//
// All policies of one configuration and seed see the same requests with the
// same service times.
package experiment

import (
	"time"

	"github.com/jackdawloom/jackdawloom/internal/coordination/admission"
)

// Class is a class of requests with its workload.
type Class struct {
	admission.Class
	// Share of the requests.
	Share float64
	// Mean service time, and Sigma of its log-normal distribution.
	Mean  time.Duration
	Sigma float64
	// HiddenShare of the class's requests take HiddenFactor times as long, which
	// nothing in the request reveals.
	HiddenShare, HiddenFactor float64
	// Long marks the class as one whose requests block shorter ones.
	Long bool
}

// expected returns the mean service time with hidden stragglers included.
func (c Class) expected() time.Duration {
	factor := 1 + c.HiddenShare*(c.HiddenFactor-1)
	return time.Duration(float64(c.Mean) * factor)
}

// Deployment is a target and its workload.
type Deployment struct {
	Name    string
	Slots   int
	Classes []Class
}

// meanWork returns the mean service time of a request.
func (d Deployment) meanWork() time.Duration {
	var work, share float64
	for _, c := range d.Classes {
		work += c.Share * float64(c.expected())
		share += c.Share
	}
	return time.Duration(work / share)
}

// Capacity returns the requests per second that occupy all slots.
func (d Deployment) Capacity() float64 {
	return float64(d.Slots) / d.meanWork().Seconds()
}

// Policy names an admission policy.
type Policy string

// Policies.
const (
	// Controller is the admission controller with the retry policy.
	Controller Policy = "controller"
	// FIFO is one unlimited queue in order of arrival.
	FIFO Policy = "fifo"
	// FIFOTimeout is FIFO whose callers give up after a fixed time and send the
	// request again, up to three times in all.
	FIFOTimeout Policy = "fifo-timeout-retry"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Controller, FIFO, FIFOTimeout} }

// Phase is a change of the load or the target during a run.
type Phase struct {
	From, To time.Duration
	// Load is a multiple of the capacity; zero leaves the load unchanged.
	Load float64
	// Slowdown multiplies the service times of requests started in the phase;
	// zero means one.
	Slowdown float64
	// Contention multiplies the service times by the running requests to this
	// power, so that above one the throughput falls with the concurrency.
	Contention float64
}

func (p Phase) contains(t time.Duration) bool { return t >= p.From && t < p.To }

// Scenario is a load over time.
type Scenario struct {
	Name string
	// Load is a multiple of the capacity.
	Load   float64
	Phases []Phase
	// Warmup is not measured; the target is cold at its start.
	Warmup, Duration time.Duration
	// WindowFrom and WindowTo bound the interval for Result.Window.
	WindowFrom, WindowTo time.Duration
	// Stragglers keeps the long classes in the workload.
	Stragglers bool
	// Hidden makes this share of the requests of each short class take
	// HiddenFactor times as long.
	Hidden, HiddenFactor float64
	// HeavyCaller is the share of the requests that one caller sends.
	HeavyCaller float64
}

// Config is one run.
type Config struct {
	Deployment Deployment
	Scenario   Scenario
	Policy     Policy
	// Without switches parts of the controller off.
	Without admission.Part
	Seed    uint64
}

// Run simulates one configuration. The result depends on nothing else.
func Run(c Config) Result {
	c.Deployment = c.Scenario.adapt(c.Deployment)
	s := newSim(c)
	s.run()
	return s.measure.result(c)
}

// adapt returns the deployment with the scenario's workload.
func (s Scenario) adapt(d Deployment) Deployment {
	classes := make([]Class, 0, len(d.Classes))
	for _, c := range d.Classes {
		if c.Long && !s.Stragglers {
			continue
		}
		if !c.Long {
			c.HiddenShare, c.HiddenFactor = s.Hidden, s.HiddenFactor
		}
		classes = append(classes, c)
	}
	d.Classes = classes
	return d
}
