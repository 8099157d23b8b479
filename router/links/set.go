package links

import (
	"ryelug/core/cell"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// Set holds the newest link to each router in each direction. It is not safe for concurrent use.
type Set struct {
	dialed    map[cell.RouterID]*peer.Link // dialed holds the links that this router opened; it sends its own requests for grants to dispatchers on them.
	accepted  map[cell.RouterID]*peer.Link // accepted holds the links that others opened; it answers their requests for grants on them.
	lastLists map[*peer.Link][]wire.Host   // lastLists holds the list of hosts last sent or received on each link.
}

// New returns an empty Set.
func New() *Set {
	return &Set{
		dialed:    make(map[cell.RouterID]*peer.Link),
		accepted:  make(map[cell.RouterID]*peer.Link),
		lastLists: make(map[*peer.Link][]wire.Host),
	}
}

// sameDirection returns the links of the same direction as link.
func (s *Set) sameDirection(link *peer.Link) map[cell.RouterID]*peer.Link {
	if link.Dialed() {
		return s.dialed
	}
	return s.accepted
}

// Add stores link as the newest one to its router in its direction, in place of an older one.
func (s *Set) Add(link *peer.Link) { s.sameDirection(link)[link.Router()] = link }

// IsNewest reports whether link is the newest one to its router in its direction.
func (s *Set) IsNewest(link *peer.Link) bool { return s.sameDirection(link)[link.Router()] == link }

// Remove removes link, and reports whether it was the newest one to its router in its direction.
func (s *Set) Remove(link *peer.Link) bool {
	delete(s.lastLists, link)
	if !s.IsNewest(link) {
		return false
	}
	delete(s.sameDirection(link), link.Router())
	return true
}

// Reaches reports whether there is a link to the router, in either direction.
func (s *Set) Reaches(router cell.RouterID) bool { return s.any(router) != nil }

// Dialed returns the link to a router that this one opened, or nil if there is none.
func (s *Set) Dialed(router cell.RouterID) *peer.Link { return s.dialed[router] }

// Count returns the number of routers to which this one has opened a link.
func (s *Set) Count() int { return len(s.dialed) }

// ToDispatcher sends a message to a dispatcher, on the link that this router opened. Without a link, the message is dropped.
func (s *Set) ToDispatcher(router cell.RouterID, message wire.Message) {
	send(s.dialed[router], message)
}

// ToEntry sends a message of this dispatcher to an entry, on the link that the entry opened. Without a link, the message is dropped.
func (s *Set) ToEntry(router cell.RouterID, message wire.Message) {
	send(s.accepted[router], message)
}

// To sends a message to a router on a link of either direction. Without a link, the message is dropped.
func (s *Set) To(router cell.RouterID, message wire.Message) { send(s.any(router), message) }

// any returns a link to the router, preferably one that this router opened, or nil if there is none.
func (s *Set) any(router cell.RouterID) *peer.Link {
	if link := s.dialed[router]; link != nil {
		return link
	}
	return s.accepted[router]
}

// send queues a message on a link, if it is not nil. If the queue is full, the link closes itself and a peer.Down event follows.
func send(link *peer.Link, message wire.Message) {
	if link != nil {
		link.Send(message)
	}
}

// ToAll sends a message to every linked router once, even if there are links in both directions.
func (s *Set) ToAll(message wire.Message) {
	for _, link := range s.dialed {
		link.Send(message)
	}
	for router, link := range s.accepted {
		if s.dialed[router] == nil {
			link.Send(message)
		}
	}
}

// OnAll sends a message on every link, so a router with links in both directions gets it twice.
func (s *Set) OnAll(message wire.Message) {
	for _, link := range s.dialed {
		link.Send(message)
	}
	for _, link := range s.accepted {
		link.Send(message)
	}
}

// SetIdle marks each link as calm or not. A calm link carries no work, so this end sends fewer heartbeats on it, and its
// loss is noticed later. A dialed link is calm unless it leads to one of dispatchers, and an accepted link unless it
// comes from one of entries. No link is calm if isCandidate is set, which says that this router may become the
// next dispatcher of another.
func (s *Set) SetIdle(isCandidate bool, dispatchers, entries map[cell.RouterID]bool) {
	for router, link := range s.dialed {
		link.SetIdle(!isCandidate && !dispatchers[router])
	}
	for router, link := range s.accepted {
		link.SetIdle(!isCandidate && !entries[router])
	}
}

// Disconnect closes the link that this router opened to a dispatcher, if there is one.
func (s *Set) Disconnect(router cell.RouterID) {
	if link := s.dialed[router]; link != nil {
		link.Close()
	}
}
