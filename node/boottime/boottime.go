// Package boottime reads the boot clock, which advances while the machine is
// suspended. Code that bounds the age of a permission must use it, because the
// monotonic clock of [time.Since] stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the boot clock.
type Instant time.Duration

// Now returns the current reading of the boot clock. It panics if the kernel has
// no boot clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel has no boot clock: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Since returns the time elapsed since the instant, including suspensions.
func Since(instant Instant) time.Duration { return time.Duration(Now() - instant) }
