package coordination

import (
	"time"

	"ryelug/core/cell"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// peerEvent takes an event of the mesh. A frame is acknowledged before the clock
// is read, so that an echo never claims more than the decisions knew.
func (c *Coordinator) peerEvent(event peer.Event) {
	switch event := event.(type) {
	case *peer.Up:
		c.linkUp(time.Now(), event.Link)
	case *peer.Down:
		c.linkDown(time.Now(), event.Link)
	case *peer.Received:
		if c.links.IsNewest(event.Link) {
			event.Acknowledge()
			c.frame(time.Now(), event)
		}
	}
}

func (c *Coordinator) linkUp(now time.Time, link *peer.Link) {
	c.links.Add(link)
	c.news.PeerUp(link.Router())
	if c.leaving {
		link.Send(&wire.Leaving{})
	}
	if c.signs != nil && !c.leaving {
		if len(c.waiting) > 0 {
			link.Send(&wire.Waiting{Hosts: c.waiting})
		}
		link.Send(&wire.Members{Hosts: c.signs})
	}
	if !link.Dialed() {
		return
	}
	c.lend.LinkUp(now, link.Router())
}

func (c *Coordinator) linkDown(now time.Time, link *peer.Link) {
	if !c.links.Remove(link) {
		return
	}
	router := link.Router()
	if !c.links.Reaches(router) {
		c.news.PeerDown(router)
	}
	if !link.Dialed() {
		c.dispatch.Lost(now, router)
		return
	}
	c.table.Down(now, router.Host())
	c.checkMajority()
	c.lend.LinkDown(now, router)
	c.lend.Reorder(now, c.order(now))
}

// frame takes one frame: it renews the leases that rest on the link, then delivers the message.
func (c *Coordinator) frame(now time.Time, event *peer.Received) {
	router := event.Link.Router()
	if event.Link.Dialed() {
		c.lend.Heard(now, router, event.Echoed)
	} else {
		c.dispatch.Renew(now, router, event.Echoed)
	}
	if list, ok := event.Message.(*wire.Listed); ok {
		if members, known := c.links.HearList(event.Link, list); known {
			c.takeList(now, members)
		}
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
	case *wire.Release, *wire.Want, *wire.Withdraw, *wire.Progress, *wire.Ends, *wire.Unserved:
		c.dispatch.Received(now, from, message, echoed)
	case *wire.Accepted, *wire.Released, *wire.Grants, *wire.Refusals, *wire.Counters, *wire.Behind:
		c.lend.Received(now, from, message, echoed)
	case *wire.Leaving:
		c.peerLeaving(now, from)
	case *wire.Departed:
		c.table.Departed(now, from.Host())
		c.refreshVoters(now)
	case *wire.Waiting:
		c.table.ToldWaiting(now, from.Host(), message.Hosts)
		c.refreshVoters(now)
	case *wire.Members:
		c.told(now, from, message.Hosts)
	case *wire.ConfigNews, *wire.ConfigAsk, *wire.ConfigPart, *wire.ObjectsAsk, *wire.ObjectsTold:
		c.news.Received(from, message)
	}
}

// told takes a peer's signs of hosts. Only a router that has a configuration
// tells them, so from then on the peer may dispatch.
func (c *Coordinator) told(now time.Time, from cell.RouterID, hosts []cell.HostID) {
	c.table.Told(now, from.Host(), hosts)
	if link := c.links.Dialed(from); link != nil {
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
	if router == c.self {
		c.loopback = append(c.loopback, message)
		return
	}
	c.links.ToDispatcher(router, message)
}

// toEntry sends a message of this router's dispatcher role.
func (c *Coordinator) toEntry(router cell.RouterID, message wire.Message) {
	if router == c.self {
		c.loopback = append(c.loopback, message)
		return
	}
	c.links.ToEntry(router, message)
}

// tell sends a message of the configuration duty.
func (c *Coordinator) tell(cmd tell) {
	if cmd.to == "" {
		c.links.ToAll(cmd.message)
		return
	}
	c.links.To(cmd.to, cmd.message)
}
