// Package slice decides how a large pool is worked by several cells: which
// endpoints form a slice, which slice a request asks first, what waiting
// requests move to another slice, and what the dispatchers of the slices tell
// each other of the teams' service.
//
// It belongs to the coordination layer of core: no I/O, no clock of its own.
package slice
