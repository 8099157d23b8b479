package coordination

import (
	"slices"
	"time"

	"ryelug/core/member"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// tellList tells the routers of this data centre the list that this one has just
// read, so that the platform's reads do not grow with the routers.
func (c *Coordinator) tellList(members []member.Member) {
	hosts := make([]wire.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, wire.Host{
			Host: m.Host, Address: m.PeerAddress, DataCentre: m.DataCentre, Leaving: m.Leaving,
		})
	}
	for _, link := range c.links.dialed {
		if link.DataCentre() == c.config.DataCentre {
			c.tellListOn(link, hosts)
		}
	}
}

func (c *Coordinator) tellListOn(link *peer.Link, hosts []wire.Host) {
	last, known := c.lists[link]
	if known && slices.Equal(last, hosts) {
		link.Send(&wire.Listed{})
		return
	}
	c.lists[link] = hosts
	link.Send(&wire.Listed{Changed: true, Hosts: hosts})
}

// listHeard takes the list of a watcher, which has read it a moment ago.
func (c *Coordinator) listHeard(now time.Time, link *peer.Link, list *wire.Listed) {
	if list.Changed {
		c.lists[link] = list.Hosts
	}
	hosts, known := c.lists[link]
	if !known {
		return
	}
	members := make([]member.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, member.Member{
			Host: h.Host, PeerAddress: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving,
		})
	}
	c.takeList(now, members)
}
