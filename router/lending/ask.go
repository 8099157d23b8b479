package lending

import (
	"net/netip"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
)

// retryAfter is when a request that nothing was decided about should come back.
const retryAfter = time.Second

// Ask asks for a grant.
type Ask struct {
	Cell   cell.ID
	Demand cell.Demand
	Reply  chan Decision // Reply must have room for one decision, so that answering never blocks.
}

// Decision answers an Ask: a grant, or a refusal if Refusal is set.
type Decision struct {
	Endpoint cell.EndpointID
	Address  netip.AddrPort
	Start    cell.StartID
	Fetch    netip.AddrPort // Fetch is an engine to copy shared parts of the prompt from; invalid for none.
	Expires  time.Time      // Expires is the time by which the first byte must be sent.
	Cost     *Cost
	Hold     Hold
	Refusal  *cell.Refusal

	Predicted time.Duration // Predicted is the time to the first token that the endpoint was chosen for; zero where nothing is predicted.
}

// Refuse answers an ask that nothing was decided about.
func (a Ask) Refuse(code result.Code) { a.refuse(code, retryAfter) }

func (a Ask) refuse(code result.Code, after time.Duration) {
	a.Reply <- Decision{Refusal: &cell.Refusal{
		Attempt: a.Demand.Attempt, Code: uint16(code), RetryAfter: after,
	}}
}
