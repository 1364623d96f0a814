// Package header names the HTTP headers that callers, daemons and targets exchange,
// and the values of the outcome header.
package header

// Headers on requests to targets.
const (
	// Target is SERVICE/NAME of the only target that may run the request. Another
	// one answers 421 Misdirected Request and its own name.
	Target = "Jackdawloom-Target"
	// Key is the request's key as a point of the service's key space, from 0 to
	// 65535. A target that was not granted it answers 421.
	Key = "Jackdawloom-Key"
	// RequestID identifies a request; a target returns it.
	RequestID = "Jackdawloom-Request-Id"
	// DeadlineMs is the time left for the request in milliseconds.
	DeadlineMs = "Jackdawloom-Deadline-Ms"
	// Handover is what a target that gives keys up has to say to the next owner.
	Handover = "Jackdawloom-Handover"
)

// Outcome is the header that says whether a refused request ran.
const Outcome = "Jackdawloom-Outcome"

// Reason is the header that names the reason of a refusal.
const Reason = "Jackdawloom-Reason"

// Values of Outcome.
const (
	NotRun  = "not-run"
	Unknown = "unknown"
)
