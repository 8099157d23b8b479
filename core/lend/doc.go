// Package lend implements the entry router's side of one cell: the requests that
// wait for a grant, the requests that run, and the session with the one dispatcher
// that currently assigns this entry's requests to endpoints. In a session the entry
// also lends its stake: its vote for a share of the cell's capacity, which at most
// one dispatcher may count at a time.
//
// A Lender does no I/O and reads no clock: the caller passes in events with the
// current time and carries out the returned actions.
package lend
