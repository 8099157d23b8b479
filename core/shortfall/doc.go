// Package shortfall evaluates logged sums per team and second: it finds for each team the span of a few seconds in which the team
// received the smallest fraction of its due.
//
// A team's due in a second is the cost that it asked for, but no more than the best-served team received in that second. A span
// is considered only if the team lost requests in each of its seconds, since a team that lost nothing lacked nothing.
package shortfall
