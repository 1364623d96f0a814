package balance

import (
	"testing"
	"time"
)

// Guards against choosing by exchanged loads that are older than a report, and against using a
// report after the load has changed.
func TestRecentReportGoesBeforeExchangedLoads(t *testing.T) {
	now := time.Second
	e := &Estimate{Slots: 2, Running: 1}
	e.RecordReport(now, Report{Load: 3, Slowdown: 1})
	if e.Load() != 3 {
		t.Errorf("load %d after a report of 3", e.Load())
	}
	e.SetFleetLoad(now+loadLifetime/2, 9)
	if e.Load() != 3 {
		t.Errorf("load %d, want that of the recent report", e.Load())
	}
	e.Running++
	if e.Load() != 4 {
		t.Errorf("load %d after another request of this daemon", e.Load())
	}
	e.SetFleetLoad(now+loadLifetime, 9)
	if e.Load() != 9 {
		t.Errorf("load %d, want the exchanged one after the report's lifetime", e.Load())
	}
}

// Guards against taking a target's speed twice, from its report and from its measured time, and
// against changing the estimate of targets that report nothing.
func TestSlowdownInEstimates(t *testing.T) {
	const work = 100 * time.Millisecond
	now := time.Second
	normalized := &Estimate{Slots: 2, Normalized: true}
	if got := normalized.RecordResponse(3*work, 0, 3); got != work {
		t.Errorf("service time %v of a response that took three times as long, want %v", got, work)
	}
	normalized.RecordReport(now, Report{Slowdown: 2})
	if got := normalized.ExpectedLatency(now, work); got != 2*work {
		t.Errorf("normalized: %v, want the service time at the reported slowdown", got)
	}
	mean := &Estimate{Slots: 2}
	mean.SetServiceTime(work)
	mean.RecordReport(now, Report{Slowdown: 3})
	if got := mean.ExpectedLatency(now, work); got != work {
		t.Errorf("one report: %v, want the service time as the mean slowdown is not known", got)
	}
	for range 100 {
		mean.RecordReport(now, Report{Slowdown: 2})
	}
	mean.RecordReport(now, Report{Slowdown: 4})
	if got := mean.ExpectedLatency(now, work); got < work*3/2 || got > 2*work {
		t.Errorf("%v at twice the mean slowdown, want almost twice the service time", got)
	}
	if got := mean.ExpectedLatency(now+slowdownLifetime, work); got != work {
		t.Errorf("%v after the report's lifetime, want the service time", got)
	}
}
