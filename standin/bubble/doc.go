// Package bubble lets tests in virtual time (testing/synctest) run under the race
// detector. It stands beside the other stand-ins, as tests and benchmarks of all
// packages use it.
package bubble
