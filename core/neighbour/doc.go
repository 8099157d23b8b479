// Package neighbour chooses which other router serves a connection that this one does not bear: one of its data centre, or of
// another one of the region when none there has room.
//
// The load that its decisions answer is a flood of callers at one router while others have time. It belongs to the
// coordination layer, does no I/O and owns no clock.
package neighbour
