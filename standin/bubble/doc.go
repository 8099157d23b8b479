// Package bubble runs tests in virtual time. It stands beside the other
// stand-ins, as tests and benchmarks of all packages use it.
package bubble
