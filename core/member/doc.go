// Package member tracks the hosts of the system as one router sees them: the
// platform's list of hosts, which may be out of date, the state of the peer links,
// and the hosts that linked peers report.
//
// From these it derives three things. The first is which hosts vote: a host votes
// if the stake that its router lends to dispatchers counts, where a stake is one
// router's equal part of every endpoint's limit. The second is the number of parts
// that the limits are divided into. The third is the order in which hosts take over
// the dispatching of a cell, a group of endpoints with one dispatcher.
//
// The package belongs to the state layer of core. It does no I/O, and its callers
// pass in the time.
package member
