package lending

import (
	"net/netip"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
)

// retryAfter is how long a caller is told to wait when it is refused without a decision of a dispatcher.
const retryAfter = time.Second

// Ask is a request for a grant, made by the goroutine of one caller's request.
type Ask struct {
	Cell   cell.ID
	Demand cell.Demand
	Reply  chan Decision // Reply receives one Decision; its buffer must hold one, so that the sender never blocks.
}

// Decision answers an Ask: with a refusal if Refusal is set, otherwise with a grant.
type Decision struct {
	Endpoint cell.EndpointID
	Address  netip.AddrPort
	Start    cell.StartID   // Start identifies the run of the endpoint's process that the grant is for.
	Fetch    netip.AddrPort // Fetch is the address of an engine to copy shared prompt parts from; invalid if there is none.
	Expires  time.Time      // Expires is the time by which the first byte must be sent to the endpoint.
	Cost     *Cost
	Hold     Hold
	Refusal  *cell.Refusal

	Predicted time.Duration // Predicted is the time to the first token that the dispatcher expects at this endpoint; zero if it predicts none.
}

// Refuse refuses the ask with the given code and a RetryAfter of 1 s. It is for asks that
// no dispatcher has decided about.
func (a Ask) Refuse(code result.Code) { a.refuse(code, retryAfter) }

func (a Ask) refuse(code result.Code, after time.Duration) {
	a.Reply <- Decision{Refusal: &cell.Refusal{
		Attempt: a.Demand.Attempt, Code: uint16(code), RetryAfter: after,
	}}
}
