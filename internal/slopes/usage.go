package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// peakResidentMB returns the highest resident memory so far.
func peakResidentMB() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Maxrss) / 1024
}

// heapMB returns the heap in use after a collection, with the stacks.
func heapMB() float64 {
	runtime.GC()
	runtime.GC() // frees what finalizers of the first one released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse+m.StackInuse) / (1 << 20)
}

// Limits of waiting for the memory of an earlier run to be released.
const (
	heapChecks   = 5
	heapInterval = 100 * time.Millisecond
	heapSettled  = 0.1 // MB
)

// settledHeapMB returns the heap in use once it no longer shrinks: connections
// of an earlier run release their memory a little after its end.
func settledHeapMB() float64 {
	last := heapMB()
	for range heapChecks {
		time.Sleep(heapInterval)
		next := heapMB()
		if last-next < heapSettled {
			return next
		}
		last = next
	}
	return last
}
