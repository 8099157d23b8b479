// Package router joins the decisions of core with the peers of io in one process.
//
// A Router takes part in two roles: as entry it serves callers' requests, and
// as dispatcher it grants the work of the cells that other entries entrust to
// it. Each duty is a goroutine of its own; the coordination duty alone owns
// the state of the cells, and all others reach it over bounded rings.
package router
