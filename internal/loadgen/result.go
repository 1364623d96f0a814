package loadgen

// Result is the result of a run.
type Result struct {
	Config Config `json:"config"`
	// TookMs is the time from the start until the run ended, including the wait for
	// requests in flight.
	TookMs int64 `json:"took_ms"`
	// Interrupted states that the run ended before Config.Duration.
	Interrupted bool `json:"interrupted,omitempty"`
	// SendDelayMaxMs is the longest time between an intended arrival and its sending.
	// Latencies include this delay; a large value means that the machine of the load
	// generator could not keep up with the load.
	SendDelayMaxMs float64       `json:"send_delay_max_ms"`
	Classes        []ClassResult `json:"classes"`
	// Seconds holds the totals for each second of the run, by intended arrival.
	Seconds []Second `json:"seconds"`
}

// ClassResult holds the totals of a class.
type ClassResult struct {
	Class string `json:"class"`
	// Arrivals is the sum of Sent and NotSent. NotSent counts arrivals that were dropped
	// because Config.InFlight requests were in flight, so the load was lower than
	// intended.
	Arrivals uint64 `json:"arrivals"`
	Sent     uint64 `json:"sent"`
	NotSent  uint64 `json:"not_sent"`
	// Answered counts requests with a complete response that is neither a refusal by the
	// router nor a server error. Good counts those of them whose latency was within the
	// objective.
	Answered    uint64 `json:"answered"`
	Good        uint64 `json:"good"`
	ObjectiveMs int    `json:"objective_ms"`
	// Throughput and Goodput are the rates of answered and good requests per second.
	Throughput float64 `json:"throughput"`
	Goodput    float64 `json:"goodput"`
	// Latency covers the answered requests, LatencyAll all sent requests. Both are
	// measured from the intended arrival.
	Latency    Latency        `json:"latency"`
	LatencyAll Latency        `json:"latency_all"`
	Refused    []RefusalCount `json:"refused,omitempty"`
	Failed     []FailureCount `json:"failed,omitempty"`
}

// Latency holds latency quantiles in milliseconds.
type Latency struct {
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`
}

// Refusal identifies refusals by the router that have the same status, outcome and reason.
type Refusal struct {
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// RefusalCount is the number of equal refusals.
type RefusalCount struct {
	Refusal
	Count uint64 `json:"count"`
}

// FailureCount is the number of requests with the same failure: no complete response, or a
// server error that is not a refusal by the router.
type FailureCount struct {
	Failure string `json:"failure"`
	Count   uint64 `json:"count"`
}

// Second holds the totals of one second of the run over all classes.
type Second struct {
	At       int     `json:"at"`
	Arrivals uint64  `json:"arrivals"`
	Good     uint64  `json:"good"`
	NotSent  uint64  `json:"not_sent"`
	P99Ms    float64 `json:"p99_ms"` // of answered requests
}
