// Package cell defines the values that routers exchange about a cell, which is a pool of
// endpoints, or a slice of one, whose requests one dispatcher schedules.
//
// An entry is a router that accepts callers' requests. It asks the cell's dispatcher, which
// runs in one of the routers, for a grant before it sends a request to an endpoint. In a
// session with the dispatcher it lends its host's stake in the capacity of the cell: a
// dispatcher that holds k of n stakes may use about k/n of each endpoint's limit.
//
// The package is the protocol layer of core: plain values with almost no behaviour.
package cell
