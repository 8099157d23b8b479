// Package rollout decides which requests of a cell the endpoints of a new software version get while an operator rolls
// it out, and whether the version is good or bad.
//
// It answers a load in which the new version is bad in an unknown way: part of its answers fail or are slow, from the
// start or later, only under load or on one route only. The package belongs to the coordination layer, performs no I/O
// and reads no clock: the caller passes the time.
package rollout
