// Package queue keeps the requests of a cell that wait for a grant, by team and
// by arrival, and the pace at which they are granted.
//
// It belongs to the state layer of core. Teams and entries are dense integers here.
package queue
