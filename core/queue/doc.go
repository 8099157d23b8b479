// Package queue holds the waiting requests of a cell, by team and by arrival. It measures the rate of grants, estimates
// the time to drain a backlog, and spreads the retries of refused callers over time.
//
// It belongs to the state layer of core: no I/O, and the caller passes the time. Teams and entry routers are dense
// integers here.
package queue
