// Package header defines the names of the HTTP headers that callers, daemons and
// targets exchange, and the values of the outcome header.
package header

// Headers on requests to targets.
const (
	// Target identifies, as SERVICE/NAME, the only target that may run the request. Any
	// other target responds with 421 Misdirected Request and its own name.
	Target = "Jackdawloom-Target"
	// Key is the request's key as a point of the service's key space, from 0 to
	// 65535. A target to which the key is not granted responds with 421.
	Key = "Jackdawloom-Key"
	// RequestID identifies the request. A target copies it to its response.
	RequestID = "Jackdawloom-Request-Id"
	// DeadlineMs is the time remaining for the request, in milliseconds.
	DeadlineMs = "Jackdawloom-Deadline-Ms"
	// Leaving marks, by the value 1, the responses of a target that is leaving.
	Leaving = "Jackdawloom-Leaving"
	// Handover carries data from a target that releases keys to their next owner.
	Handover = "Jackdawloom-Handover"
)

// Outcome is the header that states whether a refused request has run.
const Outcome = "Jackdawloom-Outcome"

// Reason is the header that states why a request was refused.
const Reason = "Jackdawloom-Reason"

// Values of Outcome.
const (
	NotRun  = "not-run"
	Unknown = "unknown"
)
