package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Processor returns the processor time that this process has used so far, in the kernel as well.
func Processor() (time.Duration, error) {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0, fmt.Errorf("can't read the processor time of this process: %w", err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()), nil
}
