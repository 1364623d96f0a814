// Package grant defines the messages with which a coordinator grants keys to a target
// and revokes them. They are sent as JSON over HTTP, because targets are not part of
// the router.
package grant

// Path is the path of the target's endpoint for grants (POST).
const Path = "/jackdawloom/grant"

// Request grants the keys From to To, both inclusive, to a target until ExpiresMs, or
// releases them if Release is set. With neither, it queries the target's clock.
//
// A target refuses a fence lower than one that it has seen for any of the keys. After a
// release it also refuses grants with the fence of the release. It responds to a
// release once none of the running requests is for the keys.
type Request struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// BootID identifies the run of the target's process whose clock ExpiresMs refers to.
	// A target refuses a grant for another run: its clock was reset when it started, so
	// the expiry would denote a different time. A clock query needs no boot.
	BootID  string `json:"boot,omitempty"`
	From    uint16 `json:"from"`
	To      uint16 `json:"to"`
	Fence   uint64 `json:"fence"`
	Release bool   `json:"release,omitempty"`
	// ExpiresMs is a time of the target's own monotonic clock. Zero grants nothing.
	ExpiresMs int64 `json:"expires_ms,omitempty"`
}

// Outcome is the result of a request.
type Outcome string

// Values of Outcome.
const (
	// Done: the keys were granted or released, or the clock query was answered.
	Done Outcome = "done"
	// Fenced: the target has seen a higher fence for one of the keys, or the fence has
	// already been released.
	Fenced Outcome = "fenced"
	// OtherRun: the request is for another target or another run of this one.
	OtherRun Outcome = "other-run"
)

// Reply is the response to a request. If Outcome is not Done, nothing has changed.
type Reply struct {
	Outcome Outcome `json:"outcome"`
	Target  string  `json:"target"`
	// BootID identifies the run of the target's process. If it changes, the target's
	// clock was reset and its earlier grants are void.
	BootID string `json:"boot"`
	// NowMs is the current time of the target's monotonic clock.
	NowMs int64 `json:"now_ms"`
	// Draining states that the target is leaving, so its keys are moved to others.
	Draining bool `json:"draining,omitempty"`
	// Running is the number of requests that are running at the target.
	Running int `json:"running"`
}
