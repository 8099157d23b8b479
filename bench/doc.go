// Package bench measures the router code against the users' four measures, with
// stand-ins in one process and baselines in the same run.
//
// Its tests run it in virtual time, so that the verdict is the same on any machine.
package bench
