package targetsrv

import "sync"

// Report is how the health and load endpoints answer.
type Report string

// Values of Report. All but ReportTruth answer even while the target is frozen,
// as an agent beside the target would.
const (
	ReportTruth Report = ""
	// ReportGood always says healthy and without load.
	ReportGood Report = "good"
	// ReportBad always says unhealthy and fully loaded.
	ReportBad Report = "bad"
	// ReportStale repeats what was true when it was set.
	ReportStale Report = "stale"
)

// Faults are the target's settable faults. The zero value has none.
type Faults struct {
	// Frozen stops all progress, like a paused process: requests, grants and
	// running work wait until it is cleared. Connections are still accepted.
	Frozen bool `json:"frozen,omitempty"`
	// Silence, when it becomes true, makes the connections that are then open
	// go silent; connections opened later work. Clearing it lets them resume.
	Silence bool `json:"silence,omitempty"`
	// Draining tells the router that the target leaves.
	Draining bool `json:"draining,omitempty"`
	// Report is how the health and load endpoints answer.
	Report Report `json:"report,omitempty"`
	// IgnoreGrants leaves grant requests without an answer.
	IgnoreGrants bool `json:"ignore_grants,omitempty"`
	// Truncate closes the connection after this many body bytes of a response.
	Truncate int `json:"truncate,omitempty"`
	// LoseResponse closes the connection after the run, before the response.
	LoseResponse bool `json:"lose_response,omitempty"`
	// Slowdown multiplies the duration of work; values up to 1 change nothing.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// gate blocks its callers while it is closed.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // nil while the gate is open
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.open == nil:
		g.open = make(chan struct{})
	case !closed && g.open != nil:
		close(g.open)
		g.open = nil
	}
}

// wait returns once the gate is open or stop is closed.
func (g *gate) wait(stop <-chan struct{}) {
	for {
		g.mu.Lock()
		open := g.open
		g.mu.Unlock()
		if open == nil {
			return
		}
		select {
		case <-open:
		case <-stop:
			return
		}
	}
}
