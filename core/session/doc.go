// Package session keeps the entries that ask a dispatcher for grants, each with
// its present session, the requests that wait and those that run.
//
// It belongs to the state layer of core.
package session
