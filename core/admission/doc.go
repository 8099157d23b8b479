// Package admission dispatches the requests of one cell, that is of the endpoints of a pool that the platform's
// registry lists. It grants a request the endpoint that core/placing chooses, keeps it waiting, or refuses it
// as soon as no endpoint can answer before its deadline.
//
// Requests come from entries, the routers that received them from callers. A host whose router has lent its stake
// to this dispatcher adds to the part of each cold endpoint's rate that the dispatcher may use.
//
// The package is designed for overloads by some tens of percent, prompts that share parts, and a few teams that ask
// for many times their share. It belongs to the coordination layer, performs no I/O and reads no clock: the
// caller passes the time with each event.
package admission
