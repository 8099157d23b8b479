// Package fair implements weighted fair service between teams. It keeps a virtual counter per team, the order of the
// backlogged teams, estimates of request costs, and the bound on the difference in service between two teams. Where
// the service rate is known it also computes the teams' max-min shares of it, and tracks the fraction of long
// requests that are admitted.
//
// It belongs to the state layer of core: no I/O, and the caller passes the time. Teams are dense integers from 0.
package fair
