// Package lend is an entry's side of one cell: the requests that wait for a
// grant, those that run, and the session in which the entry lends its stake to
// one dispatcher at a time.
//
// A Lender belongs to the coordination layer. It does no I/O and owns no
// clock: events go in with the time, actions come out.
package lend
