package coordination

import (
	"time"

	"ryelug/core/cell"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// linkSet holds the newest link to each router in each direction.
type linkSet struct {
	dialed   map[cell.RouterID]*peer.Link // dialed carry this entry's traffic to dispatchers.
	accepted map[cell.RouterID]*peer.Link // accepted carry other entries' traffic to this dispatcher.
}

func newLinkSet() linkSet {
	return linkSet{
		dialed:   make(map[cell.RouterID]*peer.Link),
		accepted: make(map[cell.RouterID]*peer.Link),
	}
}

func (s *linkSet) side(link *peer.Link) map[cell.RouterID]*peer.Link {
	if link.Dialed() {
		return s.dialed
	}
	return s.accepted
}

// remove forgets link and tells whether it was the newest one.
func (s *linkSet) remove(link *peer.Link) bool {
	side := s.side(link)
	if side[link.Router()] != link {
		return false
	}
	delete(side, link.Router())
	return true
}

// each calls f for every link.
func (s *linkSet) each(f func(*peer.Link)) {
	for _, link := range s.dialed {
		f(link)
	}
	for _, link := range s.accepted {
		f(link)
	}
}

// peerEvent takes an event of the mesh. A frame is acknowledged before the clock
// is read, so that an echo never claims more than the decisions knew.
func (c *Coordinator) peerEvent(event peer.Event) {
	switch event := event.(type) {
	case *peer.Up:
		c.linkUp(time.Now(), event.Link)
	case *peer.Down:
		c.linkDown(time.Now(), event.Link)
	case *peer.Received:
		if c.links.side(event.Link)[event.Link.Router()] == event.Link {
			event.Acknowledge()
			c.frame(time.Now(), event)
		}
	}
}

func (c *Coordinator) linkUp(now time.Time, link *peer.Link) {
	c.links.side(link)[link.Router()] = link
	c.news.PeerUp(link.Router())
	if c.leaving {
		link.Send(&wire.Leaving{})
	}
	if c.signs != nil && !c.leaving {
		link.Send(&wire.Members{Hosts: c.signs})
	}
	if !link.Dialed() {
		return
	}
	c.lend.LinkUp(now, link.Router())
}

func (c *Coordinator) linkDown(now time.Time, link *peer.Link) {
	if !c.links.remove(link) {
		return
	}
	router := link.Router()
	delete(c.lists, link)
	if c.links.dialed[router] == nil && c.links.accepted[router] == nil {
		c.news.PeerDown(router)
	}
	if !link.Dialed() {
		c.dispatch.Lost(now, router)
		return
	}
	c.table.Down(now, router.Host())
	c.lend.LinkDown(now, router)
	c.lend.Reorder(now, c.order(now))
}

// frame takes one frame: it renews the leases that rest on the link, then delivers the message.
func (c *Coordinator) frame(now time.Time, event *peer.Received) {
	router := event.Link.Router()
	if event.Link.Dialed() {
		c.lend.Heard(now, router)
	} else {
		c.dispatch.Renew(now, router, event.Echoed)
	}
	if list, ok := event.Message.(*wire.Listed); ok {
		c.listHeard(now, event.Link, list)
		return
	}
	if event.Message != nil {
		c.received(now, router, event.Message, event.Echoed)
	}
}

// received delivers a message of a router, which may be this one.
func (c *Coordinator) received(now time.Time, from cell.RouterID, message wire.Message, echoed time.Time) {
	switch message := message.(type) {
	case *wire.Join:
		c.dispatch.Received(now, from, message, echoed)
		c.choosePolled()
	case *wire.Release, *wire.Want, *wire.Withdraw, *wire.Progress, *wire.Ends:
		c.dispatch.Received(now, from, message, echoed)
	case *wire.Accepted, *wire.Released, *wire.Grants, *wire.Refusals, *wire.Counters:
		c.lend.Received(now, from, message, echoed)
	case *wire.Leaving:
		c.peerLeaving(now, from)
	case *wire.Departed:
		c.table.Departed(now, from.Host())
		c.refreshVoters(now)
	case *wire.Members:
		c.told(now, from, message.Hosts)
	case *wire.ConfigNews, *wire.ConfigAsk, *wire.ConfigPart:
		c.news.Received(from, message)
	}
}

// told takes a peer's signs of hosts. Only a router that has a configuration
// tells them, so from then on the peer may dispatch.
func (c *Coordinator) told(now time.Time, from cell.RouterID, hosts []cell.HostID) {
	c.table.Told(now, from.Host(), hosts)
	if link := c.links.dialed[from]; link != nil {
		c.table.Started(now, from.Host(), link.Started())
		c.table.Up(now, from.Host())
	}
}

func (c *Coordinator) peerLeaving(now time.Time, from cell.RouterID) {
	c.table.Leaving(now, from.Host())
	c.lend.Reorder(now, c.order(now))
	c.lend.PeerLeaving(now, from)
}

// toDispatcher sends a message of this router's entry role.
func (c *Coordinator) toDispatcher(router cell.RouterID, message wire.Message) {
	c.send(c.links.dialed[router], router, message)
}

// toEntry sends a message of this router's dispatcher role.
func (c *Coordinator) toEntry(router cell.RouterID, message wire.Message) {
	c.send(c.links.accepted[router], router, message)
}

// disconnect closes the link to a dispatcher that does not answer.
func (c *Coordinator) disconnect(router cell.RouterID) {
	if link := c.links.dialed[router]; link != nil {
		link.Close()
	}
}

func (c *Coordinator) send(link *peer.Link, router cell.RouterID, message wire.Message) {
	if router == c.self {
		c.loopback = append(c.loopback, message)
		return
	}
	if link != nil {
		link.Send(message) // A full ring closes the link; its Down follows.
	}
}

// tell sends a message of the configuration duty, over whichever link there is.
func (c *Coordinator) tell(cmd tell) {
	if cmd.to != "" {
		c.tellOne(cmd.to, cmd.message)
		return
	}
	told := make(map[cell.RouterID]bool)
	c.links.each(func(link *peer.Link) {
		if !told[link.Router()] {
			told[link.Router()] = true
			link.Send(cmd.message)
		}
	})
}

func (c *Coordinator) tellOne(to cell.RouterID, message wire.Message) {
	link := c.links.dialed[to]
	if link == nil {
		link = c.links.accepted[to]
	}
	if link != nil {
		link.Send(message)
	}
}
