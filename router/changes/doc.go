// Package changes has tests alone: planned changes of a whole fleet under load,
// in which data centres, endpoints and routers leave and return.
package changes
