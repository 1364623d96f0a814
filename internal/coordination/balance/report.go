package balance

import "time"

// Lifetimes of the figures of a load report.
const (
	// loadLifetime is how long a reported load goes before the exchanged loads, which are 50 to
	// 200 ms old themselves. A target that starts and ends a dozen requests per second has
	// changed its load by then.
	loadLifetime = 100 * time.Millisecond
	// slowdownLifetime is how long a reported slowdown is used. Slowdowns come from the load of
	// a shared machine and last for some hundred milliseconds.
	slowdownLifetime = 200 * time.Millisecond
	// minReports is the number of reports from which the mean slowdown of a target is known.
	minReports = 8
)

// Report is what a target says about its load.
type Report struct {
	// Load is the number of requests of all callers that run or wait at the target.
	Load int
	// Slowdown is the time that work takes now as a multiple of the usual time.
	Slowdown float64
}

// RecordReport records a load report that the target has just sent.
func (e *Estimate) RecordReport(now time.Duration, r Report) {
	if e.reports == 0 {
		e.meanSlowdown = r.Slowdown
	}
	e.reports++
	e.meanSlowdown += smoothingFactor * (r.Slowdown - e.meanSlowdown)
	e.reportedAt, e.slowdown = now, r.Slowdown
	e.RunningElsewhere = max(r.Load-e.Running, 0)
}

// SetFleetLoad records the running requests of all daemons, including this one, unless a recent
// load report tells more.
func (e *Estimate) SetFleetLoad(now time.Duration, load int) {
	if !e.reportedWithin(now, loadLifetime) {
		e.RunningElsewhere = max(load-e.Running, 0)
	}
}

// ReportAge returns the time since the last load report, and false if there was none.
func (e *Estimate) ReportAge(now time.Duration) (time.Duration, bool) {
	return now - e.reportedAt, e.reportedAt > 0
}

// slowdownFactor returns the factor between the measured service time and that of a request which
// starts now.
func (e *Estimate) slowdownFactor(now time.Duration) float64 {
	recent := e.reportedWithin(now, slowdownLifetime)
	switch {
	case e.reports == 0:
		return 1
	case e.Normalized && recent:
		return e.slowdown
	case e.Normalized:
		return e.meanSlowdown
	case recent && e.reports >= minReports:
		return e.slowdown / e.meanSlowdown
	default:
		return 1
	}
}

func (e *Estimate) reportedWithin(now, limit time.Duration) bool {
	age, reported := e.ReportAge(now)
	return reported && age < limit
}
