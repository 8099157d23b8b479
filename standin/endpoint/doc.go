// Package endpoint holds what the stand-ins of engines and services share: an
// HTTP server that notices when its caller has gone, limits, faults, and an
// exact history of what ran.
//
// It keeps time only through the time package, and Close ends all its
// goroutines, so that it works in testing/synctest.
package endpoint
