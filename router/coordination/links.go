package coordination

import (
	"time"

	"ryelug/core/cell"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// handlePeerEvent processes an event of the mesh. A frame is acknowledged before the clock is read, so that the time
// stamps echoed to the peer never claim more than the decisions of this router have taken into account.
func (c *Coordinator) handlePeerEvent(event peer.Event) {
	switch event := event.(type) {
	case *peer.Up:
		c.handleLinkUp(time.Now(), event.Link)
	case *peer.Down:
		c.handleLinkDown(time.Now(), event.Link)
	case *peer.Received:
		if c.links.IsNewest(event.Link) {
			event.Acknowledge()
			c.handleFrame(time.Now(), event)
		}
	}
}

// handleLinkUp registers a new link and sends the peer this router's current announcements.
func (c *Coordinator) handleLinkUp(now time.Time, link *peer.Link) {
	c.links.Add(link)
	c.configListener.PeerUp(link.Router())
	if c.leaving {
		link.Send(&wire.Leaving{})
	}
	if c.knownHosts != nil && !c.leaving {
		if len(c.uncountedHosts) > 0 {
			link.Send(&wire.Waiting{Hosts: c.uncountedHosts})
		}
		link.Send(&wire.Members{Hosts: c.knownHosts})
	}
	if !link.Dialed() {
		return
	}
	c.overlay.LinkUp(link.Router().Host())
	c.entryRole.LinkUp(now, link.Router())
}

// handleLinkDown removes a closed link and updates the roles that relied on it.
func (c *Coordinator) handleLinkDown(now time.Time, link *peer.Link) {
	if !c.links.Remove(link) {
		return
	}
	router := link.Router()
	if !c.links.Reaches(router) {
		c.configListener.PeerDown(router)
		c.memberTable.ReporterLost(now, router.Host())
	}
	if !link.Dialed() {
		c.dispatch.Lost(now, router)
		return
	}
	c.overlay.LinkDown(now, router.Host())
	c.memberTable.Down(now, router.Host())
	c.updateMajority()
	c.entryRole.LinkDown(now, router)
	c.entryRole.Reorder(now, c.dispatcherOrder(now))
}

// handleFrame processes one frame: it renews the leases that depend on the link, then delivers the message, if
// there is one.
func (c *Coordinator) handleFrame(now time.Time, event *peer.Received) {
	router := event.Link.Router()
	if event.Link.Dialed() {
		c.entryRole.FrameReceived(now, router, event.Echoed)
	} else {
		c.dispatch.Renew(now, router, event.Echoed)
	}
	if list, ok := event.Message.(*wire.Listed); ok {
		if members, known := c.links.HearList(event.Link, list); known {
			c.applyHostList(now, members)
		}
		return
	}
	if event.Message != nil {
		c.deliver(now, router, event.Message, event.Echoed)
	}
}

// deliver passes a message from a router, which may be this one, to the role or table that it concerns. The time
// echoed is on this router's clock: the sender had processed everything sent to it by then before it sent the message.
func (c *Coordinator) deliver(now time.Time, from cell.RouterID, message wire.Message, echoed time.Time) {
	switch message := message.(type) {
	case *wire.Join:
		c.dispatch.Received(now, from, message, echoed)
		c.updatePollTargets()
	case *wire.Release, *wire.Want, *wire.Withdraw, *wire.Progress, *wire.Ends, *wire.Unserved:
		c.dispatch.Received(now, from, message, echoed)
	case *wire.Accepted, *wire.Released, *wire.Grants, *wire.Refusals, *wire.Counters, *wire.Behind, *wire.Rejected:
		c.entryRole.Received(now, from, message, echoed)
	case *wire.Leaving:
		c.handlePeerLeaving(now, from)
	case *wire.Departed:
		c.memberTable.Departed(now, from.Host())
		c.updateVoters(now)
	case *wire.Waiting:
		c.memberTable.RecordWaiting(now, from.Host(), message.Hosts)
		c.updateVoters(now)
	case *wire.Members:
		c.learnHosts(now, from, message.Hosts)
	case *wire.ConfigNews, *wire.ConfigAsk, *wire.ConfigPart, *wire.ObjectsAsk, *wire.ObjectsTold:
		c.configListener.Received(from, message)
	}
}

// learnHosts records which hosts a peer knows of. A peer announces them only once it has a configuration, so from
// then on it may be chosen as a dispatcher.
func (c *Coordinator) learnHosts(now time.Time, from cell.RouterID, hosts []cell.HostID) {
	c.memberTable.RecordMembers(now, from.Host(), hosts)
	if link := c.links.Dialed(from); link != nil {
		c.memberTable.Started(now, from.Host(), link.Started())
		c.memberTable.Up(now, from.Host())
	}
}

// handlePeerLeaving removes a leaving router from the dispatcher order of all cells.
func (c *Coordinator) handlePeerLeaving(now time.Time, from cell.RouterID) {
	c.memberTable.Leaving(now, from.Host())
	c.entryRole.Reorder(now, c.dispatcherOrder(now))
	c.entryRole.PeerLeaving(now, from)
}

// sendToDispatcher sends a message of the entry role to a dispatcher, which may be this router.
func (c *Coordinator) sendToDispatcher(router cell.RouterID, message wire.Message) {
	if router == c.self {
		c.selfMessages = append(c.selfMessages, message)
		return
	}
	c.links.ToDispatcher(router, message)
}

// sendToEntry sends a message of the dispatcher role to an entry, which may be this router.
func (c *Coordinator) sendToEntry(router cell.RouterID, message wire.Message) {
	if router == c.self {
		c.selfMessages = append(c.selfMessages, message)
		return
	}
	c.links.ToEntry(router, message)
}

// sendMessage sends a message to the router that cmd names, or to every linked router if it names none.
func (c *Coordinator) sendMessage(cmd sendMessage) {
	if cmd.to == "" {
		c.links.ToAll(cmd.message)
		return
	}
	c.links.To(cmd.to, cmd.message)
}
