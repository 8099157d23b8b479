package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Processor returns the processor time that this process has used since its start, user and system time together, over all
// threads (getrusage). It returns an error if the system call fails.
func Processor() (time.Duration, error) {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0, fmt.Errorf("failed to read the processor time of this process: %w", err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()), nil
}
