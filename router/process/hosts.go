package process

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/gravitational/trace"

	"ryelug/core/cell"
	"ryelug/core/member"
	"ryelug/io/platform"
)

// hosts reads the platform's list of hosts.
type hosts struct {
	platform *platform.Client
}

// hostData is what the platform says of a host.
type hostData struct {
	Host        cell.HostID    `json:"host"`
	PeerAddress netip.AddrPort `json:"peer_address"`
	DataCentre  string         `json:"data_centre"`
	Leaving     bool           `json:"leaving"`
	Processor   int            `json:"processor"` // Processor is in thousandths of a core.
}

// Hosts implements poll.Lister.
func (h *hosts) Hosts(ctx context.Context) ([]member.Member, error) {
	list, err := h.platform.List(ctx, platform.Hosts)
	if err != nil {
		return nil, err
	}
	members := make([]member.Member, 0, len(list.Items))
	for _, item := range list.Items {
		var data hostData
		if err := json.Unmarshal(item.Data, &data); err != nil {
			return nil, trace.Wrap(err, "the platform's host %q can't be read", item.Name)
		}
		members = append(members, member.Member(data))
	}
	return members, nil
}
