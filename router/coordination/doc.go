// Package coordination runs the goroutine that owns a router's view of the other routers: the links to them, the
// table of fleet members, and this router's roles as entry and as dispatcher of each cell.
//
// An entry accepts requests from callers. For each cell (a pool of endpoints) it asks one dispatcher, on this or
// another router, for a grant before it sends a request. An entry also lends that dispatcher its stake: its equal
// part, one of as many as there are routers, of the limit of each endpoint. The stakes that a dispatcher holds
// limit how much it may grant.
//
// All other goroutines send commands to the owner over a bounded channel.
package coordination
