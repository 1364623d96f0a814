package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// LoadReport is what a target says about its load in a response.
type LoadReport struct {
	// Running and Waiting are the requests of all callers that have a slot and that wait for
	// one.
	Running, Waiting int
	Slots            int
	// Slowdown is how long work takes now, as a multiple of the usual time; 1 if the target
	// does not say.
	Slowdown float64
}

// Ranges of the figures of a load report. A report beyond them is ignored.
const (
	maxReportedRequests = 1 << 16
	maxReportedPercent  = 100_000
	usualPercent        = 100
)

// maxColdMillis bounds the time for which a target may say that it stays cold.
const maxColdMillis = int64(time.Hour / time.Millisecond)

// ColdTime returns how long the target that sent a response stays cold, and whether the response
// says that.
func (n *HeaderNames) ColdTime(h http.Header) (time.Duration, bool) {
	if n.ColdRemaining == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(n.ColdRemaining)), 10, 64)
	if err != nil || ms < 0 || ms > maxColdMillis {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// LoadReport returns the load report in the header of a response, and whether there is a valid
// one: running and waiting requests, slots and, optionally, the time that work takes in percent
// of the usual time, separated by commas.
func (n *HeaderNames) LoadReport(h http.Header) (LoadReport, bool) {
	if n.Load == "" {
		return LoadReport{}, false
	}
	fields := strings.Split(h.Get(n.Load), ",")
	if len(fields) != 3 && len(fields) != 4 {
		return LoadReport{}, false
	}
	var counts [3]int
	for i := range counts {
		v, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || v < 0 || v > maxReportedRequests {
			return LoadReport{}, false
		}
		counts[i] = v
	}
	percent := float64(usualPercent)
	if len(fields) == 4 {
		v, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
		if err != nil || !(v > 0 && v <= maxReportedPercent) { // also true for NaN
			return LoadReport{}, false
		}
		percent = v
	}
	if counts[2] == 0 {
		return LoadReport{}, false
	}
	return LoadReport{Running: counts[0], Waiting: counts[1], Slots: counts[2], Slowdown: percent / usualPercent}, true
}
