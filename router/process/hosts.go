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

// hosts reads the list of hosts from the platform.
type hosts struct {
	platform *platform.Client
}

// hostData is the JSON of a host on the platform. Its fields match those of member.Member, to which it is converted.
type hostData struct {
	Host        cell.HostID    `json:"host"`
	PeerAddress netip.AddrPort `json:"peer_address"`
	DataCentre  string         `json:"data_centre"`
	Leaving     bool           `json:"leaving"`
	Processor   int            `json:"processor"` // Processor is the processor capacity, in thousandths of a core.
}

// Hosts implements poll.Lister. It fails if the platform does not answer or an item is not valid JSON.
func (h *hosts) Hosts(ctx context.Context) ([]member.Member, error) {
	list, err := h.platform.List(ctx, platform.Hosts)
	if err != nil {
		return nil, err
	}
	members := make([]member.Member, 0, len(list.Items))
	for _, item := range list.Items {
		var data hostData
		if err := json.Unmarshal(item.Data, &data); err != nil {
			return nil, trace.Wrap(err, "decoding host %q of the platform", item.Name)
		}
		members = append(members, member.Member(data))
	}
	return members, nil
}
