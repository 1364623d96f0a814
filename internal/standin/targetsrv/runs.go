package targetsrv

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// RunState is how far a run got.
type RunState string

// States of a run.
const (
	RunRunning   RunState = "running"
	RunDone      RunState = "done"
	RunCancelled RunState = "cancelled"
	RunDeadline  RunState = "deadline"
	// RunCut is a run that finished while its response did not.
	RunCut RunState = "cut"
)

// Run is the record of one execution of one request. Times are milliseconds on
// the target's monotonic clock.
type Run struct {
	Seq       int    `json:"seq"`
	RequestID string `json:"request_id"`
	// Tag is the caller's own name for the request, from its tag parameter.
	Tag     string   `json:"tag,omitempty"`
	Key     string   `json:"key"`
	Fence   uint64   `json:"fence"`
	StartMs float64  `json:"start_ms"`
	EndMs   float64  `json:"end_ms,omitempty"`
	State   RunState `json:"state"`
	// Draining tells that the run started after the target began to drain.
	Draining bool `json:"draining,omitempty"`
}

// RunLog records every run. When it is full it forgets the oldest half and
// counts what it forgot, so that a reader can tell that a proof is incomplete.
type RunLog struct {
	mu        sync.Mutex
	runs      []Run
	forgotten int
	limit     int
	sink      io.Writer
}

// RecordTo also writes every run to w when it begins, one JSON object a line,
// so that the record outlives the process. It must be called before any run.
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
		l.forget()
	}
	r.Seq = l.forgotten + len(l.runs)
	r.StartMs = milliseconds(now)
	r.State = RunRunning
	l.runs = append(l.runs, r)
	l.record(r)
	return r.Seq
}

func (l *RunLog) record(r Run) {
	if l.sink == nil {
		return
	}
	if err := json.NewEncoder(l.sink).Encode(r); err != nil {
		// A record with holes would prove nothing.
		panic(err)
	}
}

func (l *RunLog) forget() {
	half := (len(l.runs) + 1) / 2
	l.runs = append([]Run(nil), l.runs[half:]...)
	l.forgotten += half
}

// End records how the run ended.
func (l *RunLog) End(seq int, s RunState, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := seq - l.forgotten
	if i < 0 {
		return
	}
	l.runs[i].State = s
	l.runs[i].EndMs = milliseconds(now)
}

// Since returns the runs with a sequence number of at least seq, and how many
// runs have been forgotten.
func (l *RunLog) Since(seq int) (runs []Run, forgotten int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := min(max(seq-l.forgotten, 0), len(l.runs))
	return append([]Run{}, l.runs[i:]...), l.forgotten
}

// Of returns the runs of one request.
func (l *RunLog) Of(requestID string) []Run {
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

// Counts returns the number of recorded runs of each request id.
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
