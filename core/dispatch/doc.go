// Package dispatch schedules the requests of a cell, which is a pool of endpoints or a
// slice of one: it decides which waiting request may be sent to which endpoint, and when.
//
// An entry is a router that accepts callers' requests and asks the dispatcher for a
// grant, the permission to send one request to one endpoint. A granted request that
// has not ended is a flight. Every host has one stake in the capacity of the cell,
// which it lends to one dispatcher at a time; a dispatcher may use the part of each
// endpoint's limit that corresponds to its part of all stakes, so that several
// dispatchers of the same cell don't exceed the limit together. Waiting requests are
// ordered by weighted fair queueing: each team has a virtual counter, the cost charged
// to it divided by its share, and the team with the least counter is served next.
//
// The package belongs to the coordination layer. A Dispatcher is a state machine that
// does no I/O and reads no clock: Step takes an event with the time and returns actions.
package dispatch
