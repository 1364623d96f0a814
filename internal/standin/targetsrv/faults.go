package targetsrv

import "sync"

// Report selects what the health and load endpoints report.
type Report string

// Values of Report. With all but ReportActual, the endpoints respond even while the
// target is frozen, as a separate agent on the same machine would.
const (
	ReportActual Report = ""
	// ReportHealthy always reports a healthy target without load.
	ReportHealthy Report = "good"
	// ReportUnhealthy always reports an unhealthy target with all slots in use.
	ReportUnhealthy Report = "bad"
	// ReportStale repeats the state at the time when it was set.
	ReportStale Report = "stale"
)

// Faults are the faults that can be injected. The zero value injects none.
type Faults struct {
	// Frozen stops all progress, like a paused process: new requests, grants and
	// running requests wait until it is cleared. Connections are still accepted.
	Frozen bool `json:"frozen,omitempty"`
	// Silence, when it becomes true, makes the connections that are open at that
	// time transfer no more data; connections opened later work. Clearing it lets
	// the silent connections resume.
	Silence bool `json:"silence,omitempty"`
	// Draining announces to the router that the target is leaving.
	Draining bool `json:"draining,omitempty"`
	// Leaving makes the target say in all responses that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// PauseSeconds makes the target refuse requests and ask for none for this time.
	PauseSeconds float64 `json:"pause_seconds,omitempty"`
	// Report selects what the health and load endpoints report.
	Report Report `json:"report,omitempty"`
	// IgnoreGrants leaves grant requests without a response.
	IgnoreGrants bool `json:"ignore_grants,omitempty"`
	// Truncate closes the connection after this many bytes of a response body. It
	// does not affect shorter bodies; zero disables it.
	Truncate int `json:"truncate,omitempty"`
	// LoseResponse closes the connection after the request ran, before the response
	// is sent.
	LoseResponse bool `json:"lose_response,omitempty"`
	// Slowdown multiplies the service time; values up to 1 have no effect.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// gate blocks goroutines in wait while it is closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open or stop is closed.
func (g *gate) wait(stop <-chan struct{}) {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		select {
		case <-opened:
		case <-stop:
			return
		}
	}
}
