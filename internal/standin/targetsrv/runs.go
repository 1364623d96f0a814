package targetsrv

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// RunState is the state of a run.
type RunState string

// States of a run.
const (
	RunRunning   RunState = "running"
	RunDone      RunState = "done"
	RunCancelled RunState = "cancelled"
	RunDeadline  RunState = "deadline"
	// RunCut is a run that finished but whose response was lost or truncated.
	RunCut RunState = "cut"
)

// Run is the record of one execution of a request. Times are milliseconds on the
// target's monotonic clock.
type Run struct {
	Seq       int    `json:"seq"`
	RequestID string `json:"request_id"`
	// Tag is the value of the request's tag parameter, chosen by the caller.
	Tag     string   `json:"tag,omitempty"`
	Key     string   `json:"key"`
	Fence   uint64   `json:"fence"`
	StartMs float64  `json:"start_ms"`
	EndMs   float64  `json:"end_ms,omitempty"`
	State   RunState `json:"state"`
	// Draining states that the run started while the target was draining.
	Draining bool `json:"draining,omitempty"`
}

// RunLog records every run. When it is full, it discards the oldest half and counts
// the discarded runs, so that a reader can tell that the log is incomplete.
type RunLog struct {
	mu        sync.Mutex
	runs      []Run
	discarded int
	limit     int
	sink      io.Writer
}

// RecordTo also writes every run to w when it begins, as one JSON object per line,
// so that the log outlives the process. It must be called before the first run.
func (l *RunLog) RecordTo(w io.Writer) { l.sink = w }

// NewRunLog returns a log that holds at most limit runs.
func NewRunLog(limit int) *RunLog {
	return &RunLog{limit: limit}
}

// Begin records the start of a run and returns its sequence number.
func (l *RunLog) Begin(r Run, now time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= l.limit {
		l.discardOldest()
	}
	r.Seq = l.discarded + len(l.runs)
	r.StartMs = milliseconds(now)
	r.State = RunRunning
	l.runs = append(l.runs, r)
	l.writeToSink(r)
	return r.Seq
}

func (l *RunLog) writeToSink(r Run) {
	if l.sink == nil {
		return
	}
	if err := json.NewEncoder(l.sink).Encode(r); err != nil {
		// A log with missing runs would not show how often a request ran.
		panic(err)
	}
}

func (l *RunLog) discardOldest() {
	half := (len(l.runs) + 1) / 2
	l.runs = append([]Run(nil), l.runs[half:]...)
	l.discarded += half
}

// End records the final state of a run. It does nothing if the run was discarded.
func (l *RunLog) End(seq int, s RunState, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := seq - l.discarded
	if i < 0 {
		return
	}
	l.runs[i].State = s
	l.runs[i].EndMs = milliseconds(now)
}

// Since returns the runs with a sequence number of at least seq, and how many runs
// have been discarded.
func (l *RunLog) Since(seq int) (runs []Run, discarded int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := min(max(seq-l.discarded, 0), len(l.runs))
	return append([]Run{}, l.runs[i:]...), l.discarded
}

// ByRequestID returns the recorded runs of one request.
func (l *RunLog) ByRequestID(requestID string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []Run{}
	for _, r := range l.runs {
		if r.RequestID == requestID {
			found = append(found, r)
		}
	}
	return found
}

// Counts returns the number of recorded runs for each request ID.
func (l *RunLog) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(l.runs))
	for _, r := range l.runs {
		counts[r.RequestID]++
	}
	return counts
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
