package links

import (
	"slices"

	"ryelug/core/member"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// TellList sends the list of hosts that this router has just read from the platform to the
// routers of a data centre, so that not every router has to read it. On a link whose last list was
// the same, the message says only that nothing has changed.
func (s *Set) TellList(dataCentre string, members []member.Member) {
	hosts := make([]wire.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, wire.Host{
			Host: m.Host, Address: m.PeerAddress, DataCentre: m.DataCentre, Leaving: m.Leaving, Processor: uint64(m.Processor),
		})
	}
	for _, link := range s.dialed {
		if link.DataCentre() == dataCentre {
			s.sendListOn(link, hosts)
		}
	}
}

func (s *Set) sendListOn(link *peer.Link, hosts []wire.Host) {
	last, known := s.lastLists[link]
	if known && slices.Equal(last, hosts) {
		link.Send(&wire.Listed{})
		return
	}
	s.lastLists[link] = hosts
	link.Send(&wire.Listed{Changed: true, Hosts: hosts})
}

// HearList returns the list of hosts that another router has just read from the platform, from its message
// and the lists that it sent earlier on the link. It returns false if no list has come on this link yet.
func (s *Set) HearList(link *peer.Link, list *wire.Listed) ([]member.Member, bool) {
	if list.Changed {
		s.lastLists[link] = list.Hosts
	}
	hosts, known := s.lastLists[link]
	members := make([]member.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, member.Member{
			Host: h.Host, PeerAddress: h.Address, DataCentre: h.DataCentre, Leaving: h.Leaving, Processor: int(h.Processor),
		})
	}
	return members, known
}
