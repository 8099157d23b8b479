// Package fair keeps what fair service between teams needs: a virtual counter
// per team, the order of the backlogged teams, estimates of request costs, and
// the bound on the gap between two teams; and, where the rate is known, max-min shares
// of it and the part of long requests that are admitted.
//
// It belongs to the state layer of core. Teams are dense integers here.
package fair
