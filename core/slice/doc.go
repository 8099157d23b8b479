// Package slice divides a large pool of endpoints among several cells, each of which
// is scheduled by a dispatcher of its own. A slice is the part of the pool that one
// cell schedules.
//
// The package decides which endpoints form a slice, which cell a request asks first,
// and how many waiting requests are passed on to another cell. It also defines what the
// dispatchers of a pool report to each other, so that each team gets its share of
// service in the pool as a whole.
//
// It belongs to the coordination layer of core. It does no I/O, and its callers pass
// in the time.
package slice
