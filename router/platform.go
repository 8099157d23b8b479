package router

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/gravitational/trace"

	"ryelug/core/cell"
	"ryelug/core/member"
	"ryelug/io/platform"
)

// PlatformHosts reads the list of hosts from the platform.
type PlatformHosts struct{ Client *platform.Client }

// hostObject is the platform's value of a host.
type hostObject struct {
	Host        cell.HostID    `json:"host"`
	PeerAddress netip.AddrPort `json:"peer_address"`
	DataCentre  string         `json:"data_centre"`
	Leaving     bool           `json:"leaving"`
}

// Hosts implements Hosts.
func (p PlatformHosts) Hosts(ctx context.Context) ([]member.Member, error) {
	list, err := p.Client.List(ctx, platform.Hosts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	members := make([]member.Member, 0, len(list.Items))
	for _, item := range list.Items {
		var host hostObject
		if err := json.Unmarshal(item.Data, &host); err != nil {
			return nil, trace.Wrap(err, "host %s can't be read", item.Name)
		}
		members = append(members, member.Member(host))
	}
	return members, nil
}
