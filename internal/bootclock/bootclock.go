// Package bootclock reads the clock that also counts the time during which the
// machine was suspended. Ownership and leases expire by it, since the monotonic
// clock of the Go runtime stops while a machine is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the machine was booted.
type Clock func() time.Duration

// System is the Clock of this machine. It panics if the kernel lacks the clock.
func System() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists in all kernels since 2.6.39; without it leases couldn't be
		// relied on.
		panic("bootclock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
