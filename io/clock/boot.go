package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine was booted (CLOCK_BOOTTIME), including the time that it was suspended. It panics
// if the kernel lacks that clock.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // Unreachable: Linux has this clock since 2.6.39, and the pointer is valid.
	}
	return time.Duration(now.Nano())
}
