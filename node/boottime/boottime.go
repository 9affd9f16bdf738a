// Package boottime reads the clock that goes on while the machine is
// suspended. What bounds the age of a permission uses it: the clock of
// [time.Since] stands still during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on the boot clock.
type Instant time.Duration

// Now returns the present moment.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel has no boot clock: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Since returns the time that has passed since the instant.
func Since(instant Instant) time.Duration { return time.Duration(Now() - instant) }
