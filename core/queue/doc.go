// Package queue keeps the requests of a cell that wait for a grant, by team and
// by arrival, the pace at which they are granted, and when refused callers should return.
//
// It belongs to the state layer of core. Teams and entries are dense integers here.
package queue
