package coordination

import (
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/member"
	"ryelug/core/overlay"
	"ryelug/io/peer"
)

// setPeers links this router to the hosts of a new list: to all of them, or to those that the overlay chooses.
func (c *Coordinator) setPeers(now time.Time) {
	if !c.config.Registered {
		c.mesh.SetPeers(peerAddresses(c.members))
		return
	}
	var staying []overlay.Member
	for _, m := range c.members {
		if !m.Leaving {
			staying = append(staying, overlay.Member{Host: m.Host, DataCentre: m.DataCentre})
		}
	}
	c.overlay.SetMembers(staying)
	c.peers = nil // Addresses may have changed as well.
	c.updatePeers(now)
}

// updatePeers links this router to the hosts that the overlay chooses.
func (c *Coordinator) updatePeers(now time.Time) {
	if !c.config.Registered || c.members == nil {
		return
	}
	c.lastPeersAt = now
	chosen := c.overlay.Choose(now, c.candidates(), c.hostsInUse())
	if slices.Equal(chosen, c.peers) {
		return
	}
	c.peers = chosen
	peers := make([]member.Member, 0, len(chosen))
	for _, m := range c.members {
		if _, ok := slices.BinarySearch(chosen, m.Host); ok {
			peers = append(peers, m)
		}
	}
	c.mesh.SetPeers(peerAddresses(peers))
}

// candidates returns, for each cell, the hosts that may dispatch it, first choice first.
func (c *Coordinator) candidates() [][]cell.HostID {
	if c.directory == nil {
		return nil
	}
	var candidates [][]cell.HostID
	for _, id := range c.directory.Cells() {
		candidates = append(candidates, c.memberTable.Candidates(id))
	}
	return candidates
}

// hostsInUse returns the hosts whose routers dispatch for this entry, or may still count its stake or its attempts.
func (c *Coordinator) hostsInUse() map[cell.HostID]bool {
	dispatchers := c.dispatchersInUse()
	hosts := make(map[cell.HostID]bool, len(dispatchers))
	for router := range dispatchers {
		hosts[router.Host()] = true
	}
	return hosts
}

// dispatchersInUse returns the routers that dispatch for this entry, or may still count its stake or its attempts, in a map that the
// next call uses again.
func (c *Coordinator) dispatchersInUse() map[cell.RouterID]bool {
	clear(c.activeDispatchers)
	c.entryRole.Dispatchers(c.activeDispatchers)
	return c.activeDispatchers
}

// announcedHosts returns the hosts that peers are told of: those of which this router has signs, or itself alone where
// entries of the list do not vanish by mistake, since peers have the same list then.
func (c *Coordinator) announcedHosts() []cell.HostID {
	if c.config.Registered {
		return []cell.HostID{c.self.Host()}
	}
	return c.memberTable.SeenHosts()
}

// peerAddresses returns the addresses at which the routers of these hosts accept links.
func peerAddresses(members []member.Member) []peer.Address {
	addresses := make([]peer.Address, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, peer.Address{Host: m.Host, Addr: m.PeerAddress})
	}
	return addresses
}

// updateIdleLinks switches links that carry no work to the idle heartbeat. Where each router has a link to every other
// one, heartbeats at the full rate would grow with the square of the fleet.
func (c *Coordinator) updateIdleLinks(now time.Time) {
	if c.config.Timings.IdleHeartbeat == 0 || c.directory == nil {
		return
	}
	clear(c.activeEntries)
	c.dispatch.Entries(c.activeEntries)
	c.links.SetIdle(c.isCandidate(now), c.dispatchersInUse(), c.activeEntries)
}

// isCandidate reports whether this router is among the first dispatcherCandidates hosts in the dispatcher order of
// any cell.
func (c *Coordinator) isCandidate(now time.Time) bool {
	return slices.ContainsFunc(c.directory.Cells(), func(id cell.ID) bool {
		order := c.memberTable.Order(now, id)
		return slices.Contains(order[:min(dispatcherCandidates, len(order))], c.self.Host())
	})
}
