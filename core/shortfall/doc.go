// Package shortfall computes from sums by team and second which part of its due each team got over a few seconds.
//
// A team is due what it asked for, but no more than the team that was served best got, second by second. A span counts only if
// requests of the team were lost in each of its seconds, since a team that lost nothing lacked nothing.
package shortfall
