// Package intake decides whether this router serves a new connection or request, hands it over to another router, or rejects it.
//
// It protects teams from a flood of requests of another team that exhausts the processors of routers. Decisions depend on this
// router's spare capacity and on which teams receive less than their fair share of the whole fleet's service. The package is
// part of the coordination layer, does no I/O and reads no clock: the time is passed in.
package intake
