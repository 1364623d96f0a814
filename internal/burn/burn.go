// Package burn computes the burn rate of each request class: how fast it consumes its
// error budget. A daemon keeps a History of its cumulative counters and takes
// Snapshots of it; Merge combines the snapshots of several daemons into one Report.
// The package does no I/O and reads no clock: times are passed as arguments.
package burn

import (
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

var (
	// ErrNotLater reports a sample that is not later than the one before it.
	ErrNotLater = errors.New("sample is not later than the previous one")
	// ErrTooManySeries reports a sample whose classes exceed MaxSeries.
	ErrTooManySeries = errors.New("too many request classes to sample")
	// ErrMalformed reports a snapshot that cannot be merged.
	ErrMalformed = errors.New("malformed burn snapshot")
	// ErrDuplicate reports two snapshots of the same daemon.
	ErrDuplicate = errors.New("two snapshots of the same daemon")
)

// SampleInterval is the intended time between samples. Ten samples fit into the
// shortest window, so the start of a window is off by at most a tenth of it.
const SampleInterval = 30 * time.Second

// Windows are the time windows over which burn rates are computed, shortest first.
// They are the pairs of the usual multi-window burn-rate alerts: 5 min with 1 h, and
// 30 min with 6 h.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const longestWindow = 6 * time.Hour

// BucketLength is the time that one point of the burn curve covers.
const BucketLength = 5 * time.Minute

// MaxBuckets limits the points of a class: the longest window with a partial bucket at
// either end.
const MaxBuckets = int(longestWindow/BucketLength) + 1

// maxSamples is the number of samples in a history: the longest window and one sample
// before it.
const maxSamples = int(longestWindow/SampleInterval) + 2

// MaxSeries limits the classes of a history. A class takes 11.5 KB, so the history
// takes at most 12 MB of the daemon's 64 MB.
const MaxSeries = 1024

// ClassID names a request class of a service.
type ClassID struct {
	Service string
	Class   string
}

// Counter counts requests from a given start. Good requests got a response without a
// server error within the latency objective of their class.
type Counter struct {
	Total uint64 `json:"total"`
	Good  uint64 `json:"good"`
}

func (c Counter) plus(d Counter) Counter {
	return Counter{Total: c.Total + d.Total, Good: c.Good + d.Good}
}

func (c Counter) minus(d Counter) Counter {
	return Counter{Total: c.Total - d.Total, Good: c.Good - d.Good}
}

// Rate returns the burn rate. At 1 the error budget is consumed exactly as fast as the
// objective allows; without requests the rate is 0. Total and Good may be read at
// slightly different times, so Good may exceed Total; no request then counts as bad.
func (c Counter) Rate(o manifest.Objective) float64 {
	if c.Total == 0 || c.Good >= c.Total || o.Ratio >= 1 {
		return 0
	}
	bad := float64(c.Total-c.Good) / float64(c.Total)
	return bad / (1 - o.Ratio)
}
