// Package grant defines the messages by which a front grants a target its
// units of assignment. They travel as JSON over HTTP, since targets are not
// part of the router.
package grant

// Path is the target's endpoint for grants (POST).
const Path = "/jackdawloom/grant"

// Shard is one granted shard with its epoch.
type Shard struct {
	Shard uint32 `json:"shard"`
	Epoch uint32 `json:"epoch"`
}

// HotKey is one granted override with its epoch. Hash is 16 hex digits.
type HotKey struct {
	Hash  string `json:"hash"`
	Epoch uint32 `json:"epoch"`
}

// Request is a grant. A request with Renew set keeps the units of the stated
// version and only moves the expiry; Shards and HotKeys are then empty.
type Request struct {
	Service    string `json:"service"`
	Target     string `json:"target"`
	FrontEpoch uint64 `json:"front_epoch"`
	Version    uint64 `json:"version"`
	Renew      bool   `json:"renew,omitempty"`
	// Boot is the run of the target's process whose clock ExpiresMs refers
	// to. A target refuses a grant for another run: a restarted clock would
	// make it last too long.
	Boot string `json:"boot,omitempty"`
	// ExpiresMs is on the target's own monotonic clock. Zero asks for a
	// reading of that clock and grants nothing.
	ExpiresMs int64    `json:"expires_ms"`
	Shards    []Shard  `json:"shards,omitempty"`
	HotKeys   []HotKey `json:"hot_keys,omitempty"`
}

// Reply answers a grant. Accepted false means that nothing changed.
type Reply struct {
	Accepted   bool   `json:"accepted"`
	FrontEpoch uint64 `json:"front_epoch"`
	Version    uint64 `json:"version"`
	// NowMs is the target's monotonic clock.
	NowMs int64 `json:"now_ms"`
	// Boot identifies the run of the target's process. A change means that its
	// clock and its grants started anew.
	Boot string `json:"boot"`
	// Draining is set when the target is leaving.
	Draining bool `json:"draining,omitempty"`
	// Running is the number of requests that run at the target.
	Running int `json:"running"`
}
