// Package clock reads the clock that leases and grants are measured with.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including the time for which it was
// suspended. The monotonic clock of package time excludes suspended time, so a machine
// that resumes would treat expired leases as valid.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has CLOCK_BOOTTIME, so an error is fatal.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
