// Package backlog limits the requests of each team that wait at one router for a grant from a cell's dispatcher. While the
// dispatcher rejects a team's requests because its queue is full, further ones are rejected at the router and don't reach the
// dispatcher.
//
// The package is part of the state layer of core, does no I/O and reads no clock: the time is passed in.
package backlog
