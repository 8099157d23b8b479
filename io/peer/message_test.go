package peer_test

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/peer"
)

// samples has one message of each kind, with all fields set.
func samples() []peer.Message {
	counters := []cell.TeamCounter{{Team: "clinics", Service: 12.5}, {Team: "kiosks", Service: 1e9}}
	flights := []cell.Flight{{Attempt: 7, Team: "kiosks", Endpoint: "engine-1", Start: "s-1", Charged: 300}}
	return []peer.Message{
		&peer.Join{Cell: "chat", Session: 3, Stake: true, Flights: flights, Counters: counters},
		&peer.Accepted{Cell: "chat", Session: 3},
		&peer.Release{Cell: "chat", Session: 3},
		&peer.Released{Cell: "chat", Session: 3},
		&peer.Want{Cell: "chat", Session: 3, Demands: []cell.Demand{{Attempt: 9, Team: "kiosks", Estimate: 40, Avoid: "engine-2"}}},
		&peer.Withdraw{Cell: "chat", Session: 3, Attempts: []cell.AttemptID{9, 1 << 40}},
		&peer.Grants{Cell: "chat", Session: 3, Grants: []cell.Grant{{Attempt: 9, Endpoint: "engine-1", Start: "s-1"}}},
		&peer.Refusals{Cell: "chat", Session: 3, Refusals: []cell.Refusal{{Attempt: 9, Code: uint16(result.TeamQueueFull), RetryAfter: time.Second}}},
		&peer.Progress{Cell: "chat", Session: 3, Progress: []cell.Progress{{Attempt: 9, Cost: 120}}},
		&peer.Ends{Cell: "chat", Ends: []cell.End{{Attempt: 9, Outcome: cell.Completed, Cost: 130, FirstToken: 80 * time.Millisecond}}},
		&peer.Counters{Cell: "chat", Counters: counters},
		&peer.Leaving{},
		&peer.ConfigNews{Generation: 12, Root: []byte("{}")},
		&peer.ConfigAsk{Hashes: []string{"ab", "cd"}},
		&peer.ConfigPart{Hash: "ab", Data: []byte("part")},
		&peer.Members{Hosts: []cell.HostID{"a", "b"}},
	}
}
