// Package due keeps for each team what its callers asked for and what began to run, over the last seconds and the whole
// fleet, and tells which teams are behind.
//
// The load that it answers is any in which a team gets far less than others: it goes by what became of the requests, not
// by where they were lost. It belongs to the state layer of core. Teams are dense integers here.
package due
