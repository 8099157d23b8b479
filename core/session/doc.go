// Package session tracks the entry routers of a dispatcher: the routers that accept
// callers' requests and ask the dispatcher for grants, which are permissions to send a
// request to an endpoint. For each one it holds the current session, the requests that
// wait for a grant and the granted ones that are still in flight.
//
// The package belongs to the state layer of core.
package session
