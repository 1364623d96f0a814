// Package retry decides whether an entry repeats a request.
//
// A never-repeat request is repeated only if every earlier attempt is proven
// not to have run. An idempotent one is also repeated when that is unknown. The
// package is pure: time and jitter are arguments.
package retry

import (
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jackdawloom/jackdawloom/internal/protocol/header"
)

// Defaults of Config.
const (
	// DefaultInitialDelay is about the time in which a handover within one
	// process completes.
	DefaultInitialDelay = 10 * time.Millisecond
	// DefaultMaxDelay bounds how long a key that is served again waits.
	DefaultMaxDelay = 200 * time.Millisecond
	delayMultiplier = 2
)

// Config holds the delays between attempts. Zero values mean the defaults.
type Config struct {
	InitialDelay time.Duration
	MaxDelay     time.Duration
}

// Outcome says whether an attempt ran at its target. The zero Outcome means
// that there was no attempt.
type Outcome string

// Outcomes.
const (
	NotRun  Outcome = header.NotRun
	Ran     Outcome = header.Ran
	Unknown Outcome = header.Unknown
)

// certainty orders outcomes by what is lost if the request is repeated.
func (o Outcome) certainty() int {
	switch o {
	case "":
		return 0
	case NotRun:
		return 1
	case Ran:
		return 3
	default:
		return 2
	}
}

// known maps everything that is not proof of an outcome to Unknown.
func (o Outcome) known() Outcome {
	if o == NotRun || o == Ran {
		return o
	}
	return Unknown
}

// Combine returns the outcome of a request of which one attempt had outcome o
// and another p.
func (o Outcome) Combine(p Outcome) Outcome {
	if p.certainty() > o.certainty() {
		return p
	}
	return o
}

// Attempt describes a failed attempt of a request.
type Attempt struct {
	NeverRepeat bool
	// Number counts the attempts made so far, this one included; from 1.
	Number int
	// Outcome is that of this attempt. Anything but the named values counts as
	// Unknown.
	Outcome Outcome
	// Previous is Decision.Outcome of the preceding attempt; empty at the first.
	Previous Outcome
	// Status is the status to give to the caller if this attempt is the last;
	// zero selects one by the outcome.
	Status int
	// Overload tells that the attempt was refused because of load. Such retries
	// count against the budget even though the request did not run. Retries after
	// a not-run refusal for another reason (a key being moved, an owner without
	// authority) do not: they reach no target, and a handover would otherwise
	// fail nine of ten requests.
	Overload bool
	// RetryAfter is the least delay that the refusal asked for, if any.
	RetryAfter time.Duration
	// Expected is the time that another attempt typically takes, if known.
	Expected time.Duration
	// Deadline is the time by which the caller must have its response.
	Deadline time.Time
	// BodyReplayable tells that the request's body can be sent again in full.
	BodyReplayable bool
	// Jitter is in [0, 1) and spreads the delay over its upper half.
	Jitter float64
}

// Decision says whether to repeat a request. Outcome covers all attempts so
// far.
type Decision struct {
	Retry bool
	// After is the delay before the next attempt, if Retry.
	After time.Duration
	// Status is the status to give to the caller, unless Retry.
	Status  int
	Outcome Outcome
}

// Policy decides on retries within a Budget. It is not safe for concurrent use.
type Policy struct {
	config Config
	budget Budget
	counts Counts
}

// Counts are totals since New.
type Counts struct {
	Requests, Retries, OverBudget, OutOfTime, Unsafe uint64
}

// New returns a Policy.
func New(c Config) *Policy {
	if c.InitialDelay <= 0 {
		c.InitialDelay = DefaultInitialDelay
	}
	if c.MaxDelay <= 0 {
		c.MaxDelay = DefaultMaxDelay
	}
	return &Policy{config: c}
}

// Request counts a new request, from which the budget is computed.
func (p *Policy) Request(now time.Time) {
	p.counts.Requests++
	p.budget.Request(now)
}

// Counts returns the totals.
func (p *Policy) Counts() Counts { return p.counts }

// Decide returns what to do after a failed attempt.
func (p *Policy) Decide(a Attempt, now time.Time) Decision {
	a.Outcome = a.Outcome.known()
	outcome := a.Previous.Combine(a.Outcome)
	if !repeatable(a, outcome) {
		p.counts.Unsafe++
		return giveUp(a, outcome, now)
	}
	delay := max(p.delay(a), a.RetryAfter)
	if !now.Add(delay).Add(a.Expected).Before(a.Deadline) {
		p.counts.OutOfTime++
		return giveUp(a, outcome, now)
	}
	if (a.Overload || a.Outcome != NotRun) && !p.budget.Allow(now) {
		p.counts.OverBudget++
		return giveUp(a, outcome, now)
	}
	p.counts.Retries++
	return Decision{Retry: true, After: delay, Outcome: outcome}
}

func repeatable(a Attempt, outcome Outcome) bool {
	if !a.BodyReplayable || outcome == Ran {
		return false
	}
	return outcome == NotRun || !a.NeverRepeat
}

// delay grows exponentially with the number of attempts; jitter takes up to
// half of it away.
func (p *Policy) delay(a Attempt) time.Duration {
	b := backoff.ExponentialBackOff{
		InitialInterval: p.config.InitialDelay,
		MaxInterval:     p.config.MaxDelay,
		Multiplier:      delayMultiplier,
	}
	d := b.NextBackOff()
	for i := 1; i < a.Number && d < p.config.MaxDelay; i++ {
		d = b.NextBackOff()
	}
	half := min(d, p.config.MaxDelay) / 2
	return half + time.Duration(min(max(a.Jitter, 0), 1)*float64(half))
}

// giveUp keeps the status of the last attempt unless the deadline has passed.
func giveUp(a Attempt, outcome Outcome, now time.Time) Decision {
	switch {
	case !now.Before(a.Deadline):
		return Decision{Status: http.StatusGatewayTimeout, Outcome: outcome}
	case a.Status != 0:
		return Decision{Status: a.Status, Outcome: outcome}
	case outcome == NotRun:
		return Decision{Status: http.StatusServiceUnavailable, Outcome: outcome}
	default:
		return Decision{Status: http.StatusBadGateway, Outcome: outcome}
	}
}
