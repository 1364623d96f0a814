// Package grant defines the messages by which a coordinator gives keys to a target
// and takes them back. They travel as JSON over HTTP, since targets are not part of
// the router.
package grant

// Path is the target's endpoint for grants (POST).
const Path = "/jackdawloom/grant"

// Request gives the keys From to To, both included, to a target until ExpiresMs, or
// takes them back if Release is set. One with neither asks for a reading of the
// target's clock.
//
// A target refuses a fence lower than one that it has seen for any of the keys, and
// after a release also that of the release. It answers a release once no request
// for the keys runs.
type Request struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Boot is the run of the target whose clock ExpiresMs was read from. A target
	// refuses a grant that names another run: its clock started anew, so the expiry
	// would have another meaning. A reading needs no boot.
	Boot    string `json:"boot,omitempty"`
	From    uint16 `json:"from"`
	To      uint16 `json:"to"`
	Fence   uint64 `json:"fence"`
	Release bool   `json:"release,omitempty"`
	// ExpiresMs is on the target's own monotonic clock. Zero grants nothing.
	ExpiresMs int64 `json:"expires_ms,omitempty"`
}

// Outcome says what a target did with a request.
type Outcome string

// Values of Outcome.
const (
	// Done: the keys are granted or released; for a reading, that it is one.
	Done Outcome = "done"
	// Fenced: a higher fence was seen on one of the keys.
	Fenced Outcome = "fenced"
	// OtherRun: the request names another target or another run of it.
	OtherRun Outcome = "other-run"
)

// Reply answers a request. If Outcome is not Done, nothing changed.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Target  string  `json:"target"`
	// Boot identifies the run of the target's process. A change means that its
	// clock and its grants started anew.
	Boot string `json:"boot"`
	// NowMs is the target's monotonic clock.
	NowMs int64 `json:"now_ms"`
	// Draining is set when the target is leaving.
	Draining bool `json:"draining,omitempty"`
	// Running is the number of requests that run at the target.
	Running int `json:"running"`
}
