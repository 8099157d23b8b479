// Package slot stores values in numbered slots that are used again, links slots in lists, and assigns numbers to
// names, so that a steady state allocates no memory.
//
// It belongs to the state layer of core.
package slot
