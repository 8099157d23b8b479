// Package intake decides what becomes of a connection or request that has come to a router: this router serves it, another
// one does, or it is refused.
//
// The load that its decisions answer is a flood of callers that takes the processor time of routers from others. It goes by what
// the router has left, and by which teams are behind in the whole fleet. It belongs to the coordination layer, does no I/O
// and owns no clock.
package intake
