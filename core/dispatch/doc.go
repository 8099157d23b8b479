// Package dispatch decides which waiting request goes to which endpoint of a cell, and when.
//
// A Dispatcher belongs to the coordination layer. It does no I/O and owns no
// clock: events go in with the time, actions come out.
package dispatch
