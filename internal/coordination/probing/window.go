package probing

import "math/rand/v2"

const (
	// windowSize is the number of targets that are considered for one request, so that the
	// work per request does not grow with the number of targets.
	windowSize = 64
	// stableShare is the part of the window that is the same for all requests of a daemon, so
	// that it uses its connections again. Several rounds fit into it.
	stableShare = 0.75
)

// Window is the part of a service's targets that is considered for a request. The stable part
// begins at a place of the daemon, the rest at one of the request: targets that are in the
// stable part of few daemons get requests too.
type Window struct {
	daemon, request float64 // places in [0, 1)
}

// NewWindow returns a window with a random stable part.
func NewWindow() Window { return Window{daemon: rand.Float64()} }

// ForRequest returns the window of one request.
func (w Window) ForRequest() Window { return Window{daemon: w.daemon, request: rand.Float64()} }

// Indexes returns the indexes of the considered ones among n targets that are ordered in the same
// way each time. It returns nil if all are considered.
func (w Window) Indexes(n int) []int {
	if n <= windowSize {
		return nil
	}
	stable := int(stableShare * windowSize)
	first := int(w.daemon * float64(n))
	out := make([]int, 0, windowSize)
	for i := range stable {
		out = append(out, (first+i)%n)
	}
	// The request's part begins behind the stable one and ends before it begins again.
	second := first + stable + int(w.request*float64(n-windowSize+1))
	for i := range windowSize - stable {
		out = append(out, (second+i)%n)
	}
	return out
}
