package peer

import "ryelug/core/cell"

// Link is one authenticated connection to another router.
type Link struct {
	router cell.RouterID
	dialed bool
}

// Router returns the router at the other end.
func (l *Link) Router() cell.RouterID { return l.router }

// Dialed tells whether this router opened the link.
func (l *Link) Dialed() bool { return l.dialed }
