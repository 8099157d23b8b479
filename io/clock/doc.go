// Package clock reads the clock that goes on while the machine is suspended, which
// the monotonic clock of package time does not.
package clock
