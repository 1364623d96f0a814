// Package admission decides which requests a front starts at its target, in
// which order, and which it refuses as not run.
//
// A Controller is pure: it has no clock, socket, goroutine or random source.
// Every method takes the current time, which must not decrease between calls.
// A Controller is not safe for concurrent use.
//
// Each offered request ends exactly once: it is started (and later reported by
// Done), refused by Offer, or listed in Changes.Removed. Only a started request
// may be sent to the target; all other ends are certain to be not run.
package admission

import (
	"time"

	"github.com/joomcode/errorx"
)

// Defaults and limits of a Config.
const (
	// DefaultQueuePerSlot bounds the queue at about 0.6 s of work of 10 ms.
	DefaultQueuePerSlot = 64
	// MaxClasses bounds the cost of one scheduling decision.
	MaxClasses = 64
)

// Errors of this package.
var (
	errNamespace = errorx.NewNamespace("admission")
	// ErrConfig reports an unusable Config.
	ErrConfig = errNamespace.NewType("config")
)

// Class describes one class of requests.
type Class struct {
	Name        string
	NeverRepeat bool
	// Deadline bounds a request that carries no deadline of its own.
	Deadline time.Duration
	// Objective is the latency within which a response counts as good; zero means
	// the deadline.
	Objective time.Duration
	// Harm orders the classes for shedding: the lowest is shed first.
	Harm int
}

// Config is the configuration of one target's Controller.
type Config struct {
	// Slots is the number of requests that the target may run at once.
	Slots int
	// QueuePerSlot bounds the queue; zero means DefaultQueuePerSlot.
	QueuePerSlot int
	Classes      []Class
	// Without switches parts of the policy off, to measure what each is worth.
	Without Part
}

// Part is a set of optional parts of the policy.
type Part uint

// Parts.
const (
	// PartOrder starts requests of a shorter expected cost first.
	PartOrder Part = 1 << iota
	// PartReserve keeps stragglers out of the last slot.
	PartReserve
	// PartTurns serves the callers of a class in turn.
	PartTurns
	// PartEarly refuses requests that are estimated to miss their deadline.
	PartEarly
	// PartLate starts requests that have missed their objective last.
	PartLate
	// PartGradient lowers the limit when the target slows down.
	PartGradient
	// PartHarm starts requests of the more harmful classes first at overload.
	PartHarm
)

func (c Config) validate() error {
	if c.Slots < 1 {
		return ErrConfig.New("slots must be at least 1, not %d", c.Slots)
	}
	if c.QueuePerSlot < 0 {
		return ErrConfig.New("queue per slot must not be negative")
	}
	if len(c.Classes) == 0 || len(c.Classes) > MaxClasses {
		return ErrConfig.New("between 1 and %d classes are needed, not %d", MaxClasses, len(c.Classes))
	}
	names := make(map[string]bool, len(c.Classes))
	for _, class := range c.Classes {
		if names[class.Name] {
			return ErrConfig.New("class %q is given twice", class.Name)
		}
		names[class.Name] = true
		if class.Deadline <= 0 || class.Objective < 0 {
			return ErrConfig.New("class %q needs a positive deadline and no negative objective", class.Name)
		}
	}
	return nil
}

// state returns the initial state of the class.
func (c Class) state() classState {
	if c.Objective == 0 {
		c.Objective = c.Deadline
	}
	return classState{Class: c, classQueue: newClassQueue()}
}

func (c Config) queueBound() int {
	if c.QueuePerSlot == 0 {
		return c.Slots * DefaultQueuePerSlot
	}
	return c.Slots * c.QueuePerSlot
}

// Request is one request to be admitted.
type Request struct {
	// ID identifies the request among those not yet ended.
	ID uint64
	// Class is the index of the request's class in Config.Classes.
	Class int
	// Caller is the unit of fairness within a class.
	Caller string
	// Deadline is the time by which the response must be complete; zero means
	// the class's deadline from now.
	Deadline time.Time
}

// Verdict is the immediate answer to an offered request.
type Verdict int

// Verdicts.
const (
	Refused Verdict = iota
	Queued
	Run
)

// Reason says why a request was refused or removed; in all cases it did not run.
type Reason string

// Reasons.
const (
	// ReasonQueueFull: the queue is full and nothing less harmful can be shed.
	ReasonQueueFull Reason = "queue-full"
	// ReasonFairShare: the queue is full and the caller holds the largest share.
	ReasonFairShare Reason = "caller-share"
	// ReasonDeadline: the request cannot complete before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonShed: a queued request gave way to another one.
	ReasonShed Reason = "shed"
	// ReasonInvalid: the id is in use or the class does not exist.
	ReasonInvalid Reason = "invalid"
	// ReasonDraining is for Abort when the front leaves its target, and for
	// requests whose class no longer exists.
	ReasonDraining Reason = "draining"
)

// Start says that a queued request is to be sent to the target now.
type Start struct {
	ID     uint64
	Class  int
	Waited time.Duration
}

// Removed says that a queued request ended without having run.
type Removed struct {
	ID     uint64
	Class  int
	Reason Reason
}

// Changes lists what happened to queued requests during a call.
type Changes struct {
	Starts  []Start
	Removed []Removed
}

// Decision is the answer to Offer. Changes never names the offered request
// itself.
type Decision struct {
	Verdict Verdict
	// Reason is set when the request is refused.
	Reason Reason
	Changes
}

// Result is how a started request ended.
type Result int

// Results.
const (
	// OK: the target responded.
	OK Result = iota
	// Shed: the target refused the request because of its load.
	Shed
	// Failed: the connection failed or the target reported an error.
	Failed
	// Silent: the target did not respond in time.
	Silent
	// Cancelled: the caller gave up while the request ran.
	Cancelled

	resultCount
)
