// Package directory indexes a router's configuration for look-ups: the team that owns an
// API key, the pool that serves a request, the address of an endpoint, and the dispatcher's
// policy for a cell, which is a pool of endpoints or a slice of one.
package directory
