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
	// Service is the service of a forwarded request.
	Service = "Jackdawloom-Service"
	// Class is the request class of a forwarded request.
	Class = "Jackdawloom-Class"
	// KeyHash is the hash of a forwarded request's key, as 16 hex digits.
	KeyHash = "Jackdawloom-Key-Hash"
	// Caller identifies the caller of a forwarded request for fair queueing.
	Caller = "Jackdawloom-Caller"
	// Host is the Host field of a forwarded request.
	Host = "Jackdawloom-Host"
	// TableRevision is the table revision that a forward was routed by.
	TableRevision = "Jackdawloom-Table-Revision"
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
