// Package clock reads the clock that leases and grants are measured by.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, including the time for which
// it was suspended. The monotonic clock of package time leaves that time out,
// so a machine that resumes would believe that its leases still run.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel that runs Go; its absence is fatal.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
