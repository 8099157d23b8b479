// Package due tracks, per team and over the last 3 s, the cost of requests that its callers made and of those that began to run
// anywhere in the fleet, and determines which teams are behind, which means that they receive less than their fair share.
// The fair share of a team, its due, is what it asked for, or what the best-served team received if that is less.
//
// It detects unfair service whatever its cause, since it compares the outcomes of requests and not where they were rejected.
// The package is part of the state layer of core. Table numbers the teams from 0; Standings and Unserved use team IDs.
package due
