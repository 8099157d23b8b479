// Package fleet runs a whole fleet in one process: real routers between a
// stand-in platform, stand-in endpoints and callers, joined by a stand-in network.
//
// It keeps time only through the time package, so that it works in
// testing/synctest, where a run is repeatable and takes no real time.
package fleet
