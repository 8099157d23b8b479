// Package neighbour selects the router that serves a connection in place of a busy one: a router of the same data centre or, when
// none there has spare capacity, of another data centre of the region.
//
// It protects against a flood of callers at one router while others have spare capacity. The package is part of the coordination
// layer, does no I/O and reads no clock: the time is passed in.
package neighbour
