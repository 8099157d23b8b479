// Package bench measures the router code against the users' four measures, with
// stand-ins in one process and baselines in the same run.
//
// Its tests run it in virtual time, so that a run gives the same verdict on any
// machine; docs/CAPACITY.md and README.md name the commands.
package bench
