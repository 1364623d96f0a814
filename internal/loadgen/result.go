package loadgen

// Result is the outcome of a run.
type Result struct {
	Config Config `json:"config"`
	// TookMs is the time until the last request had ended.
	TookMs int64 `json:"took_ms"`
	// Interrupted says that the run ended before its duration.
	Interrupted bool `json:"interrupted,omitempty"`
	// SendDelayMaxMs is the longest time between an intended arrival and its
	// sending. It is part of the latencies; a large one means that this machine
	// could not keep up with the load.
	SendDelayMaxMs float64       `json:"send_delay_max_ms"`
	Classes        []ClassResult `json:"classes"`
	// Seconds is the course of the run by the second of the intended arrival.
	Seconds []Second `json:"seconds"`
}

// ClassResult are the totals of a class.
type ClassResult struct {
	Class string `json:"class"`
	// Arrivals = Sent + NotSent. NotSent arrivals found too many requests in
	// flight, so the load was lower than intended.
	Arrivals uint64 `json:"arrivals"`
	Sent     uint64 `json:"sent"`
	NotSent  uint64 `json:"not_sent"`
	// Answered requests got a complete response that is no server error; Good
	// ones got it within the objective's latency.
	Answered    uint64 `json:"answered"`
	Good        uint64 `json:"good"`
	ObjectiveMs int    `json:"objective_ms"`
	// Throughput and Goodput are answered and good requests/s.
	Throughput float64 `json:"throughput"`
	Goodput    float64 `json:"goodput"`
	// Latency is that of answered requests, LatencyAll that of all sent ones,
	// both from the intended arrival.
	Latency    Latency        `json:"latency"`
	LatencyAll Latency        `json:"latency_all"`
	Refused    []RefusalCount `json:"refused,omitempty"`
	Failed     []FailureCount `json:"failed,omitempty"`
}

// Latency holds quantiles in ms.
type Latency struct {
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`
}

// Refusal is a refusal by the router.
type Refusal struct {
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// RefusalCount counts equal refusals.
type RefusalCount struct {
	Refusal
	Count uint64 `json:"count"`
}

// FailureCount counts requests without a complete response, and server errors
// of targets.
type FailureCount struct {
	Failure string `json:"failure"`
	Count   uint64 `json:"count"`
}

// Second is one second of the run, over all classes.
type Second struct {
	At       int     `json:"at"`
	Arrivals uint64  `json:"arrivals"`
	Good     uint64  `json:"good"`
	NotSent  uint64  `json:"not_sent"`
	P99Ms    float64 `json:"p99_ms"` // of answered requests
}
