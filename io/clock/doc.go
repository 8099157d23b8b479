// Package clock reads clocks of the machine and the process that package time does not have: the one that goes on while the
// machine is suspended, and the processor time of the process.
package clock
