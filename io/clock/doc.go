// Package clock reads clocks that package time does not provide: the time since boot, which includes the time that the
// machine was suspended, and the processor time of this process.
package clock
