// Package change makes one document out of another: data centres out and in,
// endpoints that leave and return, policies that are promoted.
//
// It is part of the state layer and does no I/O.
package change
