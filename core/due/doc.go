// Package due determines which teams are behind: those that receive less than their fair share of the whole fleet's service. For
// each team it sums, over the last 3 s, the cost of the requests that the team's callers made and the cost of those that began to
// run. The fair share of a team, its due, is what it asked for, or what the best-served team received if that is less.
//
// It detects unfair service whatever its cause, since it compares the outcomes of requests and not where they were rejected.
// The package is part of the state layer of core. Table numbers the teams from 0; Standings and Unserved use team IDs.
package due
