// Package slopes measures on this machine how the costs of control grow with
// the number of daemons, targets and shards. Everything runs in this process on
// loopback addresses: the daemons, the stand-in targets and the store.
package slopes

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"
)

// Options select how much is measured.
type Options struct {
	Repetitions int
	// Progress is told what is measured next.
	Progress func(string)
}

// Machine describes where the measurement ran. LoadStart and LoadEnd are the
// load averages over one minute.
type Machine struct {
	Cores     int    `json:"cores"`
	Go        string `json:"go"`
	System    string `json:"system"`
	LoadStart string `json:"load_start"`
	LoadEnd   string `json:"load_end"`
}

// Report is the result of a run.
type Report struct {
	Machine     Machine       `json:"machine"`
	Repetitions int           `json:"repetitions"`
	Took        time.Duration `json:"took_ns"`
	// BaseResidentMB is the peak resident memory before anything was started.
	BaseResidentMB float64  `json:"base_resident_mb"`
	Series         []Series `json:"series"`
}

// Run measures everything.
func Run(ctx context.Context, o Options) (*Report, error) {
	started := time.Now()
	r := &Report{Repetitions: o.Repetitions, BaseResidentMB: peakResidentMB()}
	r.Machine = Machine{
		Cores: runtime.NumCPU(), Go: runtime.Version(),
		System: runtime.GOOS + "/" + runtime.GOARCH, LoadStart: loadAverage(),
	}
	for _, part := range []func(context.Context, Options) ([]Series, error){
		measureDaemons, measureTargets, measureExchange, measureTables,
	} {
		series, err := part(ctx, o)
		if err != nil {
			return nil, err
		}
		r.Series = append(r.Series, series...)
	}
	r.Machine.LoadEnd = loadAverage()
	r.Took = time.Since(started)
	return r, nil
}

// loadAverage returns the one-minute load, or "unknown" where the system does
// not tell.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(b), " ")
	return first
}

func (o Options) note(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, args...))
	}
}
