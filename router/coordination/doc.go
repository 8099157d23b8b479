// Package coordination is the duty that owns a router's view of the others: the
// links, the member table, and its roles as entry and as dispatcher of each cell.
//
// One goroutine owns that state. All others reach it over a bounded ring.
package coordination
