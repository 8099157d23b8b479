// Package member holds what one router knows of the others: the platform's
// lagging list of hosts, the state of links, and what linked hosts tell.
//
// It belongs to the state layer. From it follow the voters whose stakes count,
// the number that stakes are divided by, and the order in which hosts dispatch
// a cell. It does no I/O and owns no clock.
package member
