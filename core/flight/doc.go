// Package flight tracks the requests in flight at each endpoint of a cell and determines
// which endpoints have free slots for a dispatcher.
//
// A flight is a granted attempt that has not ended. Every host has one stake in the
// capacity of the cell, which it lends to one dispatcher at a time. A dispatcher that
// holds k of n stakes may use about k/n of an endpoint's limit, its cap. If another
// dispatcher held a stake earlier, requests that it granted may still run. At an endpoint
// that is not warm, the cap includes such a stake only once these requests have ended or
// are included in a load report.
//
// The package belongs to the state layer of core and reads no clock.
package flight
