package links

import (
	"slices"

	"ryelug/core/member"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// TellList tells the routers of a data centre the list of hosts that this one has
// just read, so that the platform's reads do not grow with the routers.
func (s *Set) TellList(dataCentre string, members []member.Member) {
	hosts := make([]wire.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, wire.Host{
			Host: m.Host, Address: m.PeerAddress, DataCentre: m.DataCentre, Leaving: m.Leaving, Processor: uint64(m.Processor),
		})
	}
	for _, link := range s.dialed {
		if link.DataCentre() == dataCentre {
			s.tellListOn(link, hosts)
		}
	}
}

func (s *Set) tellListOn(link *peer.Link, hosts []wire.Host) {
	last, known := s.lists[link]
	if known && slices.Equal(last, hosts) {
		link.Send(&wire.Listed{})
		return
	}
	s.lists[link] = hosts
	link.Send(&wire.Listed{Changed: true, Hosts: hosts})
}

// HearList returns the list that a watcher has read a moment ago, and false if it has told none yet.
func (s *Set) HearList(link *peer.Link, list *wire.Listed) ([]member.Member, bool) {
	if list.Changed {
		s.lists[link] = list.Hosts
	}
	hosts, known := s.lists[link]
	members := make([]member.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, member.Member{
			Host: h.Host, PeerAddress: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving, Processor: int(h.Processor),
		})
	}
	return members, known
}
