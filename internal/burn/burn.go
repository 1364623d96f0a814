// Package burn computes how fast each request class spends its error budget.
// A daemon keeps a History of its cumulative counters and hands out Snapshots;
// Merge adds the snapshots of several daemons up to one Report. The package is
// pure: times come in as arguments.
package burn

import (
	"errors"
	"time"

	"github.com/jackdawloom/jackdawloom/internal/state/manifest"
)

// Errors of this package.
var (
	// ErrNotLater reports a sample that is not later than the one before it.
	ErrNotLater = errors.New("sample is not later than the previous one")
	// ErrTooManySeries reports a sample with more classes than are kept.
	ErrTooManySeries = errors.New("too many request classes to sample")
	// ErrMalformed reports a snapshot that cannot be merged.
	ErrMalformed = errors.New("malformed burn snapshot")
	// ErrDuplicate reports two snapshots of the same daemon.
	ErrDuplicate = errors.New("two snapshots of the same daemon")
)

// SampleInterval is the time between samples that the history is made for. Ten
// samples fit into the shortest window, so its edge is off by at most a tenth.
const SampleInterval = 30 * time.Second

// Windows are the times over which burn rates are computed, shortest first.
// They are the pairs of the usual multi-window alerts: 5 min with 1 h, and
// 30 min with 6 h.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

const longestWindow = 6 * time.Hour

// BucketLength is the length of one point of the burn curve.
const BucketLength = 5 * time.Minute

// MaxBuckets bounds the points of a class: the longest window and one partial
// bucket at either end.
const MaxBuckets = int(longestWindow/BucketLength) + 1

// Samples that a history keeps: the longest window with one sample before it.
const keptSamples = int(longestWindow/SampleInterval) + 2

// MaxSeries bounds the classes of a history. One takes 11.5 KB, so the history
// takes at most 12 MB of the daemon's 64 MB.
const MaxSeries = 1024

// ClassID names a request class of a service.
type ClassID struct {
	Service string
	Class   string
}

// Counter counts requests since some start. Good requests were answered well
// within the latency of their class's objective.
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

// Rate returns the burn rate: 1 spends the error budget exactly as fast as the
// objective allows. Without requests nothing burns. Total and Good may be read
// at slightly different moments; more good than all requests count as none bad.
func (c Counter) Rate(o manifest.Objective) float64 {
	if c.Total == 0 || c.Good >= c.Total || o.Ratio >= 1 {
		return 0
	}
	bad := float64(c.Total-c.Good) / float64(c.Total)
	return bad / (1 - o.Ratio)
}
