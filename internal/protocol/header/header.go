// Package header names the HTTP headers of the router and the values of the
// outcome header.
package header

// Headers on requests to targets and between daemons.
const (
	// FrontEpoch is the epoch of the front that sends the request.
	FrontEpoch = "Jackdawloom-Front-Epoch"
	// Unit is the unit of assignment of the request's key, such as s17.
	Unit = "Jackdawloom-Shard"
	// UnitEpoch is the epoch of the unit's assignment.
	UnitEpoch = "Jackdawloom-Shard-Epoch"
	// RequestID identifies one request of one caller through all hops.
	RequestID = "Jackdawloom-Request-Id"
	// DeadlineMs is the time left for the request in milliseconds.
	DeadlineMs = "Jackdawloom-Deadline-Ms"
)

// Outcome is the header that says whether a refused request ran.
const Outcome = "Jackdawloom-Outcome"

// Reason is the header that names the reason of a refusal.
const Reason = "Jackdawloom-Reason"

// Values of Outcome.
const (
	NotRun  = "not-run"
	Ran     = "ran"
	Unknown = "unknown"
)
